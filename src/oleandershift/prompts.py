"""Size of a generation and the parts of its prompt that others share."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PrefixPart:
    """A part of a prompt, by the hash of its content."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a generation asks of an engine.

    Parameters
    ----------
    tokens : int
        Prompt tokens.
    max_output_tokens : int
        Most tokens that it generates.
    expected_output_tokens : int or None
        The caller's estimate of the tokens generated.
    parts : tuple of PrefixPart
        The prompt's parts in order; the last belongs to this request or session.
    """

    tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None
    parts: tuple[PrefixPart, ...]

    @property
    def output_tokens(self) -> int:
        """Return the tokens that it probably generates."""
        if self.expected_output_tokens is None:
            return self.max_output_tokens
        return min(self.expected_output_tokens, self.max_output_tokens)

    @property
    def unique_tokens(self) -> int:
        """Return the prompt tokens that no other request shares."""
        return self.parts[-1].tokens if self.parts else self.tokens

    @property
    def weighted_tokens(self) -> int:
        """Return the work that counts towards a team's share.

        A token read counts once and a token generated twice, as in the capacity that
        the configuration declares.
        """
        return self.tokens + 2 * self.output_tokens
