"""A rolling restart under load loses no request."""

import os

from standins.rolling import run


def test_restart_of_a_vm_under_load_fails_no_request(tmp_path) -> None:
    report = run(f"127.22.{os.getpid() % 250}.5", tmp_path, vms=2, seed=1)
    assert set(report.exit_codes) == {0}
    assert report.failures.total() == 0
    assert report.calls > 0
