"""Meter of the throughput of a store's network link."""

from __future__ import annotations

from oleanderdyke.clock import SECOND, Millis

_SMOOTHING_TIME = 2 * SECOND
_MIN_INTERVAL: Millis = 20.0


class LinkMeter:
    """Estimate the rate of a shared link over the time that it is busy."""

    def __init__(self, bytes_per_second: float) -> None:
        self._rate = bytes_per_second
        self._in_flight = 0.0
        self._sent = 0.0
        self._interval_start: Millis | None = None

    @property
    def bytes_in_flight(self) -> int:
        """Return the bytes that are requested and not yet sent."""
        return int(self._in_flight)

    def estimate_rate(self, now: Millis) -> float:
        """Return the bytes per second that the link sends when busy."""
        self._update_rate(now)
        return self._rate

    def record_requested(self, count: int, now: Millis) -> None:
        """Add the bytes of a transfer that begins."""
        if self._in_flight <= 0:
            self._interval_start = now
            self._sent = 0.0
        self._in_flight += count

    def record_sent(self, count: int, now: Millis) -> None:
        """Count bytes that were sent."""
        self._in_flight = max(0.0, self._in_flight - count)
        self._sent += count
        if self._in_flight <= 0:
            self._update_rate(now)
            self._interval_start = None

    def record_cancelled(self, count: int, now: Millis) -> None:
        """Remove the unsent bytes of a cancelled transfer."""
        self._update_rate(now)
        self._in_flight = max(0.0, self._in_flight - count)
        if self._in_flight <= 0:
            self._interval_start = None

    def _update_rate(self, now: Millis) -> None:
        if (
            self._interval_start is None
            or now - self._interval_start < _MIN_INTERVAL
        ):
            return
        interval = now - self._interval_start
        measured = self._sent * SECOND / interval
        share = min(1.0, interval / _SMOOTHING_TIME)
        if self._sent or interval > _SMOOTHING_TIME:
            self._rate += share * (measured - self._rate)
        self._interval_start = now
        self._sent = 0.0
