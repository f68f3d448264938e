"""Test that no request fails during a rolling restart under load."""

import os

from standins.rolling import run


def test_no_request_fails_while_vms_restart_under_load(tmp_path) -> None:
    report = run(f"127.22.{os.getpid() % 250}.5", tmp_path, vms=2, seed=1)
    assert set(report.exit_codes) == {0}
    assert report.failures.total() == 0
    assert report.calls > 0
