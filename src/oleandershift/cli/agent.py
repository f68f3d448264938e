"""Command line of oleander-agent."""


def main() -> int:
    """Run the program."""
    return 0
