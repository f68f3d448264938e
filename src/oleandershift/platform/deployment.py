"""Checker of the deploy file, which declares the build command and the programs."""

from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.exceptions import Finding
from oleandershift.platform.settings import read_toml

FILE_NAME = "system.toml"
FORBIDDEN_COMMANDS = frozenset({"env", "npx", "sh", "bash"})
"""Shells, and launchers through which the platform doesn't run a program."""

AUDIENCES = frozenset({"edge", "control_plane"})
MAX_PORT = 65_535
MAX_PROGRAMS_PER_VM_CLASS = 2


class _Role(msgspec.Struct, forbid_unknown_fields=True):
    run: str
    # Class of VMs that run the program.
    on: str
    share: float | None = None
    count: int | None = None
    # Audiences that may call the program from outside.
    serves: list[str] = []
    metrics: str = ""
    apart: bool = False
    template: str = ""
    env: dict[str, str] = {}


def check(folder: Path) -> Result[tuple[str, ...], tuple[Finding, ...]]:
    """Check a deploy folder; return the names of its programs, or all findings."""
    return read_toml(folder / FILE_NAME).bind(lambda raw: _check(raw, folder))


def _check(
    raw: dict[str, object], folder: Path
) -> Result[tuple[str, ...], tuple[Finding, ...]]:
    findings: list[Finding] = []
    build = raw.get("build", "")
    if not isinstance(build, str) or not build.strip():
        findings.append(Finding("build", str(build), "a shell command"))
    roles = raw.get("roles")
    if not isinstance(roles, dict) or not roles:
        findings.append(Finding("roles", "", "at least one program"))
        return Failure(tuple(findings))
    decoded: list[tuple[str, _Role]] = []
    for name, fields in roles.items():
        place = f"roles.{name}"
        try:
            role = msgspec.convert(fields, _Role)
        except msgspec.ValidationError as exc:
            findings.append(Finding(place, str(fields), str(exc)))
            continue
        decoded.append((name, role))
        findings += _check_role(place, role, folder)
    findings += _check_combinations(decoded)
    if findings:
        return Failure(tuple(findings))
    return Success(tuple(name for name, _ in decoded))


def _check_role(place: str, role: _Role, folder: Path) -> list[Finding]:
    findings = []
    command = role.run.split()
    if not command or command[0] in FORBIDDEN_COMMANDS:
        findings.append(
            Finding(f"{place}.run", role.run, "a program, run without a shell")
        )
    if (role.share is None) == (role.count is None):
        value = "both" if role.share is not None else ""
        findings.append(Finding(f"{place}.share", value, "either share or count"))
    if role.share is not None and not 0.0 < role.share <= 1.0:
        expected = "more than 0, at most 1"
        findings.append(Finding(f"{place}.share", str(role.share), expected))
    if role.count is not None and role.count < 1:
        findings.append(Finding(f"{place}.count", str(role.count), "at least 1"))
    findings += [
        Finding(f"{place}.serves", audience, f"one of {', '.join(sorted(AUDIENCES))}")
        for audience in role.serves
        if audience not in AUDIENCES
    ]
    if role.metrics and not _is_metrics_address(role.metrics):
        findings.append(Finding(f"{place}.metrics", role.metrics, "PORT/PATH"))
    if role.template and not (folder.parent / role.template).is_file():
        findings.append(Finding(f"{place}.template", role.template, "a file"))
    return findings


def _check_combinations(roles: list[tuple[str, _Role]]) -> list[Finding]:
    findings = []
    owners: dict[tuple[str, str], str] = {}
    counts: dict[str, int] = {}
    for name, role in roles:
        counts[role.on] = counts.get(role.on, 0) + 1
        for audience in role.serves:
            other = owners.setdefault((role.on, audience), name)
            if other != name:
                expected = f"an audience that {other} does not serve"
                findings.append(Finding(f"roles.{name}.serves", audience, expected))
    findings += [
        Finding(
            f"programs on {vm_class}",
            str(count),
            f"at most {MAX_PROGRAMS_PER_VM_CLASS}",
        )
        for vm_class, count in counts.items()
        if count > MAX_PROGRAMS_PER_VM_CLASS
    ]
    return findings


def _is_metrics_address(value: str) -> bool:
    port, slash, path = value.partition("/")
    return bool(slash and path) and port.isdigit() and 0 < int(port) <= MAX_PORT
