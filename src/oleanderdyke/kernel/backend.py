"""Hold what is known of one backend server."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.prefill_rate import PrefillRate
from oleanderdyke.kernel.rate_limits import RateLimit
from oleanderdyke.kernel.servers import (
    AnswerField,
    PromptPart,
    ServerLoad,
    ServerRecord,
)

# What a first byte takes beside reading, where nothing waits: the first step
# of an engine and two ways over the network.
_FIRST_BYTE: Millis = 45.0
# The share of the latest first byte in what is known of a server's queue.
_DELAY_WEIGHT = 0.3
# What a first byte told of a queue counts less and less until then.
_DELAY_LIFE: Millis = 1_500.0
# For longer than that no server is waited for as one that reads: a frozen one
# may owe any number of tokens, and callers of streams leave after two seconds.
_LONGEST_READING: Millis = 1.5 * SECOND
# A server that told a neighbour of its load within this lives.
_HEARD_LIFE: Millis = 800.0
_HEARD_GRACE: Millis = 1 * SECOND
# A load that was told longer ago says nothing.
_LOAD_LIFE: Millis = 3 * SECOND


@dataclass(slots=True)
class Backend:
    """Hold one backend server; `record` is what it last told.

    `waiting` has, by attempt, the moment from which on it owes a first byte
    and the prompt tokens that it has to read before.
    """

    record: ServerRecord
    listed_at: Millis = 0.0
    reading: PrefillRate = field(default_factory=PrefillRate)
    running: int = 0
    running_tokens: int = 0
    waiting: dict[str, PendingAttempt] = field(default_factory=dict)
    last_heard_at: Millis = 0.0
    load: ServerLoad | None = None
    load_at: Millis = 0.0
    failures: int = 0
    refusals: int = 0
    errors: float = 0.0
    excluded_until: Millis = 0.0
    # Until when it may crash under a rate that it bears later.
    cold_until: Millis = 0.0
    sent_at: Millis = -math.inf
    reload_until: Millis = 0.0
    missing_since: Millis | None = None
    # Its newest entry can't be read, so what it told before may be outdated.
    is_unread: bool = False
    limit: RateLimit = field(default_factory=RateLimit)
    # Until when it wants no requests of this entry.
    backoff_until: Millis = 0.0
    # What it named in answers and could not be read.
    malformed: set[AnswerField] = field(default_factory=set)
    # Another server told the same address later: this one has likely ended.
    is_displaced: bool = False
    delays: dict[int, QueueDelay] = field(default_factory=dict)
    cached_parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0

    def count_pending_tokens(self, rank: int) -> int:
        """Count the prompt tokens that are read before those of a rank."""
        if not self.waiting:
            return 0
        return sum(
            owed.tokens for owed in self.waiting.values() if owed.rank <= rank
        )

    def find_queue_delay(self, rank: int, now: Millis) -> Millis:
        """Return how long a request of a rank waits before it is read.

        It is what the latest first bytes of the rank showed, or more where
        one as urgent is still owed and has waited longer.
        """
        known = self.delays.get(rank)
        shown = 0.0 if known is None else known.find_left(now)
        if not self.waiting:
            return shown
        owed = (
            self._find_excess(owed, now)
            for owed in self.waiting.values()
            if owed.rank <= rank
        )
        return max(shown, *owed, 0.0)

    def record_first_byte(self, owed: PendingAttempt, now: Millis) -> None:
        """Learn from a first byte how long requests of its rank wait."""
        excess = max(self._find_excess(owed, now), 0.0)
        if owed.is_alone:
            self.reading.add_sample(owed.tokens, now - owed.since - _FIRST_BYTE)
        known = self.find_queue_delay(owed.rank, now)
        shown = known + _DELAY_WEIGHT * (excess - known)
        self.delays[owed.rank] = QueueDelay(shown, now)

    def count_waiting(self, now: Millis) -> int:
        """Return how many requests wait there, fewer the longer ago told.

        A server that has told nothing lately must not look idle at once.
        """
        if self.load is None:
            return 0
        left = max(1 - (now - self.load_at) / _LOAD_LIFE, 0.0)
        return round(self.load.waiting * left)

    def count_active(self, now: Millis) -> int:
        """Return how many requests run or wait there."""
        if self.load is None or now - self.load_at > _LOAD_LIFE:
            return self.running
        return max(self.load.running + self.load.waiting, self.running)

    def find_overdue_time(self, now: Millis) -> Millis:
        """Return for how long the server has owed a byte and sent none.

        An engine sends something of each run every few milliseconds, but
        nothing while it reads the prompts of all that it was sent. Taken for
        silent then, sound engines would get no work for half a second and
        more, and what they had begun would be read again elsewhere.
        """
        if not self.running:
            return 0.0
        since = [owed.since for owed in self.waiting.values()]
        tokens = sum(owed.tokens for owed in self.waiting.values())
        reading = min(self.reading.estimate_time(tokens), _LONGEST_READING)
        quiet = now - max(min(since, default=0.0), self.last_heard_at)
        return max(quiet - reading - self._find_grace(now), 0.0)

    def _find_grace(self, now: Millis) -> Millis:
        """Return how much longer to wait for one that others hear.

        It lives, and lets this entry's few requests wait for more urgent ones.
        What broke may still be a connection, so that the wait is bounded.
        """
        if (
            self.load_at <= self.last_heard_at
            or now - self.load_at > _HEARD_LIFE
        ):
            return 0.0
        return _HEARD_GRACE

    def _find_excess(self, owed: PendingAttempt, now: Millis) -> Millis:
        """Return how much longer a first byte has taken than reading alone."""
        reading = self.reading.estimate_time(owed.tokens)
        return now - owed.since - reading - _FIRST_BYTE

    def clear_cache(self) -> None:
        """Forget what it kept: new weights discard it."""
        self.cached_parts.clear()
        self.cached_tokens = 0

    def count_cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Count the leading tokens of a prompt that it likely holds."""
        count = 0
        for part in parts:
            if part.name not in self.cached_parts:
                break
            count += part.tokens
        return count


@dataclass(frozen=True, slots=True)
class QueueDelay:
    """Hold how long requests of one rank waited, and when that was seen."""

    shown: Millis
    at: Millis

    def find_left(self, now: Millis) -> Millis:
        """Return it, less the longer ago it was seen."""
        return self.shown * max(1 - (now - self.at) / _DELAY_LIFE, 0.0)


@dataclass(frozen=True, slots=True)
class PendingAttempt:
    """Hold since when a first byte is owed, after how many tokens.

    `memory` counts the tokens that the request takes until it has ended. It
    `is_alone` where nothing else was known to wait there.
    """

    since: Millis
    tokens: int
    rank: int = 0
    memory: int = 0
    is_alone: bool = False
