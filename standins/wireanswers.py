"""How the upstream processes frame, split and end their answers on the wire."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

MAX_BYTEWISE_BYTES = 4096
"""An answer that is longer is split by the byte in its first bytes only."""

CUT_FRACTION = 0.06
EXTRA_FRACTION = 0.02
LAST_CHUNK = b"0\r\n\r\n"


class Framing(Enum):
    """What states the end of an answer."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class Split(Enum):
    """Where the segments of an answer begin: at pieces or at any byte."""

    PIECE = "piece"
    JOINED = "joined"
    ANY = "any"
    BYTE = "byte"


class Close(Enum):
    """What an upstream does with the connection after an answer."""

    KEEP = "keep"
    FINISH = "fin"
    HALF = "half-close"
    RESET = "rst"


class Extra(Enum):
    """Bytes after an answer, on a connection that is kept: a second one, or an event.

    They may come late, where the next answer is due.
    """

    NONE = "none"
    ANSWER = "answer"
    SAME_ANSWER = "same-answer"
    EVENT = "event"


EXTRAS = (Extra.ANSWER, Extra.SAME_ANSWER, Extra.EVENT)


@dataclass(frozen=True)
class AnswerStyle:
    """Form of one answer.

    Parameters
    ----------
    framing : Framing
        What states its end.
    split : Split
        Where its segments begin.
    close : Close
        What becomes of the connection.
    cut_fraction : float or None
        Part of the body after which the upstream stops; None for a whole answer.
    has_false_end : bool
        Whether a chunked answer that is cut has a last chunk all the same.
    says_close : bool
        Whether the head announces the connection's end.
    extra : Extra
        What else comes on a connection that is kept.
    """

    framing: Framing
    split: Split
    close: Close
    cut_fraction: float | None = None
    has_false_end: bool = False
    says_close: bool = False
    extra: Extra = Extra.NONE

    @property
    def is_stated_end(self) -> bool:
        """Return whether the caller can't tell a cut answer from a whole one."""
        if self.framing is Framing.CLOSE:
            return self.close is not Close.RESET
        return self.framing is Framing.CHUNKED and self.has_false_end


def draw_style(rng: random.Random) -> AnswerStyle:
    """Draw the form of an answer from all those that the protocol allows."""
    framing = rng.choice(list(Framing))
    split = rng.choices(list(Split), (4, 2, 3, 1))[0]
    close = rng.choices(list(Close), (12, 2, 2, 1))[0]
    cut_fraction = rng.random() if rng.random() < CUT_FRACTION else None
    if cut_fraction is not None or framing is Framing.CLOSE:
        close = rng.choices((Close.FINISH, Close.HALF, Close.RESET), (3, 1, 1))[0]
    if framing is Framing.CLOSE and cut_fraction is None and close is Close.RESET:
        close = Close.FINISH
    may_have_extra = close is Close.KEEP and rng.random() < EXTRA_FRACTION
    return AnswerStyle(
        framing,
        split,
        close,
        cut_fraction,
        has_false_end=cut_fraction is not None and rng.random() < 0.2,
        says_close=close is not Close.KEEP and rng.random() < 0.7,
        extra=rng.choice(EXTRAS) if may_have_extra else Extra.NONE,
    )


def framing_fields(style: AnswerStyle, length: int) -> dict[str, str]:
    """Return the header fields that state the framing."""
    fields = {"Connection": "close"} if style.says_close else {}
    if style.framing is Framing.LENGTH:
        return {**fields, "Content-Length": str(length)}
    if style.framing is Framing.CHUNKED:
        return {**fields, "Transfer-Encoding": "chunked"}
    return fields


def framed(piece: bytes, style: AnswerStyle, rng: random.Random) -> bytes:
    """Return the bytes of a piece of the body, in one chunk or in several."""
    if style.framing is not Framing.CHUNKED or not piece:
        return piece
    parts = [piece]
    if style.split is not Split.PIECE and len(piece) > 1 and rng.random() < 0.3:
        at = rng.randrange(1, len(piece))
        parts = [piece[:at], piece[at:]]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


def segments(data: bytes, style: AnswerStyle, rng: random.Random) -> Iterator[bytes]:
    """Split bytes that are due at one time into segments."""
    if style.split is Split.BYTE:
        for at in range(min(len(data), MAX_BYTEWISE_BYTES)):
            yield data[at : at + 1]
        data = data[MAX_BYTEWISE_BYTES:]
    elif style.split is Split.ANY and len(data) > 1:
        cuts = sorted(rng.sample(range(1, len(data)), min(2, len(data) - 1)))
        for start, end in zip([0, *cuts], cuts, strict=False):
            yield data[start:end]
        data = data[cuts[-1] :]
    if data:
        yield data
