"""Tests of how long VMs of a large data centre use an upstream that leaves."""

import pytest
from virtualfleet import (
    CONFIGURATION,
    DRAIN_SECONDS,
    LEAVER,
    LOCAL,
    LOCAL_VMS,
    SMALL_DRAIN_SECONDS,
    SMALL_LOCAL_VMS,
    STAYER,
    STEP_SECONDS,
    UPSTREAMS,
    registration,
)

from oleandershift.io.storesync import KINDS
from standins.gateway_fleet import configuration

SEND_FRACTION = 0.25
"""Part of the drain time that is left from the choice of an upstream to the arrival of
the request: a connect of 0.6 s and a late iteration of the event loop."""


def drain(fleet):
    """Let the leaver report that it drains; return the time of the store's answer."""
    fleet.store.put(UPSTREAMS, LEAVER, registration(0, "draining"))
    return fleet.loop.time()


def remove(fleet):
    """Remove the leaver without draining; return the time of the store's answer."""
    fleet.store.delete(UPSTREAMS, LEAVER)
    return fleet.loop.time()


def assert_in_time(fleet, left_at, vms=None):
    """Fail if a VM still chooses the leaver after the drain time.

    The send asks the directory once more, so that no request is sent later.
    """
    assert fleet.used_until(left_at, vms) <= fleet.drain_s


LEAVINGS = [pytest.param(drain, id="draining"), pytest.param(remove, id="removed")]


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_leaving_is_known_in_time_on_a_calm_day(make_fleet, leave, seed):
    fleet = make_fleet(seed)
    left_at = leave(fleet)
    fleet.run(8.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_leaving_behind_another_change_is_known_in_time(make_fleet, leave, seed):
    fleet = make_fleet(seed)
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(8.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("serve_delay_s", [0.5, 0.9])
def test_late_snapshot_does_not_prolong_the_use(make_fleet, leave, serve_delay_s):
    fleet = make_fleet()
    for vm in fleet.vms.values():
        vm.serve_delay_s = serve_delay_s
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(8.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_leaving_in_a_second_without_events_before_the_history_is_dropped(
    make_fleet, leave, seed
):
    fleet = make_fleet(seed)
    fleet.store.muted = True
    left_at = leave(fleet)
    fleet.run(1.0)
    fleet.store.drop_history()
    fleet.store.muted = False
    fleet.run(11.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize(
    ("drain_s", "local_vms"),
    [(DRAIN_SECONDS, LOCAL_VMS), (SMALL_DRAIN_SECONDS, SMALL_LOCAL_VMS)],
    ids=["large", "small"],
)
@pytest.mark.parametrize("seed", range(3))
def test_use_ends_early_enough_for_a_slow_send_after_a_second_without_events(
    make_fleet, leave, drain_s, local_vms, seed
):
    """The store drops its history and cuts the watches at the end of that second."""
    fleet = make_fleet(seed, drain_s, local_vms)
    fleet.store.muted = True
    left_at = leave(fleet)
    fleet.run(1.0)
    fleet.store.drop_history()
    fleet.store.muted = False
    fleet.run(11.0)
    assert fleet.used_until(left_at) <= (1.0 - SEND_FRACTION) * drain_s


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("stuck_readers", [1, 2])
@pytest.mark.parametrize("seed", range(2))
def test_readers_that_serve_no_snapshots_are_passed_over(
    make_fleet, leave, stuck_readers, seed
):
    fleet = make_fleet(seed)
    for vm in fleet.by_rank()[:stuck_readers]:
        vm.stuck = True
    left_at = leave(fleet)
    fleet.run(12.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_reader_with_a_silent_watch_catches_up_while_upstreams_change(
    make_fleet, leave, seed
):
    fleet = make_fleet(seed)
    standby = fleet.by_rank()[1]
    fleet.store.deaf.add((standby.name, UPSTREAMS))
    left_at = leave(fleet)
    for number in range(30):
        fleet.store.put(UPSTREAMS, STAYER, registration(100 + number))
        fleet.run(0.4)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_newer_configuration_does_not_hide_a_newer_list(make_fleet, leave, seed):
    fleet = make_fleet(seed)
    standby = fleet.by_rank()[1]
    fleet.store.deaf.add((standby.name, UPSTREAMS))
    left_at = leave(fleet)
    for number in range(20):
        fleet.store.put(CONFIGURATION, "main", configuration(number + 1))
        fleet.run(0.6)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("separated", [False, True])
def test_readers_that_are_refused_are_replaced_in_time(make_fleet, leave, separated):
    fleet = make_fleet()
    fleet.store.refused.update(vm.name for vm in fleet.by_rank()[:2])
    fleet.separated = separated
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(12.0)
    assert_in_time(fleet, left_at, fleet.followers())


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("separated", [False, True])
def test_readers_with_silent_watches_are_replaced_in_time(make_fleet, leave, separated):
    fleet = make_fleet()
    for vm in fleet.by_rank()[:2]:
        fleet.store.deaf.update((vm.name, kind) for kind in KINDS)
    fleet.separated = separated
    left_at = leave(fleet)
    fleet.run(25.0)
    assert_in_time(fleet, left_at, fleet.followers())


@pytest.mark.parametrize("leave", LEAVINGS)
def test_hub_frozen_beside_a_standby_with_a_silent_watch(make_fleet, leave):
    fleet = make_fleet()
    hub, standby = fleet.by_rank()[:2]
    fleet.store.deaf.update((standby.name, kind) for kind in KINDS)
    hub.frozen = True
    left_at = leave(fleet)
    fleet.run(20.0)
    assert_in_time(fleet, left_at, [*fleet.followers(), standby])


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("overloaded_vms", [2, LOCAL_VMS])
@pytest.mark.parametrize("loop_delay_s", [0.1, 0.2, 0.4])
def test_leaving_is_known_in_time_on_overloaded_vms(
    make_fleet, leave, loop_delay_s, overloaded_vms
):
    fleet = make_fleet()
    for vm in fleet.by_rank()[:overloaded_vms]:
        vm.loop_delay_s = loop_delay_s
    fleet.run(3.0)
    left_at = leave(fleet)
    fleet.run(15.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_whole_list_does_not_restart_the_grace_of_a_removal(make_fleet, leave, seed):
    fleet = make_fleet(seed)
    # The readers list anew at a revision that no upstream bears.
    fleet.store.put(CONFIGURATION, "main", configuration(1))
    fleet.store.drop_history()
    fleet.run(3.0)
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(8.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("interval_s", [0.5, 1.0])
def test_list_is_fetched_while_another_vm_names_newer_configurations(
    make_fleet, leave, interval_s
):
    fleet = make_fleet()
    hub, standby = fleet.by_rank()[:2]
    fleet.store.deaf.update([(hub.name, CONFIGURATION), (standby.name, UPSTREAMS)])
    fleet.separated = True
    left_at = leave(fleet)
    for number in range(int(12.0 / interval_s)):
        fleet.store.put(CONFIGURATION, "main", configuration(number + 1))
        fleet.run(interval_s)
    assert_in_time(fleet, left_at, fleet.followers())


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("interval_s", [0.3, 0.7, 1.1])
@pytest.mark.parametrize("deaf_count", [1, 2])
def test_deaf_readers_catch_up_while_upstreams_change_at_any_pace(
    make_fleet, leave, interval_s, deaf_count
):
    fleet = make_fleet()
    readers = fleet.by_rank()[2 - deaf_count : 2]
    fleet.store.deaf.update((vm.name, UPSTREAMS) for vm in readers)
    left_at = leave(fleet)
    for number in range(int(8.0 / interval_s)):
        fleet.store.put(UPSTREAMS, STAYER, registration(100 + number))
        fleet.run(interval_s)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
def test_vm_asks_a_reader_elsewhere_when_those_of_its_data_centre_do_not_answer(
    make_fleet, leave
):
    """Only readers name the newest revision: the others have no spare descriptors."""
    fleet = make_fleet()
    for vm in fleet.by_rank():
        vm.stuck = True
    follower = fleet.followers()[0]
    left_at = leave(fleet)
    fleet.run(12.0)
    asked = [name for name in follower.fetched_from if not name.startswith(LOCAL)]
    assert asked
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_leaving_in_the_pause_of_a_feed_before_the_history_is_dropped(
    make_fleet, leave, seed
):
    fleet = make_fleet(seed)
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(3 * STEP_SECONDS)
    fleet.store.drop_history()
    fleet.run(12.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_leaving_is_known_in_time_on_a_small_deployment(make_fleet, leave, seed):
    fleet = make_fleet(seed, SMALL_DRAIN_SECONDS, SMALL_LOCAL_VMS)
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(8.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("local_vms", [8, LOCAL_VMS])
@pytest.mark.parametrize("seed", range(2))
def test_mild_delays_together_stay_within_the_drain_time(
    make_fleet, leave, local_vms, seed
):
    """Iterations of 0.15 s, and a leaving behind another change and a new list."""
    fleet = make_fleet(seed, local_vms=local_vms)
    for vm in fleet.by_rank():
        vm.loop_delay_s = 0.15
    fleet.store.put(CONFIGURATION, "main", configuration(1))
    fleet.store.drop_history()
    fleet.run(3.0)
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(12.0)
    assert_in_time(fleet, left_at)
