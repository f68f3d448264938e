"""Size of a generation, and the prompt prefix that it shares with others."""

from dataclasses import dataclass

from oleandershift.ids import PromptPartId


@dataclass(frozen=True, slots=True)
class PrefixPart:
    """A part of a prompt.

    Parameters
    ----------
    name : PromptPartId
        Hash of the content.
    tokens : int
        Length in tokens.
    """

    name: PromptPartId
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Prompt and expected output of a generation.

    Parameters
    ----------
    tokens : int
        Length of the prompt in tokens.
    max_output_tokens : int
        Maximum number of tokens to generate.
    expected_output_tokens : int or None
        The caller's estimate of the number of generated tokens.
    parts : tuple of PrefixPart
        Parts of the prompt in order; only the last is specific to this request or
        session.
    """

    tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None
    parts: tuple[PrefixPart, ...]

    @property
    def output_tokens(self) -> int:
        """Expected number of generated tokens."""
        if self.expected_output_tokens is None:
            return self.max_output_tokens
        return min(self.expected_output_tokens, self.max_output_tokens)

    @property
    def shared_parts(self) -> tuple[PrefixPart, ...]:
        """Parts that other requests have as well."""
        return self.parts[:-1]

    @property
    def unique_tokens(self) -> int:
        """Prompt tokens that are not shared with other requests."""
        return self.parts[-1].tokens if self.parts else self.tokens

    @property
    def weighted_tokens(self) -> int:
        """Size of the generation that counts towards its team's share.

        A prompt token counts once and a generated token twice, as in the capacity that
        the configuration declares.
        """
        return self.tokens + 2 * self.output_tokens
