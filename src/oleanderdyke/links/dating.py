"""Tell how long a message was on its way.

Ages in messages are those of the moment of sending. A message may have lain for
seconds in the socket of a frozen process or behind a link that was cut, so a
sender stamps it with its monotonic clock, and echoes bound what that clock
shows on the clock of the receiver. Wall clocks step, and are not needed.
"""

from __future__ import annotations

import math
from typing import Protocol

from oleanderdyke.clock import SECOND, Millis

# Clocks of two machines part by less than this share of the time.
_DRIFT = 0.001
_ASK_PERIOD: Millis = 2 * SECOND


class PeerClock:
    """Bound when a peer's clock showed a time, on this process's clock.

    A delayed echo makes messages seem older than they are, never newer.
    """

    def __init__(self) -> None:
        self._offset: Millis = -math.inf
        self._measured_at: Millis = 0.0
        self._asked_at: Millis = -math.inf
        # When this process sent the last question that was answered.
        self.touched_at: Millis = -math.inf

    def is_due(self, now: Millis) -> bool:
        """Return whether the peer has to be asked for its clock."""
        return now - self._asked_at >= _ASK_PERIOD

    def record_asked(self, now: Millis) -> None:
        """Record that the peer was asked."""
        self._asked_at = now

    def record_echo(
        self, asked_at: Millis, shown: Millis, received_at: Millis = math.inf
    ) -> None:
        """Record what the peer's clock showed after it was asked.

        An echo that came sooner than the bound allows shows that the clock of
        this process stood still, as in a suspended machine.
        """
        self.touched_at = max(self.touched_at, asked_at)
        offset, known = asked_at - shown, self._find_offset(asked_at)
        if shown and (offset >= known or received_at - shown < known):
            self._offset, self._measured_at = offset, asked_at

    def find_delay(self, sent_at: Millis, now: Millis) -> Millis | None:
        """Return how old a message with a stamp may be; None if unknown."""
        if not sent_at or math.isinf(self._offset):
            return None
        return max(now - sent_at - self._find_offset(now), 0.0)

    def _find_offset(self, now: Millis) -> Millis:
        return self._offset - _DRIFT * max(now - self._measured_at, 0.0)


class DatedLink(Protocol):
    """A link that knows the clock of its peer."""

    @property
    def peer_clock(self) -> PeerClock:
        """Return what is known of the peer's clock."""

    def ask_time(self, now: Millis) -> None:
        """Ask the peer for its clock if that is due."""


def find_delay(link: DatedLink, sent_at: Millis, now: Millis) -> Millis | None:
    """Return how old a message of a link may be; None if unknown.

    It is unknown before the first echo, and for peers that send no stamps.
    """
    link.ask_time(now)
    return link.peer_clock.find_delay(sent_at, now)


def find_sent_time(link: DatedLink, sent_at: Millis, now: Millis) -> Millis:
    """Return when a message can have been sent, `now` if that is unknown."""
    return now - (find_delay(link, sent_at, now) or 0.0)
