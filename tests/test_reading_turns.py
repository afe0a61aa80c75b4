"""Entries that found no place at a store knew nothing of what it holds.

What was seen: with 24 entries a third of what was read had been read before by
some engine, though the stores had room for all of it.

How it came about: a store serves a dozen reads of its events at once and turns
the others away. Each entry kept its place by reading again at once, and those
turned away forgot what they knew and asked again after up to 5 s.

What proved it: the same readers here, of which half never get a place.
"""

from __future__ import annotations

import heapq
from random import Random

import anyio
import pytest

from oleanderdyke.kernel.context_stores import VIEW_MAX_AGE
from oleanderdyke.kernel.read_backoff import ReadBackoff
from tests.context_scene import SALT, SOURCE, ask_prompt, staging_contexts
from tests.standins.contexts import ContextStore

# A fetch needs half a second of the time for which a view serves.
FRESH = VIEW_MAX_AGE - 500.0


def play(readers, places, seed, length=30_000.0, settled=10_000.0):
    """Return the oldest that any view gets once the readers are settled."""
    random = Random(seed)
    turns = [ReadBackoff(Random(random.random())) for _ in range(readers)]
    asked = [0.0] * readers
    due = [(random.uniform(0, 100), number) for number in range(readers)]
    heapq.heapify(due)
    ends: list[float] = []
    oldest = 0.0
    while due[0][0] < length:
        now, number = heapq.heappop(due)
        ends = [end for end in ends if end > now]
        if len(ends) >= places:
            heapq.heappush(
                due, (now + turns[number].record_rejection(), number)
            )
            continue
        end = now + turns[number].wait
        ends.append(end)
        if now > settled:
            oldest = max(oldest, end - asked[number])
        asked[number] = now
        after = end + turns[number].find_pause()
        heapq.heappush(due, (after + 0.01, number))
    return oldest


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize(
    ('readers', 'places'), [(3, 12), (13, 12), (24, 12), (48, 12), (24, 6)]
)
def test_no_view_gets_older_than_it_may_serve(readers, places, seed):
    assert play(readers, places, seed) < FRESH


def test_where_there_is_a_place_for_all_they_wait_long_and_pause_seldom():
    turns = ReadBackoff(Random(1))
    assert turns.wait == 1_000.0
    pauses = [turns.find_pause() for _ in range(1_000)]
    assert max(pauses) <= 300.0
    assert sum(pauses) < 1_000 * 1_000.0 * 0.1


def test_reads_stay_longer_than_those_that_are_charged_for():
    turns = ReadBackoff(Random(1))
    for _ in range(20):
        turns.record_rejection()
    assert turns.wait >= 200.0
    assert turns.wait + turns.find_pause() < FRESH


@pytest.mark.anyio
async def test_a_store_without_a_place_is_still_known_for_a_while(tmp_path):
    contexts = ContextStore()
    contexts.add(SALT, 'aa', 2_000)
    async with staging_contexts(tmp_path, contexts) as (stage, address):
        await anyio.sleep(0.5)
        contexts.is_crowded = True
        await anyio.sleep(1.5)
        assert contexts.turned_away
        told = await ask_prompt(stage)
    assert told[SOURCE] == f'{address}/2000,-,-'
