"""Meter a store's link where its transfers meet."""

from __future__ import annotations

from oleanderdyke.clock import SECOND, Millis

_SMOOTHING_TIME = 2 * SECOND
_MIN_SPAN: Millis = 20.0


class LinkMeter:
    """Learn the rate of a shared link from the time that it was busy."""

    def __init__(self, bytes_per_second: float) -> None:
        self._rate = bytes_per_second
        self._in_flight = 0.0
        self._carried = 0.0
        self._since: Millis | None = None

    @property
    def bytes_in_flight(self) -> int:
        """Return the bytes that are asked for and not carried yet."""
        return int(self._in_flight)

    def estimate_rate(self, now: Millis) -> float:
        """Return the bytes per second that the link carries when busy."""
        self._learn(now)
        return self._rate

    def record_requested(self, count: int, now: Millis) -> None:
        """Count bytes that a transfer will need."""
        if self._in_flight <= 0:
            self._since = now
            self._carried = 0.0
        self._in_flight += count

    def record_sent(self, count: int, now: Millis) -> None:
        """Count bytes that have left."""
        self._in_flight = max(0.0, self._in_flight - count)
        self._carried += count
        if self._in_flight <= 0:
            self._learn(now)
            self._since = None

    def record_cancelled(self, count: int, now: Millis) -> None:
        """Take back bytes of a transfer that was cancelled."""
        self._learn(now)
        self._in_flight = max(0.0, self._in_flight - count)
        if self._in_flight <= 0:
            self._since = None

    def _learn(self, now: Millis) -> None:
        if self._since is None or now - self._since < _MIN_SPAN:
            return
        span = now - self._since
        measured = self._carried * SECOND / span
        share = min(1.0, span / _SMOOTHING_TIME)
        if self._carried or span > _SMOOTHING_TIME:
            self._rate += share * (measured - self._rate)
        self._since = now
        self._carried = 0.0
