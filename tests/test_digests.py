"""Tests of the messages between VMs: round trip, size limit, and damaged data."""

import msgspec
import pytest
from hypothesis import given, strategies as st
from returns.result import Failure, Success

from oleandershift.demand import TeamRate
from oleandershift.digests import (
    Digest,
    RemovedUpstream,
    Scope,
    StoreSnapshot,
    TeamDemand,
    UpstreamWork,
    decode_digest,
    decode_snapshot,
    encode,
)
from oleandershift.directory import UpstreamRun
from oleandershift.ids import (
    DataCentreId,
    Incarnation,
    Seq,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.placement import Load
from oleandershift.records import Record
from oleandershift.summaries import (
    MAX_ABSENT_ENTRIES,
    MAX_DEMAND_ENTRIES,
    MAX_DIGEST_PARTS,
    MAX_LEAVING_ENTRIES,
    MAX_REMOVED_ENTRIES,
    MAX_UPSTREAM_ENTRIES,
    summarise,
)

PACKET_BYTES = 1472


def position_of(field):
    """Return the number of fields before one that VMs of earlier versions lack."""
    return list(Digest.__annotations__).index(field)


@pytest.fixture
def digest():
    work = tuple(
        UpstreamWork(UpstreamId(f"i-{n:010x}"), 60, 99_999, 500_000)
        for n in range(MAX_UPSTREAM_ENTRIES)
    )
    demand = tuple(
        TeamDemand(TeamId(f"team{n:03}"), 99_000, 99_000)
        for n in range(MAX_DEMAND_ENTRIES)
    )
    return Digest(
        VmId("edge-fukuoka-a-1"),
        DataCentreId("fukuoka-a"),
        Incarnation(1),
        Seq(1),
        Scope.VM,
        1,
        7,
        530,
        "10.111.222.133",
        7400,
        work,
        demand,
    )


def test_digest_round_trip(digest):
    assert decode_digest(encode(digest)).unwrap() == digest


def test_largest_digest_fits_into_a_packet(digest):
    assert len(encode(digest)) <= PACKET_BYTES


def make_runs(count):
    return frozenset(
        UpstreamRun(UpstreamId(f"i-{n:010x}"), 1_785_951_685_287) for n in range(count)
    )


def make_removals(count):
    return [
        RemovedUpstream(run.upstream, run.incarnation, 999_999_999, 800)
        for run in make_runs(count)
    ]


def make_summary(upstreams, teams, absences, leaving=0, removed=0):
    loads = {
        UpstreamId(f"i-{n:010x}"): Load(60, 99_999, 500_000) for n in range(upstreams)
    }
    rates = {TeamId(f"team{n:03}"): TeamRate(99_000, 99_000) for n in range(teams)}
    return summarise(
        1,
        loads,
        rates,
        make_runs(absences),
        make_runs(leaving),
        make_removals(removed),
    )


@pytest.mark.parametrize("parts", [1, 2, MAX_DIGEST_PARTS])
def test_largest_digest_with_absences_fits_into_a_packet(digest, parts):
    summary = make_summary(
        parts * (MAX_UPSTREAM_ENTRIES - MAX_ABSENT_ENTRIES),
        parts * MAX_DEMAND_ENTRIES,
        parts * MAX_ABSENT_ENTRIES,
    )
    assert len(summary.parts) == parts
    for part in summary.parts:
        assert len(part.absent) == MAX_ABSENT_ENTRIES
        assert len(part.work) == MAX_UPSTREAM_ENTRIES - MAX_ABSENT_ENTRIES
        full = msgspec.structs.replace(
            digest,
            work=part.work,
            demand=part.demand,
            absent=part.absent,
            part=parts,
            parts=parts,
        )
        assert len(encode(full)) <= PACKET_BYTES


@pytest.mark.parametrize("parts", [1, 2, MAX_DIGEST_PARTS])
def test_largest_digest_with_leaving_upstreams_fits_into_a_packet(digest, parts):
    work_limit = (
        MAX_UPSTREAM_ENTRIES
        - MAX_ABSENT_ENTRIES
        - MAX_LEAVING_ENTRIES
        - MAX_REMOVED_ENTRIES
    )
    summary = make_summary(
        parts * work_limit,
        parts * MAX_DEMAND_ENTRIES,
        parts * MAX_ABSENT_ENTRIES,
        parts * MAX_LEAVING_ENTRIES,
        parts * MAX_REMOVED_ENTRIES,
    )
    assert len(summary.parts) == parts
    for part in summary.parts:
        assert len(part.leaving) == MAX_LEAVING_ENTRIES
        assert len(part.removed) == MAX_REMOVED_ENTRIES
        assert len(part.work) == work_limit
        full = msgspec.structs.replace(
            digest,
            work=part.work,
            demand=part.demand,
            absent=part.absent,
            leaving=part.leaving,
            removed=part.removed,
            read_age_ms=99_999,
            part=parts,
            parts=parts,
        )
        assert len(encode(full)) <= PACKET_BYTES


@given(
    upstreams=st.integers(0, 400),
    teams=st.integers(0, 400),
    runs=st.integers(0, 200),
    leaving_runs=st.integers(0, 100),
    removals=st.integers(0, 100),
)
def test_no_entry_of_a_digest_is_left_out_uncounted(
    upstreams, teams, runs, leaving_runs, removals
):
    summary = make_summary(upstreams, teams, runs, leaving_runs, removals)
    work = [entry.upstream for part in summary.parts for entry in part.work]
    demand = [entry.team for part in summary.parts for entry in part.demand]
    absent = [run for part in summary.parts for run in part.absent]
    leaving = [run for part in summary.parts for run in part.leaving]
    removed = [entry.upstream for part in summary.parts for entry in part.removed]
    entries = (work, demand, absent, leaving, removed)
    sent = sum(len(set(names)) for names in entries)
    assert sent == sum(map(len, entries))
    assert sent + summary.omitted == upstreams + teams + runs + leaving_runs + removals
    assert [part.vms for part in summary.parts] == [1] + [0] * (len(summary.parts) - 1)
    for part in summary.parts:
        runs_named = len(part.absent) + len(part.leaving) + len(part.removed)
        assert len(part.work) + runs_named <= MAX_UPSTREAM_ENTRIES
        assert len(part.demand) <= MAX_DEMAND_ENTRIES


@pytest.mark.parametrize("field", ["absent", "leaving", "read_age_ms", "removed"])
def test_digest_of_an_earlier_version_lacks_later_fields(digest, field):
    fields = msgspec.msgpack.decode(encode(digest))[: position_of(field)]
    assert decode_digest(msgspec.msgpack.encode(fields)).unwrap() == digest


@pytest.mark.parametrize("field", ["absent", "leaving", "read_age_ms", "removed"])
def test_earlier_version_reads_a_digest_with_later_fields(digest, field):
    earlier = msgspec.defstruct(
        "Digest",
        list(Digest.__annotations__.items())[: position_of(field)],
        array_like=True,
        namespace={"__module__": Digest.__module__},
    )
    runs = (UpstreamRun(UpstreamId("u"), 1),)
    data = encode(msgspec.structs.replace(digest, **{field: runs}))
    assert msgspec.msgpack.decode(data, type=earlier).demand == digest.demand


def test_snapshot_round_trip():
    record = Record("main", 3, {"version": 3})
    snapshot = StoreSnapshot(record, 9, (Record("u", 4, {"a": [1, None]}),))
    assert decode_snapshot(encode(snapshot)).unwrap() == snapshot


@given(st.binary(max_size=200))
def test_foreign_datagrams_are_rejected(data):
    assert isinstance(decode_digest(data), Failure)


def test_truncated_digest_is_rejected(digest):
    data = encode(digest)
    assert all(
        isinstance(decode_digest(data[:length]), Failure) for length in range(len(data))
    )


def test_deeply_nested_object_in_a_snapshot_is_rejected():
    start_of_record = b"\x94\xc0\x01\x91\x93\xa1a\x01"
    deep = 5000 * b"\x91" + b"\x90"
    assert isinstance(decode_snapshot(start_of_record + b"\x90\x00"), Success)
    assert isinstance(decode_snapshot(start_of_record + deep + b"\x00"), Failure)
