"""Header fields of the platform's requests and responses."""

from collections.abc import Iterable
from dataclasses import dataclass

from oleandershift.exceptions import MalformedRequestError
from oleandershift.ids import PromptPartId
from oleandershift.prompts import PrefixPart, Prompt

ATTEMPT_ID = b"oleandershift-attempt-id"
DEADLINE = b"oleandershift-deadline-ms"
EXPECT_UPSTREAM = b"oleandershift-expect-instance"
TEAM = b"oleandershift-tenant"
NOT_RUN = b"oleandershift-not-executed"
RESPONSE_SEAL = b"oleandershift-response-seal"
UPSTREAM_LEAVING = b"server-leaving"
UPSTREAM_LIMIT = b"server-limit"
RETRY_AFTER = b"retry-after"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
_PROMPT_PREFIX = b"oleandershift-prompt-prefix"
_TOKEN_USAGE = b"oleandershift-token-usage"
_LENGTH_HINT = b"oleandershift-length-hint"

MAX_TOKENS = 1 << 32
"""Largest number of tokens that is told apart; several thousand times the memory of an
upstream."""

MAX_COUNT_DIGITS = 18
MAX_COUNT = 10**MAX_COUNT_DIGITS

RESERVED_HEADERS = frozenset(
    {
        DEADLINE,
        EXPECT_UPSTREAM,
        TEAM,
        b"oleandershift-expect-version",
        b"oleandershift-pin-ms",
        b"oleandershift-cache-retain",
        b"oleandershift-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"authorization",
    }
)
"""Headers of callers that aren't forwarded, as only the system may set them."""

_SINGLE_VALUED = frozenset(
    {ATTEMPT_ID, DEADLINE, _PROMPT_PREFIX, _TOKEN_USAGE, LAST_EVENT_ID, RESUMES}
)


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Values decoded from the headers of a caller's request.

    Parameters
    ----------
    attempt_id : str
        Id of the caller's attempt; empty when absent.
    timeout_ms : float or None
        Time in milliseconds for which the caller waits.
    last_event_id : int or None
        Id of the last event received of a stream to resume; None for a new stream.
    resumes : str
        Id of the caller's attempt that brought the first event of that stream; empty
        when absent.
    prompt : Prompt or None
        Size and shared prefix parts of the prompt; None for a request without one.
    """

    attempt_id: str
    timeout_ms: float | None
    last_event_id: int | None
    resumes: str
    prompt: Prompt | None

    @property
    def began_as(self) -> str:
        """Id of the attempt that began the stream, this one or an earlier one."""
        is_resumed = self.last_event_id is not None and self.resumes
        return self.resumes if is_resumed else self.attempt_id


def parse(headers: Iterable[tuple[bytes, bytes]]) -> CallerHeaders:
    """Decode the headers of a request, whose names are in lower case.

    Raises
    ------
    MalformedRequestError
        When a header is repeated or malformed.
    """
    fields: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in _SINGLE_VALUED and name in fields:
            raise MalformedRequestError(f"header {name.decode()} is repeated")
        fields[name] = value
    return CallerHeaders(
        attempt_id=fields.get(ATTEMPT_ID, b"").decode("latin-1"),
        timeout_ms=_parse_milliseconds(fields.get(DEADLINE)),
        last_event_id=_parse_event_id(fields.get(LAST_EVENT_ID)),
        resumes=fields.get(RESUMES, b"").decode("latin-1"),
        prompt=_parse_prompt(fields),
    )


def _parse_milliseconds(raw: bytes | None) -> float | None:
    if raw is None:
        return None
    try:
        value = float(raw)
    except ValueError:
        raise _malformed_header(DEADLINE, raw) from None
    if not 0 <= value < float("inf"):
        raise _malformed_header(DEADLINE, raw)
    return value


def _parse_count(name: bytes, raw: bytes | None) -> int:
    if not raw:
        return 0
    if not raw.isdigit():
        raise _malformed_header(name, raw)
    # Longer numbers than Python converts by default are possible in a header.
    return int(raw) if len(raw) <= MAX_COUNT_DIGITS else MAX_COUNT


def _parse_event_id(raw: bytes | None) -> int | None:
    return _parse_count(LAST_EVENT_ID, raw) if raw else None


def _parse_tokens(name: bytes, raw: bytes | None) -> int:
    """Return a number of tokens; more than any upstream holds count as that many.

    The sums of all callers are sent in digests, whose integers have 64 bits.
    """
    return min(_parse_count(name, raw), MAX_TOKENS)


def _parse_prompt(fields: dict[bytes, bytes]) -> Prompt | None:
    usage = fields.get(_TOKEN_USAGE)
    if usage is None:
        return None
    input_tokens, _, max_output_tokens = usage.partition(b",")
    hint = fields.get(_LENGTH_HINT, b"")
    return Prompt(
        tokens=_parse_tokens(_TOKEN_USAGE, input_tokens.strip()),
        max_output_tokens=_parse_tokens(_TOKEN_USAGE, max_output_tokens.strip()),
        expected_output_tokens=(
            _parse_tokens(_LENGTH_HINT, hint) if hint.isdigit() else None
        ),
        parts=_parse_prefix_parts(fields.get(_PROMPT_PREFIX, b"")),
    )


def _parse_prefix_parts(raw: bytes) -> tuple[PrefixPart, ...]:
    parts = []
    for entry in raw.split(b",") if raw else ():
        name, _, tokens = entry.strip().partition(b":")
        parts.append(
            PrefixPart(
                PromptPartId(name.decode("latin-1")),
                _parse_tokens(_PROMPT_PREFIX, tokens),
            )
        )
    return tuple(parts)


def _malformed_header(name: bytes, raw: bytes) -> MalformedRequestError:
    return MalformedRequestError(f"header {name.decode()} has the value {raw!r}")
