"""A short soak test, and tests of its check for violations."""

import os
import random

import pytest

from standins.faulty import Execution, FaultName
from standins.soak import SoakConfig, find_violations, run
from standins.soak_calls import CallKind, CallOutcome, SoakCall, SoakRecord


def test_short_soak_has_no_violations(tmp_path) -> None:
    seed = random.randrange(1 << 30)
    print("seed", seed)
    ip = f"127.22.{os.getpid() % 250}.2"
    report = run(SoakConfig(seed, 400, ip, tmp_path))
    assert report.violations == ()
    assert sum(report.outcomes.values()) == 400


CHARGE = SoakCall(CallKind.CHARGE, "m", "", FaultName.NONE, 1.0)
RAN = Execution("r/1", "/charge", "m", "m")
VIOLATIONS = [
    ([SoakRecord(CHARGE, CallOutcome.COMPLETE, "r")], [RAN, RAN]),
    ([SoakRecord(CHARGE, CallOutcome.WRONG, "r")], []),
    ([SoakRecord(CHARGE, CallOutcome.NOT_RUN, "r")], [RAN]),
    ([SoakRecord(CHARGE, CallOutcome.NOT_RUN, "other")], [RAN]),
]


@pytest.mark.parametrize(("records", "executions"), VIOLATIONS)
def test_each_violation_is_found(records, executions) -> None:
    assert find_violations(records, executions)
    assert not find_violations([SoakRecord(CHARGE, CallOutcome.COMPLETE, "r")], [RAN])
