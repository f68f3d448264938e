"""Tests of the log of the teams' shares."""

import pytest

from oleandershift.demand import DemandMeter, TeamRate, max_min_shares
from oleandershift.ids import TeamId
from oleandershift.io.sharelog import (
    MAX_LOGGED_TEAMS,
    SHARE_LOG_INTERVAL_SECONDS,
    ShareLog,
)

LARGE, SMALL = TeamId("large"), TeamId("small")


class RecordingLog:
    """Keeps the lines that are written."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        """Record a line."""
        self.lines.append((event, fields))


@pytest.fixture
def log():
    return RecordingLog()


@pytest.fixture
def demand():
    return DemandMeter(window_s=4.0)


def test_line_has_level_and_rates_of_the_fleet_and_of_this_vm(log, demand):
    for record in (demand.record_request, demand.record_admission, demand.record_start):
        record(5.0, LARGE, 150)
    rates = {LARGE: TeamRate(900.0, 300.0), SMALL: TeamRate(50.0, 50.0)}
    ShareLog(log, demand).on_update(5.0, max_min_shares(rates, 250.0, 1.1))
    [(event, fields)] = log.lines
    assert event == "shares.updated"
    assert not fields.keys() & {"time", "level", "event", "vm"}
    assert (fields["share_level"], fields["capacity"]) == (200, 250)
    assert (fields["requested"], fields["admitted"]) == (950, 350)
    assert fields["teams"][LARGE] == {
        "requested": 900,
        "admitted": 300,
        "here": {"requested": 100, "admitted": 100, "started": 100},
    }


def test_lines_are_limited_in_number_and_size(log, demand):
    teams = {TeamId(f"t{number}"): TeamRate(number, 0.0) for number in range(1, 100)}
    shares = max_min_shares(teams, 1.0, 1.0)
    share_log = ShareLog(log, demand)
    for step in range(10):
        share_log.on_update(step * SHARE_LOG_INTERVAL_SECONDS / 10, shares)
    [(_, fields)] = log.lines
    assert len(fields["teams"]) == MAX_LOGGED_TEAMS
    assert "t99" in fields["teams"]
