"""Decoders of the answers of the platform's store.

Other writers may store objects that are no JSON, nested too deeply or too large. Such
an object is unreadable, and hides no other one.
"""

import math
from typing import TypeVar

import msgspec

from oleandershift.jsonspans import elements, members
from oleandershift.platform import upstreams
from oleandershift.records import MAX_INTEGER, MIN_INTEGER, Record

MAX_DEPTH = 32
"""Nesting above which an object is unreadable; several times that of a configuration.
Encoders and decoders of messages between VMs are recursive."""

MAX_REGISTRATION_BYTES = 1 << 16
"""Size above which an upstream's registration is unreadable. One has some hundred
bytes, and VMs pass on all of them at once."""

_MAX_BYTES = {upstreams.KIND: MAX_REGISTRATION_BYTES}

_DECODING_ERRORS = (msgspec.DecodeError, RecursionError, ValueError)

_T = TypeVar("_T")


class Page(msgspec.Struct, rename="camel"):
    """Part of a list.

    Parameters
    ----------
    items : list of Raw
        Objects, as they are written.
    at : int
        Store revision at which the page was read.
    has_more : bool
        Whether further pages follow.
    """

    items: list[msgspec.Raw]
    at: int
    has_more: bool = False


class Event(msgspec.Struct):
    """Change of an object, which is as it is written."""

    object: msgspec.Raw
    deleted: bool = False


class Events(msgspec.Struct):
    """Changes up to a store revision."""

    events: list[Event]
    at: int


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


def decode_page(data: bytes) -> Page:
    """Decode a page of a list.

    Raises
    ------
    ValueError
        When it is no page, apart from its objects.
    """
    page = _decode(data, Page)
    if page is not None:
        return page
    parts = members(data)
    items = [msgspec.Raw(item) for item in elements(_member(parts, "items"))]
    return Page(
        items,
        msgspec.json.decode(_member(parts, "at"), type=int),
        msgspec.json.decode(parts.get("hasMore", b"false"), type=bool),
    )


def decode_events(data: bytes) -> Events:
    """Decode the answer to a watch.

    Raises
    ------
    ValueError
        When it is none, apart from its objects.
    """
    events = _decode(data, Events)
    if events is not None:
        return events
    parts = members(data)
    changes = []
    for element in elements(_member(parts, "events")):
        event = members(element)
        deleted = msgspec.json.decode(event.get("deleted", b"false"), type=bool)
        changes.append(Event(msgspec.Raw(_member(event, "object")), deleted))
    return Events(changes, msgspec.json.decode(_member(parts, "at"), type=int))


def decode_record(kind: str, raw: msgspec.Raw, era: int) -> Record:
    """Decode an object; what can't be read of it is left out.

    Parameters
    ----------
    kind : str
        Kind of the object.
    raw : Raw
        The object, as it is written.
    era : int
        Era of the store in which it was read.
    """
    data = bytes(raw)
    decoded = _decode(data, _Object) or _decode_parts(data)
    metadata = decoded.metadata
    spec = None
    if len(bytes(decoded.spec)) <= _MAX_BYTES.get(kind, MAX_INTEGER):
        spec = _decode(bytes(decoded.spec), object)
    if _is_too_deep(spec):
        spec = None
    return Record(metadata.name, metadata.revision, _to_transferable(spec), era)


def _decode(data: bytes, decoded_type: type[_T]) -> _T | None:
    try:
        return msgspec.json.decode(data, type=decoded_type)
    except _DECODING_ERRORS:
        return None


def _decode_parts(data: bytes) -> _Object:
    """Decode the parts of an object that can't be decoded as a whole."""
    try:
        parts = members(data)
    except ValueError:
        parts = {}
    metadata = _decode(parts.get("metadata", b""), _Metadata) or _Metadata("")
    return _Object(metadata, msgspec.Raw(parts.get("spec", b"null")))


def _member(parts: dict[str, bytes], name: str) -> bytes:
    if name not in parts:
        raise ValueError(f"answer without {name!r}")
    return parts[name]


def _is_too_deep(value: object) -> bool:
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        inner: list[object] = []
        for item in level:
            if isinstance(item, dict):
                inner.extend(item.values())
            elif isinstance(item, list):
                inner.extend(item)
        level = inner
    return bool(level)


def _to_transferable(spec: object) -> object:
    """Return a value that MessagePack can carry to other VMs."""
    try:
        msgspec.msgpack.encode(spec)
    except OverflowError:
        return _round_large_integers(spec)
    return spec


def _round_large_integers(value: object) -> object:
    if isinstance(value, dict):
        return {key: _round_large_integers(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_round_large_integers(item) for item in value]
    if isinstance(value, int) and not MIN_INTEGER <= value <= MAX_INTEGER:
        return _to_float(value)
    return value


def _to_float(value: int) -> float:
    try:
        return float(value)
    except OverflowError:
        return math.inf if value > 0 else -math.inf
