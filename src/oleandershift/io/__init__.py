"""I/O layer: connects the sans-IO logic to threads, sockets and clocks."""
