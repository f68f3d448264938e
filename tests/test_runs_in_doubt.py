"""Doubts about the runs of an upstream whose host's clock was set back."""

import pytest
from storereaders import Vm, registration

from oleandershift.directory import UpstreamRun
from oleandershift.ids import UpstreamId

GRACE_SECONDS = 0.5
EARLIER, LATER = 5_000, 9_000
U1 = UpstreamId("u1")


@pytest.fixture
def vm(clock):
    vm = Vm(clock, GRACE_SECONDS)
    vm.read_list(10, registration("u1", 10, born=LATER))
    return vm


def test_run_in_doubt_that_said_that_it_leaves_gets_no_requests(vm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER))
    vm.view.directory.on_leaving(UpstreamRun(U1, EARLIER))
    assert vm.usable() == set()
