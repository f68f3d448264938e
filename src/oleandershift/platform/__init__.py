"""Adapter to the users' platform: its names, decoded once into the project's types."""
