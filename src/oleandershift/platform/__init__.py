"""Adapter to the users' platform; decodes its field names into the project's types."""
