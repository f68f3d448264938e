"""I/O layer: connects the sans-I/O logic to threads, sockets and clocks."""
