"""Stand-ins for external systems and tools that run them; not part of the package."""
