"""Find a backend server for one call, send it back, or let it wait for one."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.entry.hosted.call import HostedCall, make_demand
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.overload import find_wait, should_refuse
from oleanderdyke.kernel.placement import (
    Choice,
    choose_among,
    find_obstacle,
)
from oleanderdyke.kernel.send_limits import Obstacle
from oleanderdyke.kernel.servers import ServerStart

# How long a caller that gets no answer is asked to wait at most, and at least
# half of it: spread so that callers don't come back together. A run ends at
# each engine every some ten milliseconds, and the answer of one that comes back
# so soon is still in time.
PAUSE: Millis = 200.0
# The same where every engine has to take new weights first, which takes two to
# three seconds and began before, or where operators have to end an evacuation.
_PAUSES: Mapping[Obstacle, Millis] = {
    Obstacle.OUTDATED: 1 * SECOND,
    Obstacle.EVACUATED: 1 * SECOND,
    Obstacle.FOREIGN: 1 * SECOND,
}
# What ends by itself within a second; all else is told to the caller at once.
_PASSING = frozenset({Obstacle.UNLISTED, Obstacle.COLD})


@dataclass(frozen=True, slots=True)
class SentBack:
    """Say why a call goes to no server, and when its caller may return.

    `server` is the one that it would have gone to.
    """

    kind: ErrorKind
    reason: str
    pause: Millis = PAUSE
    server: str | None = None


class Placing:
    """Decide where one call goes."""

    def __init__(self, core: HostedCore, call: HostedCall) -> None:
        self._core = core
        self._call = call
        # Until when the call waits where no server takes any.
        self._wait_until: Millis | None = None

    def look(self, tried: frozenset[ServerStart]) -> Choice | SentBack | None:
        """Return where the call goes; None where it looks again later.

        Servers that were `tried` come last, and a call that has been tried is
        not sent back for the crowd that it would join.
        """
        now = self._core.clock.now()
        listed = self._core.book.list_service(self._call.service, now)
        demand = make_demand(self._core, self._call, listed, tried)
        choice = choose_among(demand, listed, now)
        if choice is None:
            demand = replace(demand, excluded=frozenset())
            choice = choose_among(demand, listed, now)
        if choice is None:
            return self._wait_for_server(find_obstacle(demand, listed), now)
        if choice.is_loading and self._may_wait(now):
            return None
        if not tried and self._is_crowded(choice):
            return _explain_crowd(choice)
        return choice

    def _wait_for_server(
        self, obstacle: Obstacle, now: Millis
    ) -> SentBack | None:
        """Return nothing while a server may still come that takes the call."""
        if obstacle in _PASSING and self._may_wait(now):
            if obstacle is Obstacle.UNLISTED:
                self._core.servers_wanted.set()
            return None
        pause = _PAUSES.get(obstacle, PAUSE)
        return SentBack(ErrorKind.NO_REPLICA, obstacle.value, pause)

    def _may_wait(self, now: Millis) -> bool:
        """Return whether a server may still come that takes the call."""
        if self._wait_until is None:
            self._wait_until = now + find_wait(self._call.deadline - now)
        return now < self._wait_until

    def _is_crowded(self, choice: Choice) -> bool:
        if self._call.asked.demand is None:
            return False
        return should_refuse(
            self._call.age,
            expected=choice.expected,
            delay=choice.delay,
            waiting=choice.waiting,
            fill=choice.fill,
            size=choice.size,
            drawn=self._core.random.random(),
        )


def _explain_crowd(choice: Choice) -> SentBack:
    reason = (
        f'at the best of {choice.candidates} servers '
        f'a first byte is expected after {choice.expected:.0f} ms, '
        f'{choice.waiting} wait for {choice.delay:.0f} ms, '
        f'{choice.fill:.2f} of the memory is likely taken'
    )
    server = choice.backend.record.server
    return SentBack(ErrorKind.OVERLOADED, reason, server=server)
