"""A caller's HTTP request, checked against the table."""

import hmac
import math
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime
from urllib.parse import unquote

from returns.result import Failure, Result, Success

from oleandershift.dispatch import RequestKind
from oleandershift.ids import RequestId, ServiceId, TeamId
from oleandershift.keys import hash_key
from oleandershift.problems import Problem, ProblemReason
from oleandershift.replica import Table
from oleandershift.rows import ServiceRow

API_PREFIX = "/v1/"
DIGEST_PREFIX_CHARACTERS = 8
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    )
)
_NOT_FORWARDED = HOP_BY_HOP_HEADERS | {
    "accept-encoding",
    "authorization",
    "content-length",
    "expect",
    "host",
}


@dataclass(frozen=True)
class RawRequest:
    """An HTTP request as it came.

    Parameters
    ----------
    method : str
        In upper case.
    target : str
        Path and query as sent.
    headers : mapping
        By name in lower case.
    body : bytes
        The whole body.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class Call:
    """A checked request.

    Parameters
    ----------
    request : RequestId
        Its id.
    team, service
        Whose it is, and what it asks for.
    method, target : str
        What the upstream gets.
    headers : tuple of pair
        Headers that the upstream gets.
    body : bytes
        The whole body.
    kind : RequestKind
        Expected length.
    deadline : float or None
        Instant after which the answer is of no use.
    cost_hint : float or None
        Caller's estimate of the cost, tokens.
    idempotent : bool
        Whether it may run more than once.
    idempotency_key : str
        Idempotency key; empty when there is none.
    """

    request: RequestId
    team: TeamId
    service: ServiceId
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    kind: RequestKind
    deadline: float | None
    cost_hint: float | None
    idempotent: bool
    idempotency_key: str


class KeyIndex:
    """Finds the team of a key.

    Hashes are looked up by a prefix and compared in constant time, so that the time
    of an answer tells nothing about the rest of a hash.

    Parameters
    ----------
    table : Table
        Holds a hash of each key.
    """

    def __init__(self, table: Table) -> None:
        self._entries: dict[str, list[tuple[str, TeamId]]] = {}
        for team in table.teams.values():
            for digest in team.key_hashes:
                entries = self._entries.setdefault(
                    digest[:DIGEST_PREFIX_CHARACTERS], []
                )
                entries.append((digest, team.name))

    def find_team(self, key: str) -> TeamId | None:
        """Return the team whose key this is."""
        digest = hash_key(key)
        found = self._entries.get(digest[:DIGEST_PREFIX_CHARACTERS], ())
        teams = [team for known, team in found if hmac.compare_digest(known, digest)]
        return teams[0] if teams else None


def _plain_path(target: str) -> str:
    """Return a target's path decoded, without query and doubled slashes."""
    path = unquote(target.partition("?")[0])
    parts = [part for part in path.split("/") if part]
    return "/" + "/".join(parts)


def is_non_idempotent(service: ServiceRow, method: str, target: str) -> bool:
    """Tell whether the service row marks a call as non-idempotent."""
    path = _plain_path(target)
    for mark in service.non_idempotent:
        wanted, _, pattern = mark.partition(" ")
        if wanted.upper() != method:
            continue
        if pattern.endswith("/*") and path.startswith(pattern[:-1]):
            return True
        if path == _plain_path(pattern):
            return True
    return False


def _deadline(text: str | None) -> Result[float | None, Problem]:
    if text is None:
        return Success(None)
    try:
        instant = datetime.fromisoformat(text.strip())
    except ValueError:
        return _malformed("Oleander-Deadline is not an RFC 3339 instant")
    if instant.tzinfo is None:
        return _malformed("Oleander-Deadline has no offset from UTC")
    return Success(instant.timestamp())


def _hint(text: str | None) -> Result[float | None, Problem]:
    if text is None:
        return Success(None)
    try:
        hint = float(text)
    except ValueError:
        hint = math.nan
    if not (math.isfinite(hint) and hint > 0):
        return _malformed("Oleander-Cost-Hint is not a positive number")
    return Success(hint)


def _kind(text: str | None) -> Result[RequestKind, Problem]:
    try:
        return Success(RequestKind((text or RequestKind.QUICK.value).strip().lower()))
    except ValueError:
        return _malformed("Oleander-Kind is not long, quick or cheap")


def _malformed(detail: str) -> Failure[Problem]:
    return Failure(Problem(ProblemReason.MALFORMED, detail))


def _bearer(headers: Mapping[str, str]) -> str:
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _split(target: str) -> tuple[ServiceId, str]:
    path, mark, query = target.removeprefix(API_PREFIX).partition("?")
    service, _, rest = path.partition("/")
    return ServiceId(unquote(service)), f"/{rest}{mark}{query}"


def _idempotency_key(
    headers: Mapping[str, str], idempotent: bool
) -> Result[str, Problem]:
    key = headers.get("idempotency-key", "").strip()
    if not idempotent and not key:
        detail = "this call needs an Idempotency-Key header"
        return Failure(Problem(ProblemReason.NO_KEY, detail))
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        return _malformed(
            f"Idempotency-Key exceeds {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
        )
    return Success(key)


def _check_target(target: str) -> Result[None, Problem]:
    parts = unquote(target.partition("?")[0]).split("/")
    if ".." in parts or "." in parts:
        return _malformed("the path has dot segments")
    if not target.isascii() or any(ch <= " " for ch in target):
        return _malformed("the path has characters that must be percent-encoded")
    return Success(None)


def _check_service(
    raw: RawRequest, table: Table, keys: KeyIndex
) -> Result[tuple[TeamId, ServiceRow, str], Problem]:
    team = keys.find_team(_bearer(raw.headers))
    if team is None:
        return Failure(
            Problem(ProblemReason.UNAUTHORIZED, "no key, or not a known one")
        )
    name, target = _split(raw.target)
    service = table.services.get(name)
    if service is None or not raw.target.startswith(API_PREFIX):
        return Failure(Problem(ProblemReason.NO_SERVICE, "no such service"))
    if len(raw.body) > service.max_body_bytes:
        detail = f"the service takes bodies of up to {service.max_body_bytes} bytes"
        return Failure(Problem(ProblemReason.BODY_TOO_LARGE, detail))
    if target.startswith("/-/"):
        return Failure(
            Problem(ProblemReason.NO_SERVICE, "paths under /-/ are reserved")
        )
    return Success((team, service, target))


def _forwarded(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name not in _NOT_FORWARDED and not name.startswith("oleander-")
    )


def parse_call(
    raw: RawRequest, table: Table, keys: KeyIndex, request: RequestId
) -> Result[Call, Problem]:
    """Check a request as a whole.

    Parameters
    ----------
    raw : RawRequest
        The request.
    table : Table
        Services and teams in force.
    keys : KeyIndex
        The teams' keys.
    request : RequestId
        Id to give it.
    """
    checked = _check_target(raw.target).bind(lambda _: _check_service(raw, table, keys))
    if isinstance(checked, Failure):
        return checked
    team, service, target = checked.unwrap()
    idempotent = not is_non_idempotent(service, raw.method, target)
    return Result.do(
        Call(
            request=request,
            team=team,
            service=service.name,
            method=raw.method,
            target=target,
            headers=_forwarded(raw.headers),
            body=raw.body,
            kind=kind,
            deadline=deadline,
            cost_hint=hint,
            idempotent=idempotent,
            idempotency_key=key,
        )
        for kind in _kind(raw.headers.get("oleander-kind"))
        for deadline in _deadline(raw.headers.get("oleander-deadline"))
        for hint in _hint(raw.headers.get("oleander-cost-hint"))
        for key in _idempotency_key(raw.headers, idempotent)
    )
