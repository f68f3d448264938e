"""Finds the parts of a JSON document without decoding them.

A decoder gives up a whole document for one part that is malformed or nested too deeply.
This module splits it without recursion, so that each part can be decoded by itself.
"""

import re
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|["\][{}:,]', re.DOTALL)
_OPENING, _CLOSING = b"[{", b"]}"


class _Token(NamedTuple):
    text: bytes
    # Containers around the token; a bracket counts as inside of its own container.
    depth: int
    start: int
    end: int


def elements(data: bytes) -> list[bytes]:
    """Return the elements of an array, as they are written.

    Raises
    ------
    ValueError
        When the document is no array, or ends before the array does.
    """
    return list(_parts(data, b"["))


def members(data: bytes) -> dict[str, bytes]:
    """Return the values of an object by name, as they are written.

    Members whose name is no text are left out.

    Raises
    ------
    ValueError
        When the document is no object, or ends before the object does.
    """
    found = {}
    for part in _parts(data, b"{"):
        colon = next((token for token in _tokens(part) if token.text == b":"), None)
        if colon is None or colon.depth:
            continue
        try:
            name = msgspec.json.decode(part[: colon.start], type=str)
        except msgspec.DecodeError:
            continue
        found[name] = part[colon.end :]
    return found


def _parts(data: bytes, opening: bytes) -> Iterator[bytes]:
    """Yield what stands between the commas of the outermost container."""
    tokens = _tokens(data)
    first = next(tokens, None)
    if first is None or first.text != opening or data[: first.start].strip():
        raise ValueError(f"document does not begin with {opening.decode()!r}")
    start = first.end
    for token in tokens:
        if token.depth != 1:
            continue
        is_end = token.text in _CLOSING
        if is_end or token.text == b",":
            part = data[start : token.start].strip()
            if part or not is_end:
                yield part
            start = token.end
        if is_end:
            return
    raise ValueError(f"document ends before its {opening.decode()!r} is closed")


def _tokens(data: bytes) -> Iterator[_Token]:
    """Yield strings, brackets and separators."""
    depth = 0
    for match in _TOKENS.finditer(data):
        text = match.group()
        if text == b'"':
            raise ValueError("document ends before its last text")
        if text in _OPENING:
            depth += 1
        yield _Token(text, depth, match.start(), match.end())
        if text in _CLOSING:
            depth -= 1
