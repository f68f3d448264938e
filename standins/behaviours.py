"""Responses of the stand-in upstream, sound and broken."""

from enum import Enum


class Behaviour(Enum):
    """Response of an upstream to a request.

    `REFUSE`, `ENDLESS_REFUSAL` and `CUT_BEFORE` do not execute the request.
    `CUT_BEFORE`, `CUT_AFTER`, `CUT_MIDWAY` and `CUT_LATE` reset the connection before
    the execution, after it, within the response and before its last byte. `LEFTOVER`
    sends another response first; `UNFRAMED` sends no length. `END_IN_EVENT` and
    `END_EMPTY` also end a stream without a length within its second event and before
    its first. `ERROR_…` answer with 200 and an error: as JSON, as the text of a
    response, or by an end without any event. `ENDLESS_…` send bytes until the caller
    closes.
    """

    ANSWER = "answer"
    REFUSE = "refuse"
    FAIL = "fail"
    CUT_BEFORE = "cut-before"
    CUT_AFTER = "cut-after"
    CUT_MIDWAY = "cut-midway"
    CUT_LATE = "cut-late"
    GARBAGE = "garbage"
    LEFTOVER = "leftover"
    UNFRAMED = "unframed"
    END_IN_EVENT = "end-in-event"
    END_EMPTY = "end-empty"
    ERROR_JSON = "error-json"
    ERROR_TEXT = "error-text"
    ERROR_EMPTY = "error-empty"
    ENDLESS_HEADER = "endless-header"
    ENDLESS_HEADERS = "endless-headers"
    ENDLESS_INTERIM = "endless-interim"
    ENDLESS_OTHER = "endless-other"
    ENDLESS_ERROR = "endless-error"
    ENDLESS_CHUNK = "endless-chunk"
    ENDLESS_REFUSAL = "endless-refusal"
    ENCODED = "encoded"
    HANG = "hang"


SLOW_BYTES = 100
SLOW_BYTES_SECONDS = 0.02
"""Pause after the repeated bytes if they are few."""

ENDLESS_BYTES = {
    Behaviour.ENDLESS_HEADER: (b"HTTP/1.1 200 OK\r\nx: ", b"x" * 4096),
    Behaviour.ENDLESS_HEADERS: (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 1000),
    Behaviour.ENDLESS_INTERIM: (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 200),
    Behaviour.ENDLESS_OTHER: (
        b"HTTP/1.1 200 OK\r\nOleandershift-Attempt-Id: other\r\n\r\n",
        b"x" * 65_536,
    ),
    Behaviour.ENDLESS_ERROR: (
        b"HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n%b\r\n" % (b"x" * 4096),
    ),
    Behaviour.ENDLESS_CHUNK: (
        b"HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        b"x" * 4096,
    ),
    Behaviour.ENDLESS_REFUSAL: (
        b"HTTP/1.1 503 Busy\r\nOleandershift-Not-Executed: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
    ),
}
"""Start of a response that never ends, and the bytes that are sent again and again."""

ERROR_STREAMS = {
    Behaviour.ERROR_JSON: ("application/json", b'{"error": "failed"}\n\n'),
    Behaviour.ERROR_TEXT: (
        "text/event-stream",
        b"HTTP/1.1 500 Internal Server Error\nContent-Length: 5\n\nerror\n\n",
    ),
    Behaviour.ERROR_EMPTY: ("text/event-stream", b""),
}
"""Content type and body of a complete response to a stream that is an error."""

UNFRAMED_STREAMS = (Behaviour.UNFRAMED, Behaviour.END_IN_EVENT, Behaviour.END_EMPTY)
