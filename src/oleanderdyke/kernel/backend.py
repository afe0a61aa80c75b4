"""Hold the state of one backend server as an entry knows it."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.rate_limits import RateLimit
from oleanderdyke.kernel.scheduling.prefill_rate import PrefillRate
from oleanderdyke.kernel.servers import (
    AnswerField,
    PromptPart,
    ServerLoad,
    ServerRecord,
)

# The time to first byte without queueing and prefill: the first step of an
# engine and a network round trip.
_BASE_FIRST_BYTE: Millis = 45.0
# The weight of the latest first byte in the average queue delay.
_DELAY_WEIGHT = 0.3
# An observed queue delay decays to zero over this time.
_DELAY_LIFETIME: Millis = 1_500.0
# The longest silence that is attributed to prefill: a frozen server may have
# any number of pending tokens, and callers of streams leave after two seconds.
_MAX_PREFILL_TIME: Millis = 1.5 * SECOND
# A server whose load report reached any entry within this time is alive, and is
# granted the grace time before it counts as overdue.
_REPORT_LIFETIME: Millis = 800.0
_REPORT_GRACE: Millis = 1 * SECOND
# Older load reports are ignored.
_LOAD_LIFETIME: Millis = 3 * SECOND


@dataclass(slots=True)
class Backend:
    """Hold one backend server; `record` is the last record it published.

    `waiting` holds by name the attempts whose first byte is outstanding,
    `delays` the queue delay by rank, and `cached_parts` the token counts of
    the prompt parts that the server has likely cached. `unread_elsewhere`
    counts the prompt tokens that it has yet to prefill for other entries, as
    far as they are known.
    """

    record: ServerRecord
    listed_at: Millis = 0.0
    reading: PrefillRate = field(default_factory=PrefillRate)
    running: int = 0
    # Running requests whose answers this entry doesn't read at the moment.
    paused: int = 0
    running_tokens: int = 0
    waiting: dict[str, PendingAttempt] = field(default_factory=dict)
    unread_elsewhere: float = 0.0
    last_heard_at: Millis = 0.0
    load: ServerLoad | None = None
    load_at: Millis = 0.0
    failures: int = 0
    refusals: int = 0
    errors: float = 0.0
    excluded_until: Millis = 0.0
    # Until then, a rate that it tolerates later may crash it.
    cold_until: Millis = 0.0
    sent_at: Millis = -math.inf
    reload_until: Millis = 0.0
    missing_since: Millis | None = None
    # Its newest record can't be read, so `record` may be outdated.
    is_unread: bool = False
    limit: RateLimit = field(default_factory=RateLimit)
    # Until then, it asked this entry to send no requests.
    backoff_until: Millis = 0.0
    # The fields of its answers that could not be parsed.
    malformed: set[AnswerField] = field(default_factory=set)
    # A newer record of another server has the same address, so this server has
    # likely ended.
    is_displaced: bool = False
    delays: dict[int, QueueDelay] = field(default_factory=dict)
    cached_parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0

    def count_pending_tokens(self, rank: int) -> int:
        """Return the pending prompt tokens of equal or more urgent rank."""
        if not self.waiting:
            return 0
        return sum(
            attempt.tokens
            for attempt in self.waiting.values()
            if attempt.rank <= rank
        )

    def find_queue_delay(self, rank: int, now: Millis) -> Millis:
        """Estimate how long a request of a rank waits in the server's queue.

        The estimate follows the latest first bytes of the rank. It is higher
        if an attempt that is as urgent is already waiting for longer.
        """
        known = self.delays.get(rank)
        observed = 0.0 if known is None else known.find_remaining(now)
        if not self.waiting:
            return observed
        attempt = (
            self._find_queue_time(attempt, now)
            for attempt in self.waiting.values()
            if attempt.rank <= rank
        )
        return max(observed, *attempt, 0.0)

    def record_first_byte(self, attempt: PendingAttempt, now: Millis) -> None:
        """Update the queue delay of a rank, and the prefill rate."""
        queue_time = max(self._find_queue_time(attempt, now), 0.0)
        if attempt.is_alone:
            self.reading.add_sample(
                attempt.tokens, now - attempt.since - _BASE_FIRST_BYTE
            )
        known = self.find_queue_delay(attempt.rank, now)
        observed = known + _DELAY_WEIGHT * (queue_time - known)
        self.delays[attempt.rank] = QueueDelay(observed, now)

    def count_waiting(self, now: Millis) -> int:
        """Return the queued requests, decaying with the report's age.

        The decay keeps a server whose reports stop from looking idle at once.
        """
        if self.load is None:
            return 0
        remaining = max(1 - (now - self.load_at) / _LOAD_LIFETIME, 0.0)
        return round(self.load.waiting * remaining)

    def count_active(self, now: Millis) -> int:
        """Return the number of requests that run or wait on the server."""
        if self.load is None or now - self.load_at > _LOAD_LIFETIME:
            return self.running
        return max(self.load.running + self.load.waiting, self.running)

    def find_overdue_time(self, now: Millis) -> Millis:
        """Return for how long an expected byte is overdue.

        An engine sends output of each run every few milliseconds, but none
        during the prefill of new requests. Without allowing for that time,
        healthy engines would get no requests for half a second or more, and
        other engines would repeat the prefill of their requests.
        """
        if self.running <= self.paused:
            return 0.0
        since = [attempt.since for attempt in self.waiting.values()]
        tokens = sum(attempt.tokens for attempt in self.waiting.values())
        prefill_time = min(
            self.reading.estimate_time(tokens + self.unread_elsewhere),
            _MAX_PREFILL_TIME,
        )
        silence = now - max(min(since, default=0.0), self.last_heard_at)
        return max(silence - prefill_time - self._find_grace(now), 0.0)

    def _find_grace(self, now: Millis) -> Millis:
        """Return the extra time granted to a server that still reports load.

        Such a server is alive and may delay this entry's requests for more
        urgent ones. The grace is bounded, as the connection may be broken.
        """
        if (
            self.load_at <= self.last_heard_at
            or now - self.load_at > _REPORT_LIFETIME
        ):
            return 0.0
        return _REPORT_GRACE

    def _find_queue_time(self, attempt: PendingAttempt, now: Millis) -> Millis:
        """Return the wait beyond the prefill time, which may be negative."""
        prefill_time = self.reading.estimate_time(attempt.tokens)
        return now - attempt.since - prefill_time - _BASE_FIRST_BYTE

    def clear_cache(self) -> None:
        """Clear the cached parts, which new weights invalidate."""
        self.cached_parts.clear()
        self.cached_tokens = 0

    def count_cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Count the leading tokens of a prompt that are likely cached."""
        count = 0
        for part in parts:
            if part.name not in self.cached_parts:
                break
            count += part.tokens
        return count


@dataclass(frozen=True, slots=True)
class QueueDelay:
    """Hold the queue delay of one rank and the time of observation."""

    observed: Millis
    at: Millis

    def find_remaining(self, now: Millis) -> Millis:
        """Return the delay, decaying linearly with its age."""
        return self.observed * max(1 - (now - self.at) / _DELAY_LIFETIME, 0.0)


@dataclass(frozen=True, slots=True)
class PendingAttempt:
    """Describe an attempt that waits for its first byte since `since`.

    `tokens` are the prompt tokens to prefill, `memory` the tokens of engine
    memory that the request occupies at its end. `is_alone` is set if no other
    request was known to wait on the server.
    """

    since: Millis
    tokens: int
    rank: int = 0
    memory: int = 0
    is_alone: bool = False
