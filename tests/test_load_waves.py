"""Half of a large fleet of engines took new weights at once.

What was seen: weights were named, and again four seconds later. Ten of 48
engines loaded at first, then 17, 24 and 16 together. Loads share the links that
weights come over, so that each took twice as long; the engines that were left
refused a quarter of what came.

How it came about: the loads that a wave ends with are its slowest, and the
middle of the last three was taken for all. With that nothing but all at once
was in time, which made the next ones slower still.

What proved it: the orders in the log of the agents, and the same queue here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import pytest

from oleanderdyke.kernel.load_queue import LoadNotice, LoadQueue, LoadStep

MODEL = 'm'
ENGINES = 48
LIMIT = 20_000.0
# What is sent to old weights has to begin before they may serve no longer, and
# when they were replaced is known to the second.
MARGIN = 3_500.0
# So many loads share the links without being slower.
AT_ONCE = 19
SECOND_NAME = 4_000.0
STEP = 50


@dataclass
class Engine:
    name: str
    held: int = 1
    begun: float | None = None
    left: float = 0.0
    target: int = 1


@dataclass
class Fleet:
    """Play a fleet whose weights are named twice; loads share links."""

    seed: int
    most: int = 0
    ended_at: float = 0.0
    newest: int = 2
    queue: LoadQueue = field(default_factory=lambda: LoadQueue(LIMIT))

    def __post_init__(self):
        self.random = Random(self.seed)
        self.engines = [Engine(f'{number}') for number in range(ENGINES)]
        for engine in self.engines:
            self.ask(engine)

    def ask(self, engine):
        name = engine.name
        notice = LoadNotice(
            name, LoadStep.WAITS, f'side-{name}', MODEL, engine.held
        )
        self.queue.apply(notice)

    def play(self, until):
        for now in range(0, int(until), STEP):
            if now == SECOND_NAME:
                self.name_again()
            self.queue.update_due_times(find_due)
            self.queue.tick(now)
            turns = set(self.queue.list_loading(now))
            for engine in self.engines:
                if engine.name in turns and engine.begun is None:
                    self.begin(engine, now)
            self.load(now)

    def name_again(self):
        self.newest = 3
        for engine in self.engines:
            if engine.held == 2:
                self.ask(engine)

    def begin(self, engine, now):
        engine.begun = now
        # Its runs end first, then it loads.
        engine.left = self.random.uniform(1_000, 3_000) + 1_800
        engine.target = self.newest

    def load(self, now):
        loading = [each for each in self.engines if each.begun is not None]
        self.most = max(self.most, len(loading))
        for engine in loading:
            engine.left -= STEP * min(AT_ONCE / len(loading), 1.0)
            if engine.left <= 0:
                self.end(engine, now)

    def end(self, engine, now):
        engine.begun, engine.held = None, engine.target
        if engine.held < self.newest:
            self.ask(engine)
            return
        self.ended_at = max(self.ended_at, now)
        name = engine.name
        notice = LoadNotice(
            name, LoadStep.ENDED, f'side-{name}', MODEL, engine.held
        )
        self.queue.apply(notice)


def find_due(_, held):
    named_at = 0.0 if held == 1 else SECOND_NAME
    return named_at + LIMIT - MARGIN


@pytest.mark.parametrize('seed', range(10))
def test_weights_named_twice_take_no_more_engines_than_links_carry(seed):
    fleet = Fleet(seed)
    fleet.play(SECOND_NAME + 1.5 * LIMIT)
    assert fleet.most <= AT_ONCE
    assert [each.held for each in fleet.engines] == [3] * ENGINES
    # The last to load is idle for no longer than the load of another.
    assert fleet.ended_at <= SECOND_NAME + LIMIT + 2_000.0
