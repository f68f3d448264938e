"""Simulated engines: batching, chunked prefill, prefix caching and preemption."""

import pytest

from oleandershift.prompts import PrefixPart
from standins.batching import BatchEngine, EngineProfile, Job

PROFILE = EngineProfile(
    slots=2,
    base_step_s=0.004,
    step_s_per_request=0.001,
    step_s_per_context_token=0.0,
    prefill_tokens_per_s=100_000,
    attention_s_per_token_pair=0.0,
    first_token_delay_s=0.0,
    prefill_chunk_tokens=1000,
    kv_cache_tokens=10_000,
    tokens_per_event=5,
)
REUSE_SECONDS = 10.0


@pytest.fixture
def engine():
    return BatchEngine(PROFILE, {}, REUSE_SECONDS)


def make_job(name, unique_tokens=500, output_tokens=5, shared_tokens=0):
    parts = [PrefixPart("shared", shared_tokens)] if shared_tokens else []
    return Job(name, [*parts, PrefixPart(name, unique_tokens)], output_tokens)


def run_until_idle(engine):
    """Run an engine until it is idle and return its events."""
    events = []
    while engine.step_ends_at is not None:
        events += engine.finish_step()
    return events


def test_prompt_is_prefilled_in_chunks_before_the_first_event(engine):
    engine.submit(0.0, make_job("a", unique_tokens=2500))
    first = run_until_idle(engine)[0]
    assert first.is_first
    prefill_s = 3 * PROFILE.base_step_s + 2500 / PROFILE.prefill_tokens_per_s
    assert first.emitted_at == pytest.approx(
        prefill_s + PROFILE.base_step_s + PROFILE.step_s_per_request
    )


def test_event_contains_several_tokens(engine):
    engine.submit(0.0, make_job("a", output_tokens=12))
    events = run_until_idle(engine)
    assert [event.is_last for event in events] == [False, False, False, True]
    assert engine.running == 0


def test_jobs_beyond_the_slots_start_in_order(engine):
    for name in "abc":
        engine.submit(0.0, make_job(name, output_tokens=50))
    engine.finish_step()
    assert (engine.running, engine.waiting) == (2, 1)
    order = [event.job.name for event in run_until_idle(engine) if event.is_first]
    assert order == ["a", "b", "c"]


def test_long_prompt_delays_concurrent_jobs(engine):
    engine.submit(0.0, make_job("a", output_tokens=40))
    alone = [event.emitted_at for event in run_until_idle(engine)]
    other = BatchEngine(PROFILE, {}, REUSE_SECONDS)
    other.submit(0.0, make_job("a", output_tokens=40))
    other.submit(0.0, make_job("b", unique_tokens=9000))
    concurrent = [
        event.emitted_at for event in run_until_idle(other) if event.job.name == "a"
    ]
    assert concurrent[-1] > alone[-1] + 8 * 1000 / PROFILE.prefill_tokens_per_s


def test_shared_part_is_prefilled_once(engine):
    engine.submit(0.0, make_job("a", shared_tokens=2000))
    run_until_idle(engine)
    engine.submit(1.0, make_job("b", shared_tokens=2000))
    run_until_idle(engine)
    assert (engine.prefill_counts.prefilled, engine.prefill_counts.cached) == (
        3000,
        2000,
    )
    assert engine.prefill_counts.recomputed == 0


def test_evicted_shared_part_is_recomputed(engine):
    engine.submit(0.0, make_job("a", shared_tokens=2000))
    run_until_idle(engine)
    engine.submit(1.0, make_job("large", unique_tokens=9900))
    run_until_idle(engine)
    engine.submit(2.0, make_job("b", shared_tokens=2000))
    run_until_idle(engine)
    assert engine.prefill_counts.recomputed == 2000


def test_shared_part_does_not_count_as_recomputed_after_the_reuse_window(engine):
    other = BatchEngine(PROFILE, engine._last_used, REUSE_SECONDS)
    engine.submit(0.0, make_job("a", shared_tokens=2000))
    run_until_idle(engine)
    other.submit(REUSE_SECONDS + 1, make_job("b", shared_tokens=2000))
    run_until_idle(other)
    assert other.prefill_counts.recomputed == 0


def test_newest_job_is_preempted_when_the_cache_is_full():
    engine = BatchEngine(PROFILE, {}, REUSE_SECONDS)
    engine.submit(0.0, make_job("a", unique_tokens=4990, output_tokens=20))
    engine.submit(0.0, make_job("b", unique_tokens=4990, output_tokens=20))
    events = run_until_idle(engine)
    assert engine.preemptions >= 1
    assert {event.job.name for event in events if event.is_last} == {"a", "b"}


def test_job_larger_than_the_cache_occupies_no_slot(engine):
    engine.submit(0.0, make_job("a", unique_tokens=20_000))
    assert engine.running == 0
    assert engine.step_ends_at is None


def test_cancelled_job_frees_its_slot(engine):
    jobs = [make_job(name, output_tokens=1000) for name in "abc"]
    for job in jobs:
        engine.submit(0.0, job)
    for _ in range(5):
        engine.finish_step()
    engine.cancel(jobs[0])
    engine.cancel(jobs[2])
    engine.finish_step()
    assert (engine.running, engine.waiting) == (1, 0)
