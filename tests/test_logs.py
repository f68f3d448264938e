"""Tests of the JSON log output."""

import json
import logging
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from loguru import logger

from oleandershift.io.logs import configure_logging


@pytest.fixture
def lines(tmp_path: Path) -> Iterator[Callable[[], list[dict[str, str]]]]:
    path = tmp_path / "log.jsonl"
    configure_logging("INFO", str(path))
    yield lambda: [json.loads(line) for line in path.read_text().splitlines()]
    logger.remove()
    logging.basicConfig(force=True)


def test_library_logs_become_json_lines(
    lines: Callable[[], list[dict[str, str]]],
) -> None:
    logging.getLogger("urllib3.pool").warning("retry of {%s}", "x")
    (line,) = lines()
    assert line["message"] == "retry of {x}"
    assert (line["level"], line["logger"]) == ("WARNING", "urllib3.pool")


def test_queue_depth_is_not_logged(lines: Callable[[], list[dict[str, str]]]) -> None:
    logging.getLogger("waitress.queue").warning("Task queue depth is 1")
    assert lines() == []


def test_exception_is_logged_on_the_same_line(
    lines: Callable[[], list[dict[str, str]]],
) -> None:
    try:
        raise ValueError("broken\nin two")
    except ValueError:
        logging.getLogger("any").exception("failed")
    (line,) = lines()
    assert line["exception"] == "ValueError('broken\\nin two')"
