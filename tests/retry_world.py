"""Simulate entries that share a retry limit, in virtual time.

Entries start, stop, freeze and lose their announcements while requests arrive
in bursts, of which some have every attempt fail.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from oleanderdyke.clock import SECOND
from oleanderdyke.kernel.presence import EntryCount
from oleanderdyke.kernel.retries import RetryLimits, RetryShares
from tools.soak.arrivals import Excess, Observations, RetryRule

SERVICE = 'desk'
LIMITS = RetryLimits(share=0.2, slack=52.0)
WINDOW = 10.0
ANNOUNCE_PERIOD = 15 * SECOND
INITIAL_PERIODS = (1.5 * SECOND, 4 * SECOND)
PERIOD = 10 * SECOND
GRACE = 8 * SECOND
MOST_RETRIES = 2
# How long the store keeps records.
KEPT_STARTS = 20 * SECOND


@dataclass
class Entry:
    """One entry process; the newest of its name unless it is leaving."""

    name: str
    count: EntryCount
    shares: RetryShares
    pauses: Iterator[float]
    next_at: float
    position: int = 0
    announced_at: float = -math.inf
    frozen_until: float = -math.inf
    is_cut: bool = False
    ends_at: float = math.inf


@dataclass
class World:
    """Entries, the topic of their announcements, and what servers see.

    A store that is `deaf` is read but takes no records. Neighbours pass on
    reads that are up to `staleness` old.
    """

    limits: RetryLimits = LIMITS
    now: float = 0.0
    is_down: bool = False
    is_deaf: bool = False
    staleness: float = 0.0
    entries: list[Entry] = field(default_factory=list)
    starts: list[float] = field(default_factory=list)
    seen: Observations = field(default_factory=Observations)
    _topic: list[tuple[float, str]] = field(default_factory=list)
    _first: int = 0
    _started: set[str] = field(default_factory=set)
    _names: Iterator[int] = field(default_factory=itertools.count)

    def start(self, name: str = '', *, is_first_start: bool = False) -> Entry:
        name = name or f'front-{next(self._names)}'
        count = EntryCount(name, is_first_start=is_first_start)
        entry = Entry(
            name,
            count,
            RetryShares(
                name,
                count,
                lambda: self.limits,
                random=Random(1),
                now=lambda: self.now,
                is_leaving=lambda: not math.isinf(entry.ends_at),
            ),
            itertools.chain(INITIAL_PERIODS, itertools.repeat(PERIOD)),
            next_at=self.now,
        )
        self.entries.append(entry)
        self._register(entry)
        if is_first_start and name not in self._started:
            entry.shares.record_first_process()
        self._started.add(name)
        return entry

    def _register(self, entry: Entry) -> None:
        """Let a start begin with a retry if few others were before it."""
        grants = entry.shares.make_start_grants()
        if self.is_down or self.is_deaf:
            return
        earlier = grants.find_earlier(len(self.starts))
        self.starts.append(self.now)
        has_expired = (
            earlier is None or self.now - self.starts[earlier] > KEPT_STARTS
        )
        if grants.may_grant(has_expired=has_expired):
            entry.shares.grant_start()

    def end(self, entry: Entry) -> None:
        self.entries.remove(entry)

    def leave(self, entry: Entry) -> None:
        if math.isinf(entry.ends_at):
            entry.ends_at = self.now + GRACE

    def freeze(self, entry: Entry, duration: float) -> None:
        entry.frozen_until = self.now + duration

    def forget(self) -> None:
        """Drop all announcements, as retention does."""
        self._first += len(self._topic)
        self._topic.clear()

    def advance(self, duration: float) -> None:
        """Let time pass; entries announce themselves and read meanwhile."""
        end = self.now + duration
        while (entry := self._find_next(end)) is not None:
            self.now = max(self.now, entry.next_at, entry.frozen_until)
            if entry.ends_at <= self.now:
                self.entries.remove(entry)
                continue
            self._work(entry)
            entry.next_at = self.now + next(entry.pauses)
        self.now = end
        self.entries = [each for each in self.entries if each.ends_at > end]

    def lose_store(self) -> None:
        """Let the store come back empty."""
        self._topic.clear()
        self._first = 0

    def send(self, entry: Entry, count: int, *, fails: bool = True) -> None:
        """Send requests; if one fails, the entry retries as it may."""
        for _ in range(count):
            self.seen.sent.append(self.now / SECOND)
            if entry.frozen_until > self.now:
                continue
            budget = entry.shares.find(SERVICE)
            budget.deposit()
            for _ in range(MOST_RETRIES if fails else 0):
                if not budget.try_withdraw():
                    break
                self.seen.retries.append(self.now / SECOND)

    def find_excess(self) -> Excess | None:
        limits = self.limits
        rule = RetryRule(limits.share, limits.slack, WINDOW)
        return self.seen.find_excess(rule)

    def _find_next(self, end: float) -> Entry | None:
        due = [
            each
            for each in self.entries
            if max(each.next_at, each.frozen_until) <= end
        ]
        return min(
            due,
            key=lambda each: max(each.next_at, each.frozen_until),
            default=None,
        )

    def _work(self, entry: Entry) -> None:
        """Announce the entry if that is due, then read, as it does."""
        if self.is_down or entry.is_cut:
            return
        is_due = self.now - entry.announced_at >= ANNOUNCE_PERIOD
        if is_due and math.isinf(entry.ends_at):
            if self.is_deaf:
                return
            self._announce(entry)
        self._read(entry)

    def _announce(self, entry: Entry) -> None:
        self._topic.append((self.now, entry.name))
        entry.announced_at = self.now
        entry.count.record_announcement(self.now)

    def _read(self, entry: Entry) -> None:
        end = self._first + len(self._topic)
        if not self._first <= entry.position <= end:
            entry.position = self._first
            entry.count.mark_incomplete()
            return
        for at, name in self._topic[entry.position - self._first :]:
            if at > self.now - self.staleness and name != entry.name:
                break
            entry.position += 1
            entry.count.record_entry(name, self.now)
        entry.count.record_read(self.now)
