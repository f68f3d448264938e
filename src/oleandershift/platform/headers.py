"""Header fields of the platform's requests and answers."""

from collections.abc import Iterable
from dataclasses import dataclass

from oleandershift.exceptions import MalformedRequestError
from oleandershift.prompts import PrefixPart, Prompt

ATTEMPT_ID = b"oleandershift-attempt-id"
DEADLINE = b"oleandershift-deadline-ms"
EXPECT_UPSTREAM = b"oleandershift-expect-instance"
TEAM = b"oleandershift-tenant"
NOT_RUN = b"oleandershift-not-executed"
RESPONSE_SEAL = b"oleandershift-response-seal"
LAST_EVENT_ID = b"last-event-id"
_PROMPT = b"oleandershift-prompt-prefix"
_USAGE = b"oleandershift-token-usage"
_HINT = b"oleandershift-length-hint"

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
"""Fields that callers can't set for upstreams."""

_SINGLE = frozenset({ATTEMPT_ID, DEADLINE, _PROMPT, _USAGE, LAST_EVENT_ID})


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """What the system reads from a caller's header block.

    Parameters
    ----------
    attempt_id : str
        Id of the caller's attempt; empty when it has none.
    timeout_ms : float or None
        How long the caller waits.
    last_event_id : int
        Last event that the caller has of a resumed stream; 0 when it starts.
    prompt : Prompt or None
        Size and shared parts of the prompt.
    """

    attempt_id: str
    timeout_ms: float | None
    last_event_id: int
    prompt: Prompt | None


def parse(headers: Iterable[tuple[bytes, bytes]]) -> CallerHeaders:
    """Decode a caller's header fields, whose names are in lower case.

    Raises
    ------
    MalformedRequestError
        When a field is repeated or has a form that is not allowed.
    """
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in _SINGLE and name in found:
            raise MalformedRequestError(f"header {name.decode()} is repeated")
        found[name] = value
    return CallerHeaders(
        attempt_id=found.get(ATTEMPT_ID, b"").decode("latin-1"),
        timeout_ms=_milliseconds(found.get(DEADLINE)),
        last_event_id=_count(LAST_EVENT_ID, found.get(LAST_EVENT_ID)),
        prompt=_prompt(found),
    )


def _milliseconds(raw: bytes | None) -> float | None:
    if raw is None:
        return None
    try:
        value = float(raw)
    except ValueError:
        raise _malformed(DEADLINE, raw) from None
    if not 0 <= value < float("inf"):
        raise _malformed(DEADLINE, raw)
    return value


def _count(name: bytes, raw: bytes | None) -> int:
    if not raw:
        return 0
    if not raw.isdigit():
        raise _malformed(name, raw)
    return int(raw)


def _prompt(found: dict[bytes, bytes]) -> Prompt | None:
    usage = found.get(_USAGE)
    if usage is None:
        return None
    read_tokens, _, made_tokens = usage.partition(b",")
    hint = found.get(_HINT, b"")
    return Prompt(
        tokens=_count(_USAGE, read_tokens.strip()),
        max_output_tokens=_count(_USAGE, made_tokens.strip()),
        expected_output_tokens=int(hint) if hint.isdigit() else None,
        parts=_parts(found.get(_PROMPT, b"")),
    )


def _parts(raw: bytes) -> tuple[PrefixPart, ...]:
    parts = []
    for entry in raw.split(b",") if raw else ():
        name, _, tokens = entry.strip().partition(b":")
        parts.append(PrefixPart(name.decode("latin-1"), _count(_PROMPT, tokens)))
    return tuple(parts)


def _malformed(name: bytes, raw: bytes) -> MalformedRequestError:
    return MalformedRequestError(f"header {name.decode()} has the value {raw!r}")
