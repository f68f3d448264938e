"""Shells that connect the decisions to threads, sockets and clocks."""
