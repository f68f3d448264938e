"""Parsing and validation of callers' HTTP requests against the table."""

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
_NOT_FORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {
    "accept-encoding",
    "authorization",
    "content-length",
    "expect",
    "host",
}


@dataclass(frozen=True)
class RawRequest:
    """An HTTP request as received.

    Parameters
    ----------
    method : str
        Method in upper case.
    target : str
        Path and query as sent.
    headers : mapping
        Header values by lower-case name.
    body : bytes
        Complete body.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class Call:
    """A validated request.

    Parameters
    ----------
    request : RequestId
        Id of the request.
    team, service
        Team that sent the request and service that it addresses.
    method, target : str
        Method and target sent to the upstream.
    headers : tuple of pair
        Headers sent to the upstream.
    body : bytes
        Complete body.
    kind : RequestKind
        Expected duration of the request.
    deadline : float or None
        Time after which the response is of no use to the caller, seconds since the
        Unix epoch.
    cost_hint : float or None
        Caller's estimate of the cost, tokens.
    idempotent : bool
        Whether the request may run more than once.
    idempotency_key : str
        Idempotency key; empty when the caller sent none.
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


class ApiKeyIndex:
    """Index from API keys to teams.

    Hashes are looked up by prefix and then compared in constant time, so that response
    times reveal nothing about the rest of a hash.

    Parameters
    ----------
    table : Table
        Table with the key hashes of all teams.
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
        """Return the team that owns a key; None if the key is unknown."""
        digest = hash_key(key)
        candidates = self._entries.get(digest[:DIGEST_PREFIX_CHARACTERS], ())
        teams = [
            team
            for candidate, team in candidates
            if hmac.compare_digest(candidate, digest)
        ]
        return teams[0] if teams else None


def _normalised_path(target: str) -> str:
    """Return a target's decoded path without query and duplicate slashes."""
    path = unquote(target.partition("?")[0])
    parts = [part for part in path.split("/") if part]
    return "/" + "/".join(parts)


def is_non_idempotent(service: ServiceRow, method: str, target: str) -> bool:
    """Return whether a rule of the service row marks a call as non-idempotent."""
    path = _normalised_path(target)
    for rule in service.non_idempotent:
        rule_method, _, rule_path = rule.partition(" ")
        if rule_method.upper() != method:
            continue
        if rule_path.endswith("/*") and path.startswith(rule_path[:-1]):
            return True
        if path == _normalised_path(rule_path):
            return True
    return False


def _parse_deadline(text: str | None) -> Result[float | None, Problem]:
    if text is None:
        return Success(None)
    try:
        deadline = datetime.fromisoformat(text.strip())
    except ValueError:
        return _malformed("Oleander-Deadline is not an RFC 3339 instant")
    if deadline.tzinfo is None:
        return _malformed("Oleander-Deadline has no offset from UTC")
    return Success(deadline.timestamp())


def _parse_cost_hint(text: str | None) -> Result[float | None, Problem]:
    if text is None:
        return Success(None)
    try:
        hint = float(text)
    except ValueError:
        hint = math.nan
    if not (math.isfinite(hint) and hint > 0):
        return _malformed("Oleander-Cost-Hint is not a positive number")
    return Success(hint)


def _parse_kind(text: str | None) -> Result[RequestKind, Problem]:
    try:
        return Success(RequestKind((text or RequestKind.QUICK.value).strip().lower()))
    except ValueError:
        return _malformed("Oleander-Kind is not long, quick or cheap")


def _malformed(detail: str) -> Failure[Problem]:
    return Failure(Problem(ProblemReason.MALFORMED, detail))


def _bearer_token(headers: Mapping[str, str]) -> str:
    scheme, _, token = headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def _split_target(target: str) -> tuple[ServiceId, str]:
    path, separator, query = target.removeprefix(API_PREFIX).partition("?")
    service, _, rest = path.partition("/")
    return ServiceId(unquote(service)), f"/{rest}{separator}{query}"


def _parse_idempotency_key(
    headers: Mapping[str, str], idempotent: bool
) -> Result[str, Problem]:
    key = headers.get("idempotency-key", "").strip()
    if not idempotent and not key:
        detail = "this call needs an Idempotency-Key header"
        return Failure(Problem(ProblemReason.NO_IDEMPOTENCY_KEY, detail))
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
    raw: RawRequest, table: Table, keys: ApiKeyIndex
) -> Result[tuple[TeamId, ServiceRow, str], Problem]:
    team = keys.find_team(_bearer_token(raw.headers))
    if team is None:
        return Failure(
            Problem(ProblemReason.UNAUTHORIZED, "no key, or not a known one")
        )
    name, target = _split_target(raw.target)
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


def _forwarded_headers(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name not in _NOT_FORWARDED_HEADERS and not name.startswith("oleander-")
    )


def parse_call(
    raw: RawRequest, table: Table, keys: ApiKeyIndex, request: RequestId
) -> Result[Call, Problem]:
    """Validate a request and return it as a call.

    Parameters
    ----------
    raw : RawRequest
        Request as received.
    table : Table
        Table in force, with services and teams.
    keys : ApiKeyIndex
        Index of the teams' API keys.
    request : RequestId
        Id to assign to the request.

    Returns
    -------
    Result
        The call, or the first problem found.
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
            headers=_forwarded_headers(raw.headers),
            body=raw.body,
            kind=kind,
            deadline=deadline,
            cost_hint=cost_hint,
            idempotent=idempotent,
            idempotency_key=idempotency_key,
        )
        for kind in _parse_kind(raw.headers.get("oleander-kind"))
        for deadline in _parse_deadline(raw.headers.get("oleander-deadline"))
        for cost_hint in _parse_cost_hint(raw.headers.get("oleander-cost-hint"))
        for idempotency_key in _parse_idempotency_key(raw.headers, idempotent)
    )
