"""Decoding of the platform's settings file."""

from pathlib import Path

import pytest
from returns.result import Failure

from oleandershift.cli import gateway
from oleandershift.platform import settings

FILE = """
nodeName = "edge-fukuoka-a-1"
ip = "10.1.0.33"
zone = "fukuoka-a"
region = "fukuoka"
portRange = [7400,7415]
heartbeatMs = 1200
unknown = "ignored"
[zones]
fukuoka-a = "fukuoka"
[listen]
frontend = "10.1.0.33:8783"
readiness = "10.1.0.33:8780"
[limits]
memoryMb = 300
maxFds = 4100
[bounds]
drainMs = 2500
graceS = 8
retryRatio = 0.2
retryExtra = 58
[platform]
address = "10.200.1.7:8781"
"""


@pytest.fixture
def path(tmp_path):
    settings_file = tmp_path / "local.toml"
    settings_file.write_text(FILE)
    return settings_file


def test_wrong_limits_of_the_quarantine_are_reported_together(capsys):
    flags = ["--prompt-crash-limit", "1", "--prompt-block-seconds", "never"]
    assert gateway.main(flags) == 2
    error = capsys.readouterr().err
    assert "--prompt-crash-limit" in error
    assert "'1' is not allowed: expected 2 to 10" in error
    assert "--prompt-block-seconds" in error


def test_settings_file_is_decoded(path):
    vm_settings = settings.read(path).unwrap()
    assert vm_settings.vm == "edge-fukuoka-a-1"
    assert (vm_settings.caller_address.host, vm_settings.caller_address.port) == (
        "10.1.0.33",
        8783,
    )
    assert vm_settings.peer_port == 7400
    assert vm_settings.bounds.termination_grace_ms == 8000
    assert vm_settings.bounds.reuse_window_ms == 10_000


def test_all_findings_are_returned_together(path):
    text = FILE.replace('zone = "fukuoka-a"\n', "").replace("[7400,7415]", '"x"')
    path.write_text(text)
    places = {finding.place for finding in settings.read(path).failure()}
    assert places == {"zone", "portRange"}


def test_address_with_a_hostname_is_a_finding(path):
    path.write_text(FILE.replace("10.200.1.7:8781", "store.example:80"))
    assert isinstance(settings.read(path), Failure)


@pytest.mark.parametrize("text", ["= 3", "\x00"])
def test_file_with_invalid_toml_is_a_finding(path, text):
    path.write_text(text)
    assert isinstance(settings.read(path), Failure)


def test_missing_file_is_a_finding():
    result = settings.read(Path("/nonexistent/file.toml"))
    assert result.failure()[0].place == "/nonexistent/file.toml"
