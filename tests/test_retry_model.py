"""Retries of all entries together, whatever becomes of the entries.

The failure it guards against: services got more retries than the platform
allows, as each start of an entry had a full bucket and counts erred low.
"""

from __future__ import annotations

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from oleanderdyke.clock import SECOND
from oleanderdyke.kernel.retries import RetryLimits
from tests.retry_world import World

MOST_ENTRIES = 8


class RetriesOfAllEntries(RuleBasedStateMachine):
    """Draw what happens to the entries and their store."""

    def __init__(self):
        super().__init__()
        self.world = World()

    @initialize(count=st.integers(1, 6), is_first_start=st.booleans())
    def begin(self, count, is_first_start):
        for _ in range(count):
            self.world.start(is_first_start=is_first_start)

    def pick(self, number):
        entries = self.world.entries
        return entries[number % len(entries)] if entries else None

    @rule(seconds=st.sampled_from((0.1, 1.0, 4.0, 9.0, 26.0, 41.0)))
    def wait(self, seconds):
        self.world.advance(seconds * SECOND)

    @rule(number=st.integers(0, 9), count=st.integers(1, 40))
    def send(self, number, count):
        entry = self.pick(number)
        if entry is not None:
            self.world.send(entry, count)

    @rule(count=st.integers(1, 40), fails=st.booleans())
    def send_to_all(self, count, fails):
        for entry in self.world.entries:
            self.world.send(entry, count, fails=fails)

    @rule()
    def save_up_then_fail(self):
        """Fail few requests, long after many that succeeded."""
        for entry in self.world.entries:
            self.world.send(entry, 100, fails=False)
        self.world.advance(21 * SECOND)
        for entry in self.world.entries:
            self.world.send(entry, 20)

    @rule(number=st.integers(0, 9), count=st.integers(1, 8))
    def restart_in_series(self, number, count):
        """Kill an entry as soon as it has used what it has."""
        entry = self.pick(number)
        for _ in range(count if entry else 0):
            self.world.end(entry)
            entry = self.world.start(entry.name)
            self.world.advance(0.3 * SECOND)
            self.world.send(entry, 14)

    @rule(number=st.integers(0, 9))
    def replace(self, number):
        """Start the next process of an entry while the last one drains."""
        entry = self.pick(number)
        if entry is not None:
            self.world.leave(entry)
            self.world.start(entry.name)

    @rule(count=st.integers(0, 100))
    def replace_all(self, count):
        """Replace all entries, each with what it has saved up."""
        for entry in tuple(self.world.entries):
            self.world.send(entry, 100, fails=False)
            self.world.leave(entry)
            self.world.start(entry.name)
        self.world.advance(2 * SECOND)
        for entry in self.world.entries:
            self.world.send(entry, count, fails=False)

    @rule(seconds=st.sampled_from((2.0, 12.0, 30.0, 60.0)))
    def freeze_one(self, seconds):
        entry = self.pick(0)
        if entry is not None:
            self.world.freeze(entry, seconds * SECOND)

    @rule()
    def add(self):
        if len(self.world.entries) < MOST_ENTRIES:
            self.world.start()

    @rule(number=st.integers(0, 9))
    def remove(self, number):
        if len(self.world.entries) > 1:
            self.world.end(self.pick(number))

    @rule(is_down=st.booleans(), is_deaf=st.booleans())
    def change_store(self, is_down, is_deaf):
        self.world.is_down, self.world.is_deaf = is_down, is_deaf

    @rule()
    def forget_announcements(self):
        self.world.forget()

    @rule()
    def lose_store(self):
        self.world.lose_store()

    @rule(seconds=st.sampled_from((0.0, 10.0)))
    def change_staleness(self, seconds):
        self.world.staleness = seconds * SECOND

    @invariant()
    def retries_keep_to_the_limit(self):
        assert self.world.find_excess() is None


TestRetriesOfAllEntries = RetriesOfAllEntries.TestCase
TestRetriesOfAllEntries.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)


@pytest.mark.parametrize('is_first_start', [True, False])
def test_entries_that_know_all_others_use_the_limit(is_first_start):
    world = World()
    entries = [world.start(is_first_start=is_first_start) for _ in range(6)]
    world.advance(30 * SECOND)
    for entry in entries:
        world.send(entry, 100)
    assert len(world.seen.retries) >= 0.5 * (52 + 0.2 * 600)
    assert world.find_excess() is None


def test_entries_that_start_in_turn_for_minutes_keep_to_the_limit():
    world = World()
    for number in range(200):
        name = f'front-{number % 6}'
        if len(world.entries) == 6:
            world.end(world.entries[0])
        entry = world.start(name)
        world.advance(0.7 * SECOND)
        world.send(entry, 14)
    assert world.find_excess() is None


# Entries that are cut from the store kept a share of the retries by which the
# others, that count them no longer, had already raised their own.
def test_entries_that_others_count_no_longer_give_up_their_share():
    world = World(RetryLimits(slack=352.0))
    entries = [world.start() for _ in range(68)]
    world.advance(30 * SECOND)
    for entry in entries:
        world.send(entry, 60, fails=False)
    for entry in entries[:48]:
        entry.is_cut = True
    world.advance(60 * SECOND)
    for entry in entries[48:]:
        world.send(entry, 100, fails=False)
    world.advance(21 * SECOND)
    for entry in entries:
        world.send(entry, 7)
    assert world.find_excess() is None


# Each entry had one retry at least, however many entries shared the limit.
def test_more_entries_than_retries_keep_to_the_limit():
    world = World(RetryLimits(slack=20.0))
    entries = [world.start() for _ in range(68)]
    world.advance(30 * SECOND)
    for entry in entries:
        world.send(entry, 60, fails=False)
    world.advance(21 * SECOND)
    for entry in entries:
        world.send(entry, 1)
    assert world.find_excess() is None
    assert len(world.seen.retries) >= 10


# A drain takes most of a window, in which its successor has the same share.
def test_entries_that_leave_pass_their_share_on():
    world = World()
    entries = [world.start() for _ in range(6)]
    world.advance(30 * SECOND)
    for entry in entries:
        world.send(entry, 60, fails=False)
    world.advance(21 * SECOND)
    for entry in entries:
        world.leave(entry)
    for entry in entries:
        world.send(entry, 10)
    assert len(world.seen.retries) <= 6 + 0.2 * 60
