"""Bound the bytes of answers that callers have not read yet.

The load: hundreds of callers read a byte a second, or one reads nothing of a
huge answer, while servers send at full speed and other callers read at once.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis

# Share of the process's memory; the rest is for the program, the requests and
# the buffers of the operating system.
_MEMORY_SHARE = 0.25
# For processes whose memory isn't known.
_DEFAULT_BOUND_BYTES = 64 * 1024 * 1024
# Part of the bound that is shared; the rest takes the parts that are on their
# way when streams are paused.
_SHARED = 0.5
# A caller that took nothing for this long counts as not reading.
READ_TIMEOUT: Millis = 2 * SECOND


@dataclass(slots=True)
class _Stream:
    """Hold the unread bytes of one stream, and when it was read last."""

    held: int
    read_at: Millis


class UnreadBytes:
    """Decide which streams to pause, and which to end above the bound."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.total = 0
        self._streams: dict[Hashable, _Stream] = {}

    def hold(self, stream: Hashable, held: int, now: Millis) -> bool:
        """Record that a stream holds more; return whether to pause it."""
        known = self._streams.setdefault(stream, _Stream(0, now))
        self._change(known, held)
        return held > self._find_share() or self.total > self.bound

    def read(self, stream: Hashable, held: int, now: Millis) -> bool:
        """Record that a stream was read; return whether to resume it.

        A stream that holds nothing is resumed at any load.
        """
        known = self._streams.get(stream)
        if known is None:
            return True
        self._change(known, held)
        known.read_at = now
        if not held:
            return True
        return 2 * held < self._find_share() and self.total <= self.bound

    def forget(self, stream: Hashable) -> None:
        """Release what a stream held."""
        known = self._streams.pop(stream, None)
        if known is not None:
            self.total -= known.held

    def find_stalled(self, now: Millis) -> Hashable | None:
        """Return the stream to end, None if none must be or may be.

        It is the one with the most unread bytes times time without a read.
        """
        if self.total <= self.bound:
            return None
        stalled = [
            stream
            for stream, known in self._streams.items()
            if known.held and now - known.read_at >= READ_TIMEOUT
        ]
        return max(
            stalled, key=lambda stream: self._rate(stream, now), default=None
        )

    def find_idle_time(self, stream: Hashable, now: Millis) -> Millis:
        """Return for how long nothing of a stream has been read."""
        known = self._streams.get(stream)
        return 0.0 if known is None else now - known.read_at

    def _rate(self, stream: Hashable, now: Millis) -> float:
        known = self._streams[stream]
        return known.held * (now - known.read_at)

    def _change(self, known: _Stream, held: int) -> None:
        self.total += held - known.held
        known.held = held

    def _find_share(self) -> float:
        return self.bound * _SHARED / max(len(self._streams), 1)


def find_bound(memory: float) -> int:
    """Return the bound in bytes for a process with `memory` bytes.

    `memory` is infinite if it isn't known.
    """
    if math.isinf(memory) or memory <= 0:
        return _DEFAULT_BOUND_BYTES
    return int(memory * _MEMORY_SHARE)
