"""Tests of the operators' command line."""

import subprocess
import sys
from pathlib import Path

import pytest

from oleandershift.cli import operator
from oleandershift.settings import program_version


def test_help_lists_commands_and_exit_codes() -> None:
    help_text = operator.make_parser().format_help()
    assert "timeline" in help_text
    assert "exit codes" in help_text


def test_version_flag_prints_the_program_version(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with pytest.raises(SystemExit):
        operator.main(["--version"])
    assert capsys.readouterr().out.strip() == program_version()


def test_timeline_writes_page_and_reports_torn_line(tmp_path: Path) -> None:
    log = tmp_path / "vm-1-router.log"
    log.write_bytes(
        b'{"event":{"wall":1,"logical":0,"vm":"vm-1","region":"r","process":"router",'
        b'"incarnation":1,"name":"started"}}\n{"torn'
    )
    page = tmp_path / "page.html"
    command = [sys.executable, "-m", "oleandershift.cli.operator", "timeline"]
    result = subprocess.run(
        [*command, str(tmp_path), "--html", str(page)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert (result.returncode, "1 torn" in result.stderr) == (0, True)
    assert "vm-1" in page.read_text()


def test_missing_log_fails_and_names_the_file(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert operator.main(["timeline", "/nonexistent.log"]) == 1
    assert "/nonexistent.log" in capsys.readouterr().err
