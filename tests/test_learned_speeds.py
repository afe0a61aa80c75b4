"""Speeds of engines and stores, learned from answers without a network.

Each test names the load that it answers.
"""

from __future__ import annotations

import itertools
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.deployment import (
    Deployment,
    EngineTraits,
    ServiceTraits,
    StoreTraits,
)
from oleanderdyke.kernel.scheduling.learned_speeds import (
    FirstByte,
    LearnedSpeeds,
)
from oleanderdyke.kernel.scheduling.machine_slowdown import find_excess
from oleanderdyke.kernel.servers import ServerLoad, ServerRecord

NEAR, FAR = 'near:1', 'far:1'
BASE, RATE, PROMPT = 30.0, 40.0, 8_000
USUAL = PROMPT / RATE
SMALL, LARGE = 18_432.0, 327_680.0
REGIONS = {'hall': 'north', 'yard': 'north', 'dock': 'south'}


def make_speeds(
    token_bytes=SMALL, *, near=58_000.0, far=58_000.0, place='hall'
):
    stores = [
        StoreTraits(
            NEAR, 'hall', 10**6, near, is_managed=True, first_delay=0.5
        ),
        StoreTraits(FAR, place, 10**6, far, is_managed=True, first_delay=0.5),
    ]
    services = {
        each.address: ServiceTraits(each.address, store=each) for each in stores
    }
    engine = EngineTraits(40_000, token_bytes, 130_000.0, 64, 7)
    services['desk'] = ServiceTraits('desk', engine=engine)
    speeds = LearnedSpeeds(REGIONS)
    speeds.configure(Deployment(1, services=services))
    return speeds


def make_engines(count):
    return [
        Backend(ServerRecord(f'e-{number}', 'desk', f'e:{number}', 'hall'))
        for number in range(count)
    ]


def read(speeds, engine, now, *, slower=1.0, excess=0.0):
    """Record the first bytes of a short prompt and a long one."""
    first = FirstByte(BASE, 0, excess=excess)
    speeds.record_first_byte(engine, first, now)
    duration = BASE + USUAL * slower
    first = FirstByte(duration, PROMPT, excess=excess)
    speeds.record_first_byte(engine, first, now)


def learn_usual(speeds, engines, now=0.0):
    for _, engine in itertools.product(range(4), engines):
        read(speeds, engine, now)


# Load: an engine four times as slow beside sound ones.
def test_an_engine_that_turns_slow_counts_as_twice_as_slow_after_eight():
    speeds, (sound, slow) = make_speeds(), make_engines(2)
    learn_usual(speeds, (sound, slow))
    for number in range(8):
        read(speeds, sound, 100.0 + number)
        read(speeds, slow, 100.0 + number, slower=4.0)
    assert speeds.estimate_read(slow, PROMPT, 110.0) > 2 * USUAL
    assert speeds.estimate_read(sound, PROMPT, 110.0) < 1.1 * USUAL


# Load: as before, with more requests than the sound engines can take at once.
@pytest.mark.parametrize('slower', [4.0, 100.0])
def test_a_slow_engine_gets_less_work_and_comes_back(slower):
    speeds, engines = make_speeds(), make_engines(4)
    slow = engines[-1]
    learn_usual(speeds, engines)
    for number in range(8):
        read(speeds, slow, 100.0 + number, slower=slower)
    shares = count_shares(speeds, engines, 200, 110.0)
    assert 0.2 * 50 < shares[slow.record.server] < 0.6 * 50
    assert speeds.take_changes(1_000.0) == []
    assert [each.is_slow for each in speeds.take_changes(2_000.0)] == [True]
    # It recovers while it gets hardly any requests, whose samples would show.
    assert speeds.take_changes(16_000.0) == []
    (change,) = speeds.take_changes(17_000.0)
    assert (change.is_slow, change.start) == (False, slow.record.start)
    shares = count_shares(speeds, engines, 200, 16_000.0)
    assert shares[slow.record.server] == 50


def count_shares(speeds, engines, count, now):
    """Send each request to the engine that would read it first."""
    tokens = dict.fromkeys((each.record.server for each in engines), 0)
    for _ in range(count):
        best = min(
            engines,
            key=lambda each: speeds.estimate_read(
                each, tokens[each.record.server] + PROMPT, now
            ),
        )
        tokens[best.record.server] += PROMPT
    return {server: total // PROMPT for server, total in tokens.items()}


# Load: steps that take longer the more requests run, with prefill in between.
def test_steps_are_learned_by_the_number_of_runs():
    speeds, (engine,) = make_speeds(), make_engines(1)
    for number in range(200):
        engine.running = (number * 7) % 40
        step = 3.0 + 0.2 * engine.running
        pause = 7 * step + (60.0 if number % 4 == 0 else 0.0)
        speeds.record_pause(engine, 1, pause, float(number))
    for engine.running in (2, 35):
        found = speeds.estimate_step(engine, 60_000.0)
        assert found == pytest.approx(3 + 0.2 * engine.running, rel=0.3)


# Load: streams of a slow engine that gets no long prompts.
def test_slow_steps_show_a_slow_engine_before_any_prefill():
    speeds, (sound, slow) = make_speeds(), make_engines(2)
    for number in range(20):
        speeds.record_pause(sound, 1, 35.0, float(number))
    for number in range(12):
        speeds.record_pause(slow, 1, 140.0, 50.0 + number)
    now = 70.0
    assert speeds.estimate_step(slow, now) > 2 * speeds.estimate_step(
        sound, now
    )
    ratio = speeds.estimate_read(slow, 1, now) / speeds.estimate_read(
        sound, 1, now
    )
    assert ratio > 1.5


def report(engine, slowdown, now):
    engine.load, engine.load_at = ServerLoad(1, 0, 64, slowdown), now


# Load: engines whose machine is shared and slows for some hundred ms.
@pytest.mark.parametrize(
    ('follows', 'low', 'high'), [(True, 1.7, 2.0), (False, 1.0, 1.2)]
)
def test_reported_slowdowns_count_as_far_as_first_bytes_follow(
    follows, low, high
):
    speeds, engines = make_speeds(), make_engines(4)
    learn_usual(speeds, engines)
    for number in range(40):
        now, engine = 100.0 * number, engines[number % 4]
        slowdown = 2.0 if number % 5 == 0 else 1.0
        report(engine, slowdown, now)
        excess = find_excess(engine, now)
        slower = slowdown if follows else 1.0
        read(speeds, engine, now, slower=slower, excess=excess)
    now += 100.0
    engine, other = engines[:2]
    usual = speeds.estimate_read(other, PROMPT, now + 500.0)
    report(engine, 2.0, now)
    ratio = speeds.estimate_read(engine, PROMPT, now) / usual
    assert low <= ratio <= high


# Load: as before, with machines that are slow whenever work is sent there.
def test_a_shared_machine_is_not_taken_for_a_slow_engine():
    speeds, (sound, *shared) = make_speeds(), make_engines(6)
    learn_usual(speeds, (sound, *shared))
    for now in range(0, 8_000, 200):
        read(speeds, sound, now)
        for engine in shared:
            report(engine, 2.0, now)
            excess = find_excess(engine, now)
            read(speeds, engine, now, slower=2.0, excess=excess)
    for engine in (sound, *shared):
        found = speeds.estimate_read(engine, PROMPT, 9_000.0)
        assert found == pytest.approx(USUAL, rel=0.15)


# Load: reports that reach an entry when the machine has recovered.
def test_an_old_slowdown_says_nothing():
    speeds, (engine,) = make_speeds(), make_engines(1)
    usual = speeds.estimate_read(engine, PROMPT, 0.0)
    report(engine, 3.0, 0.0)
    found = [
        speeds.estimate_read(engine, PROMPT, age) / usual
        for age in (0.0, 100.0, 200.0, 400.0)
    ]
    assert found == sorted(found, reverse=True)
    assert (found[0] > 1.9, found[-1]) == (True, 1.0)


# Load: small and large context over links of different speed.
@pytest.mark.parametrize(
    ('token_bytes', 'far', 'expected'),
    [(SMALL, 19_000.0, 63.6), (SMALL, 58_000.0, 21.2), (LARGE, 1e6, 166.0)],
)
def test_fetches_follow_the_size_of_context_and_the_slower_link(
    token_bytes, far, expected
):
    speeds, (engine,) = make_speeds(token_bytes, far=far), make_engines(1)
    found = speeds.estimate_fetch(engine, 8_193, 0.0, store=FAR)
    assert found == pytest.approx(expected, rel=0.02)
    fastest = speeds.estimate_fetch(engine, 8_193, 0.0)
    assert fastest <= found


# Load: prompts whose context lies in another data centre or region.
@pytest.mark.parametrize(('place', 'times'), [('yard', 2), ('dock', 10)])
def test_fetches_take_longer_over_a_distance(place, times):
    speeds, (engine,) = make_speeds(place=place), make_engines(1)
    near, far = (
        speeds.estimate_fetch(engine, 8_000, 0.0, store=store) - 0.5
        for store in (NEAR, FAR)
    )
    assert far == pytest.approx(near * times)


# Load: a store whose link turns slow beside a fast one.
def test_a_store_that_turns_slow_is_learned_and_forgotten():
    speeds, (engine,) = make_speeds(), make_engines(1)
    learn_usual(speeds, (engine,))
    configured = speeds.estimate_fetch(engine, PROMPT, 0.0, store=FAR)
    for store, fetching in ((NEAR, 20.0), (FAR, 200.0)) * 6:
        first = FirstByte(BASE + fetching, 0, PROMPT, store)
        speeds.record_first_byte(engine, first, 100.0)
    found = speeds.estimate_fetch(engine, PROMPT, 100.0, store=FAR)
    assert found > 4 * configured
    assert speeds.estimate_fetch(engine, PROMPT, 100.0) < 1.5 * configured
    later = speeds.estimate_fetch(engine, PROMPT, 20_000.0, store=FAR)
    assert later == pytest.approx(configured)


ANY = st.floats(allow_nan=False, allow_infinity=False)
SAMPLES = st.lists(
    st.one_of(
        st.builds(
            FirstByte,
            duration=ANY,
            tokens=st.integers(0, 10**6),
            fetched=st.sampled_from((0, 8_000)),
            store=st.sampled_from(('', NEAR, FAR, 'gone:1')),
            excess=st.floats(-0.5, 3.0),
        ),
        st.tuples(st.integers(-1, 9), ANY),
    ),
    max_size=40,
)


# Load: any, as of clocks that jump and servers that report nonsense.
@given(SAMPLES, st.floats(0.0, 1e5), ANY)
def test_estimates_stay_finite_positive_and_bounded(samples, period, slowdown):
    speeds, (engine,), now = make_speeds(), make_engines(1), 0.0
    for sample in samples:
        now += period
        report(engine, slowdown, now)
        if isinstance(sample, FirstByte):
            speeds.record_first_byte(engine, sample, now)
        else:
            speeds.record_pause(engine, *sample, now)
    found = (
        speeds.estimate_read(engine, PROMPT, now),
        speeds.estimate_step(engine, now),
        speeds.estimate_fetch(engine, PROMPT, now),
    )
    assert all(math.isfinite(each) and each > 0 for each in found)
    assert found[0] <= PROMPT * 2 * 4 * 4
    assert found[1] <= 1_000 * 8
    assert found[2] <= 10_000
