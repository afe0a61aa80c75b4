"""When refused callers may come back.

The load it answers: callers refused together who come back together, and
find the room taken that their refusal was to keep free.
"""

from __future__ import annotations

from random import Random

from oleanderdyke.clock import SECOND, Millis

# Callers honour a longer time only up to this share of the time they have left.
_HONOURED_SHARE = 1 / 3
_MIN_DELAY: Millis = 50.0
_MIN_SPAN: Millis = 100.0


def draw_retry_delay(
    *,
    room_at: Millis,
    refused: float,
    room_rate: float,
    left: Millis,
    random: Random,
) -> Millis:
    """Return a random time at which the caller's share has room.

    The share has room `room_at` from now, for `room_rate` requests per second;
    `refused` requests of it were refused in the last second. `left` is the time
    until the caller's deadline.
    """
    latest = max(left, 0.0) * _HONOURED_SHARE
    span = latest
    if room_rate > 0:
        span = max(refused / room_rate * SECOND, _MIN_SPAN)
    first = min(max(room_at, _MIN_DELAY), latest / 2)
    return random.uniform(first, min(first + span, latest))
