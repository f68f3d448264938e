"""Command line of oleander-operator."""


def main() -> int:
    """Run the program."""
    return 0
