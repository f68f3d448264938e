"""Tests of finding the causes of failed requests in gateways' logs."""

import json

import pytest

from oleandershift.cli import operator
from oleandershift.logcauses import (
    CAUSE_TEMPLATES,
    find_cause,
    find_entries,
    summarise_causes,
)


def line(event, request="a1", time="2026-12-04T00:00:01", **fields):
    record = {"time": time, "level": "INFO", "event": event, "vm": "vm1"}
    return json.dumps({**record, "request": request, **fields}, separators=(",", ":"))


@pytest.fixture
def log():
    return [
        line("attempt.broken", cause="reset", time="2026-12-04T00:00:02"),
        line("stream.cut", reason="upstream reset", time="2026-12-04T00:00:03"),
        line("request.refused", "a2", reason="too late", status=503),
        line("request.refused", "a11", reason="deadline", status=504),
        "  12.5 vm2 " + line("attempt.not-run", upstream="e1"),
        "Traceback (most recent call last):",
        '{"time": a1',
    ]


def read(log, request):
    return find_entries(request, [text.encode() for text in log])


def test_entries_of_one_request_are_sorted_by_time(log):
    events = [entry.event for entry in read(log, "a1")]
    assert events == ["attempt.not-run", "attempt.broken", "stream.cut"]


def test_cause_comes_from_the_last_decision(log):
    assert find_cause(read(log, "a1")) == "the stream was cut: upstream reset"
    assert find_cause(read(log, "a2")) == "refused: too late"


def test_unknown_request_has_no_entries_and_no_cause(log):
    assert read(log, "a9") == []
    assert find_cause([]) is None


@pytest.mark.parametrize("event", list(CAUSE_TEMPLATES))
def test_every_event_in_the_templates_yields_a_cause(event):
    assert find_cause(read([line(event)], "a1"))


def test_cause_command_prints_the_cause(tmp_path, capsys, log, monkeypatch):
    path = tmp_path / "vm1.log"
    path.write_text("\n".join(log))
    assert operator.main(["cause", "a2", str(path)]) == 0
    assert "cause: refused: too late" in capsys.readouterr().out


def test_cause_of_a_suspect_is_its_latest_block_or_release():
    log = [
        line("attempt.broken", "a1", suspects=["bad"]),
        line("suspect.blocked", "", suspect="bad", upstreams=["e1", "e2"]),
    ]
    assert find_cause(read(log, "bad")) == (
        "blocked: upstreams ['e1', 'e2'] crashed under it"
    )
    reason = "an upstream answered it"
    released = line("suspect.released", "", suspect="bad", reason=reason, time="3")
    assert find_cause(read([*log, released], "bad")) == f"released: {reason}"


def test_summary_counts_requests_by_cause(log):
    more_lines = [
        line("request.refused", "a3", reason="no route for host 'x' and path '/y'"),
        line("request.refused", "a4", reason="no route for host 'z' and path '/y'"),
        line("request.retried", "a5"),
        line("attempt.broken", "a6"),
        line("request.done", "a6"),
        line("process.started", ""),
    ]
    summary = summarise_causes([text.encode() for text in [*log, *more_lines]])
    assert summary.causes == {
        "the stream was cut: upstream reset": 1,
        "refused: too late": 1,
        "refused: deadline": 1,
        "refused: no route for host": 2,
    }
    assert summary.unexplained == ("a5",)
    assert (summary.explained, summary.total) == (5, 6)


def test_causes_command_prints_the_explained_count(tmp_path, capsys, log):
    path = tmp_path / "vm1.log"
    path.write_text("\n".join(log))
    assert operator.main(["causes", str(path)]) == 0
    assert "explained: 3 of 3" in capsys.readouterr().out


def test_cause_command_fails_for_an_unknown_request(tmp_path, capsys):
    path = tmp_path / "vm1.log"
    path.write_text("")
    assert operator.main(["cause", "a2", str(path)]) == 1
    assert "no line names request a2" in capsys.readouterr().err
