"""The model of engines: batches, prompts, memory."""

import pytest

from oleandershift.prompts import PrefixPart
from standins.batching import BatchEngine, EngineProfile, Job

SPEED = EngineProfile(
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
    return BatchEngine(SPEED, {}, REUSE_SECONDS)


def job(name, tokens=500, output=5, shared=0):
    parts = [PrefixPart("shared", shared)] if shared else []
    return Job(name, [*parts, PrefixPart(name, tokens)], output)


def play(engine):
    """Run an engine until it is idle and return its events."""
    events = []
    while engine.step_ends_at is not None:
        events += engine.finish_step()
    return events


def test_prompt_is_read_in_chunks_before_the_first_event(engine):
    engine.submit(0.0, job("a", tokens=2500))
    first = play(engine)[0]
    assert first.is_first
    reading = 3 * SPEED.base_step_s + 2500 / SPEED.prefill_tokens_per_s
    assert first.emitted_at == pytest.approx(
        reading + SPEED.base_step_s + SPEED.step_s_per_request
    )


def test_events_hold_several_tokens(engine):
    engine.submit(0.0, job("a", output=12))
    events = play(engine)
    assert [event.is_last for event in events] == [False, False, False, True]
    assert engine.running == 0


def test_jobs_past_the_slots_wait_in_order(engine):
    for name in "abc":
        engine.submit(0.0, job(name, output=50))
    engine.finish_step()
    assert (engine.running, engine.waiting) == (2, 1)
    order = [event.job.name for event in play(engine) if event.is_first]
    assert order == ["a", "b", "c"]


def test_long_prompt_delays_what_runs_beside_it(engine):
    engine.submit(0.0, job("a", output=40))
    alone = [event.emitted_at for event in play(engine)]
    other = BatchEngine(SPEED, {}, REUSE_SECONDS)
    other.submit(0.0, job("a", output=40))
    other.submit(0.0, job("b", tokens=9000))
    beside = [event.emitted_at for event in play(other) if event.job.name == "a"]
    assert beside[-1] > alone[-1] + 8 * 1000 / SPEED.prefill_tokens_per_s


def test_shared_part_is_read_once(engine):
    engine.submit(0.0, job("a", shared=2000))
    play(engine)
    engine.submit(1.0, job("b", shared=2000))
    play(engine)
    assert (engine.prefill_counts.prefilled, engine.prefill_counts.cached) == (
        3000,
        2000,
    )
    assert engine.prefill_counts.recomputed == 0


def test_shared_part_that_yielded_is_read_again(engine):
    engine.submit(0.0, job("a", shared=2000))
    play(engine)
    engine.submit(1.0, job("large", tokens=9900))
    play(engine)
    engine.submit(2.0, job("b", shared=2000))
    play(engine)
    assert engine.prefill_counts.recomputed == 2000


def test_shared_part_is_not_read_again_after_the_window(engine):
    other = BatchEngine(SPEED, engine._last_use, REUSE_SECONDS)
    engine.submit(0.0, job("a", shared=2000))
    play(engine)
    other.submit(REUSE_SECONDS + 1, job("b", shared=2000))
    play(other)
    assert other.prefill_counts.recomputed == 0


def test_newest_is_put_back_when_memory_runs_out():
    engine = BatchEngine(SPEED, {}, REUSE_SECONDS)
    engine.submit(0.0, job("a", tokens=4990, output=20))
    engine.submit(0.0, job("b", tokens=4990, output=20))
    events = play(engine)
    assert engine.preemptions >= 1
    assert {event.job.name for event in events if event.is_last} == {"a", "b"}


def test_job_larger_than_the_memory_holds_up_no_slot(engine):
    engine.submit(0.0, job("a", tokens=20_000))
    assert engine.running == 0
    assert engine.step_ends_at is None


def test_cancelled_job_frees_its_slot(engine):
    jobs = [job(name, output=1000) for name in "abc"]
    for item in jobs:
        engine.submit(0.0, item)
    for _ in range(5):
        engine.finish_step()
    engine.cancel(jobs[0])
    engine.cancel(jobs[2])
    engine.finish_step()
    assert (engine.running, engine.waiting) == (1, 0)
