"""Stand-ins for outside systems, and tools that run them; not installed."""
