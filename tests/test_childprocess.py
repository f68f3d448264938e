"""Tests of the tools' child processes."""

import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from standins import processes
from standins.processes import ChildProcess, stop_all, suspend

SLEEP = ["-n", "1", "-r", "1", "-s", "import time", "time.sleep(9)"]


@pytest.fixture
def child(tmp_path):
    process = ChildProcess("sleeper", "timeit", SLEEP, tmp_path, False)
    yield process
    stop_all([process], 0.1)


@pytest.fixture
def started(monkeypatch):
    """Return the list of processes that the tools start, and end them."""
    recorded = []

    class RecordingPopen(subprocess.Popen):
        def __init__(self, *args, **kwargs):
            super().__init__(*args, **kwargs)
            recorded.append(self)

    monkeypatch.setattr(processes.subprocess, "Popen", RecordingPopen)
    yield recorded
    for process in recorded:
        process.kill()
        process.wait()


def test_concurrent_restarts_leave_one_process(child, started):
    threads = [threading.Thread(target=child.start) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(started) == 1


THREADS = 8
WRITE_WITHOUT_END = """
import sys, threading
def write(path):
    while True:
        with open(path, "a") as file:
            file.write("x")
for path in sys.argv[1:]:
    threading.Thread(target=write, args=(path,)).start()
"""


def test_no_thread_of_a_suspended_process_runs_on(tmp_path):
    paths = [tmp_path / str(number) for number in range(THREADS)]
    process = subprocess.Popen([sys.executable, "-c", WRITE_WITHOUT_END, *paths])
    try:
        while not all(map(Path.exists, paths)):
            time.sleep(0.01)
        assert suspend(process.pid)
        sizes = [path.stat().st_size for path in paths]
        time.sleep(0.2)
        assert [path.stat().st_size for path in paths] == sizes
    finally:
        process.kill()
        process.wait()
