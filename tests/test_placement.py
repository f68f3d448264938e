"""Tests of placement: the upstream that is chosen under a given load."""

import random

import pytest

from oleandershift.directory import Upstream, UpstreamState
from oleandershift.ids import (
    DataCentreId,
    RegionId,
    RouteId,
    ServiceId,
    TeamId,
    UpstreamId,
)
from oleandershift.placement import (
    SLOT_HOLD_SECONDS,
    Load,
    LoadTracker,
    Location,
    Placement,
    batch_delay_s,
)
from oleandershift.prompts import PrefixPart, Prompt
from oleandershift.routing import Service
from oleandershift.shedding import LoadShedder, PendingRequest

TARGET_SECONDS = 0.5

NEAR, FAR = DataCentreId("near"), DataCentreId("far")
ENGINE = Service(ServiceId("model"), 100, batch_slots=8)
PLAIN = Service(ServiceId("desk"), 100)


def make_upstream(name, data_centre=NEAR, slots=8):
    return Upstream(
        name=UpstreamId(name),
        incarnation=1,
        service=ServiceId("model"),
        host="127.0.0.1",
        port=8080,
        data_centre=data_centre,
        slots=slots,
        state=UpstreamState.READY,
    )


def make_prompt(shared="s", shared_tokens=4000, unique_tokens=500):
    parts = (PrefixPart(shared, shared_tokens), PrefixPart("own", unique_tokens))
    return Prompt(shared_tokens + unique_tokens, 100, 80, parts)


@pytest.fixture
def loads():
    return LoadTracker(reuse_s=10.0)


@pytest.fixture
def placement(loads):
    regions = {NEAR: RegionId("r1"), FAR: RegionId("r2")}
    return Placement(loads, Location(NEAR, RegionId("r1"), regions))


def test_choice_is_none_without_candidates(placement):
    assert placement.choose(0.0, ENGINE, [], make_prompt(), TARGET_SECONDS) is None


def test_same_prefix_goes_to_the_same_engine_on_every_vm(placement):
    engines = [make_upstream(f"e{number}") for number in range(6)]
    first = placement.choose(
        0.0, ENGINE, engines, make_prompt(), TARGET_SECONDS
    ).upstream
    again = placement.choose(
        0.0, ENGINE, engines[::-1], make_prompt(), TARGET_SECONDS
    ).upstream
    assert first == again


def test_prefixes_are_spread_over_all_engines(placement):
    engines = [make_upstream(f"e{number}") for number in range(6)]
    chosen = {
        placement.choose(
            0.0, ENGINE, engines, make_prompt(f"s{n}"), TARGET_SECONDS
        ).upstream.name
        for n in range(60)
    }
    assert len(chosen) == 6


def test_engine_with_a_long_prompt_of_another_vm_is_avoided(placement, loads):
    engines = [make_upstream("e1"), make_upstream("e2")]
    preferred = placement.choose(
        0.0, ENGINE, engines, make_prompt(), TARGET_SECONDS
    ).upstream
    loads.set_remote({preferred.name: Load(running=1, prefill_tokens=50_000)})
    other = placement.choose(
        0.0, ENGINE, engines, make_prompt(), TARGET_SECONDS
    ).upstream
    assert other != preferred


def test_short_backlog_does_not_outweigh_a_cached_prefix(placement, loads):
    engines = [make_upstream("e1"), make_upstream("e2")]
    preferred = placement.choose(
        0.0, ENGINE, engines, make_prompt(), TARGET_SECONDS
    ).upstream
    loads.set_remote({preferred.name: Load(running=1, prefill_tokens=2_000)})
    assert (
        placement.choose(0.0, ENGINE, engines, make_prompt(), TARGET_SECONDS).upstream
        == preferred
    )


def test_engine_with_few_slots_is_not_idle_while_requests_are_refused(placement, loads):
    engine = make_upstream("e1", slots=12)
    loads.set_remote({engine.name: Load(running=10)})
    choice = placement.choose(0.0, ENGINE, [engine], make_prompt(), TARGET_SECONDS)
    shedder = LoadShedder(random.Random(1))
    req = PendingRequest(TeamId("t"), RouteId("r"), make_prompt(), TARGET_SECONDS, 9.0)
    assert shedder.decide(req, choice).admitted


def test_request_past_the_last_slot_waits_for_one():
    before, last, past = (batch_delay_s(running, 12) for running in (10, 11, 12))
    assert last - before < 0.05
    assert past - last > SLOT_HOLD_SECONDS / 12


@pytest.mark.parametrize("slots", [48, 64, 128])
def test_full_batch_delays_a_first_token_by_half_a_second_at_most(slots):
    per_request_s = batch_delay_s(slots - 1, slots) / (slots - 1)
    assert per_request_s * slots == pytest.approx(0.5, rel=0.002)


def test_first_event_removes_the_prompt_from_the_backlog(loads):
    req = loads.begin(0.0, make_upstream("e1"), make_prompt())
    assert loads.total(UpstreamId("e1")).prefill_tokens == 4500
    loads.on_first_event(req)
    assert loads.total(UpstreamId("e1")).prefill_tokens == 0
    loads.end(req)
    loads.end(req)
    assert loads.total(UpstreamId("e1")) == Load()


def test_prefix_of_an_earlier_request_is_cached(loads):
    loads.end(loads.begin(0.0, make_upstream("e1"), make_prompt()))
    prompt = Prompt(4600, 10, 10, (PrefixPart("s", 4000), PrefixPart("new", 600)))
    assert loads.uncached_tokens(1.0, UpstreamId("e1"), prompt) == 600


def test_restarted_engine_has_an_empty_cache(loads):
    loads.end(loads.begin(0.0, make_upstream("e1"), make_prompt()))
    loads.clear_cache(UpstreamId("e1"))
    assert loads.uncached_tokens(1.0, UpstreamId("e1"), make_prompt()) == 4500


def test_plain_request_goes_to_the_least_loaded_upstream(placement, loads):
    busy, free = make_upstream("e1", slots=2), make_upstream("e2", slots=2)
    loads.set_remote({busy.name: Load(running=2)})
    assert (
        placement.choose(0.0, PLAIN, [busy, free], None, TARGET_SECONDS).upstream
        == free
    )


def test_plain_request_prefers_the_region_of_this_vm(placement):
    far, near = make_upstream("e1", FAR), make_upstream("e2", NEAR)
    assert (
        placement.choose(0.0, PLAIN, [far, near], None, TARGET_SECONDS).upstream == near
    )


def chosen_names(placement, waits, shared_tokens, unique_tokens, count=20):
    """Return the engines that a number of prompts of different prefixes get."""
    engines = [make_upstream("limited"), make_upstream("free")]
    return [
        placement.choose(
            0.0,
            ENGINE,
            engines,
            Prompt(
                shared_tokens + unique_tokens,
                100,
                80,
                (
                    PrefixPart(f"p{n}", shared_tokens),
                    PrefixPart(f"u{n}", unique_tokens),
                ),
            ),
            TARGET_SECONDS,
            waits,
        ).upstream.name
        for n in range(count)
    ]


@pytest.fixture
def limited():
    return {make_upstream("limited").run: 0.0}


def test_places_at_a_limited_engine_go_to_large_prompts(placement, limited):
    for _ in range(10):
        chosen_names(placement, {}, 0, 1_000)
        chosen_names(placement, {}, 0, 11_000)
    small = chosen_names(placement, limited, 0, 1_000)
    large = chosen_names(placement, limited, 0, 11_000)
    assert small == ["free"] * len(small)
    assert set(large) == {"limited", "free"}


def test_small_prompt_takes_a_place_at_a_limited_engine_if_the_others_are_late(
    placement, loads, limited
):
    loads.set_remote({UpstreamId("free"): Load(running=20, prefill_tokens=60_000)})
    for _ in range(10):
        chosen_names(placement, {}, 0, 11_000)
    small = chosen_names(placement, limited, 0, 1_000)
    assert small == ["limited"] * len(small)


def test_wait_for_a_limit_counts_as_delay(placement):
    waits = {make_upstream("limited").run: 1.0}
    chosen = chosen_names(placement, waits, 0, 6_000)
    assert chosen == ["free"] * len(chosen)
