"""Command line of oleander-allocator."""


def main() -> int:
    """Run the program."""
    return 0
