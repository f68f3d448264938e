"""Command line of oleander-router."""


def main() -> int:
    """Run the program."""
    return 0
