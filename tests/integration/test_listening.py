"""Tests that each daemon listens only on its configured address and ports."""

import os
import socket
import struct
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.ports import free_ports
from tests.integration.conftest import wait_until

IP = "127.25.0.9"
TCP_LISTEN_STATE = "0A"
PORTS = ("agent-port", "query-port", "allocator-port", "router-port", "http-port")
DAEMON_PORTS = {
    "agent": {"agent-port", "query-port"},
    "allocator": {"allocator-port"},
    "router": {"router-port", "http-port"},
}


def socket_inodes(pid: int) -> set[str]:
    inodes = set()
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(entry)
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[len("socket:[") : -1])
    return inodes


def listening(pid: int) -> set[tuple[str, int]]:
    """Return the addresses and ports on which a process listens; IPv6 ones in hex."""
    inodes = socket_inodes(pid)
    listeners = set()
    for table in ("tcp", "tcp6", "udp", "udp6"):
        for line in Path(f"/proc/{pid}/net/{table}").read_text().splitlines()[1:]:
            fields = line.split()
            is_listening = fields[3] == TCP_LISTEN_STATE or table.startswith("udp")
            if fields[9] in inodes and is_listening:
                host, _, port = fields[1].partition(":")
                listeners.add((_address(host), int(port, 16)))
    return listeners


def _address(host: str) -> str:
    if len(host) > 8:
        return host
    return socket.inet_ntoa(struct.pack("<I", int(host, 16)))


@pytest.fixture
def ports() -> dict[str, int]:
    return dict(zip(PORTS, free_ports(len(PORTS)), strict=True))


def start(
    name: str, ports: dict[str, int], tmp_path: Path
) -> "subprocess.Popen[bytes]":
    flags = [f"--{name}={port}" for name, port in ports.items()]
    flags += [f"--ip={IP}", "--vm=vm-1", "--region=south", "--data-centre=south-1"]
    flags += [f"--log-file={tmp_path / 'log'}"]
    if name != "allocator":
        flags.append("--platform-url=http://127.0.0.1:9")
    module = f"oleandershift.cli.{name}"
    command = [sys.executable, "-m", module, *flags]
    return subprocess.Popen(command, stderr=subprocess.PIPE)


@pytest.fixture(params=DAEMON_PORTS)
def daemon(
    request: pytest.FixtureRequest, ports: dict[str, int], tmp_path: Path
) -> Iterator[tuple[str, "subprocess.Popen[bytes]"]]:
    process = start(request.param, ports, tmp_path)
    yield request.param, process
    process.kill()
    process.communicate()


@pytest.mark.parametrize(
    ("name", "taken"),
    [(n, port) for n in DAEMON_PORTS for port in sorted(DAEMON_PORTS[n])],
)
def test_daemon_reports_a_port_in_use_and_exits(
    name: str, taken: str, ports: dict[str, int], tmp_path: Path
) -> None:
    with socket.socket() as blocker:
        blocker.bind((IP, ports[taken]))
        blocker.listen()
        process = start(name, ports, tmp_path)
        try:
            _, errors = process.communicate(timeout=60)
        except subprocess.TimeoutExpired:
            process.kill()
            process.communicate()
            raise
    assert process.returncode == 1
    assert b"in use" in errors + (tmp_path / "log").read_bytes()
    assert b"Traceback" not in errors


def test_daemon_listens_only_where_configured(
    daemon: tuple[str, "subprocess.Popen[bytes]"], ports: dict[str, int]
) -> None:
    name, process = daemon
    expected = {(IP, ports[port]) for port in DAEMON_PORTS[name]}
    wait_until(lambda: expected <= listening(process.pid), f"{expected} listened on")
    assert listening(process.pid) == expected


def test_listening_detects_a_socket_bound_to_all_addresses() -> None:
    with socket.socket() as sock:
        sock.bind(("0.0.0.0", 0))
        sock.listen()
        assert ("0.0.0.0", sock.getsockname()[1]) in listening(os.getpid())
