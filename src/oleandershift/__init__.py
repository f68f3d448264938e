"""A router fleet that shares model capacity fairly between teams."""
