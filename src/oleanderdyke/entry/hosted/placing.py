"""Find a backend server for one call, send it back, or let it wait for one."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random

from oleanderdyke.clock import MINUTE, SECOND, Millis
from oleanderdyke.entry.hosted.call import HostedCall, make_demand
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.overload import find_server_wait, should_refuse
from oleanderdyke.kernel.placement import (
    CallDemand,
    Choice,
    choose_among,
    find_obstacle,
)
from oleanderdyke.kernel.send_limits import Obstacle
from oleanderdyke.kernel.servers import ServerStart


@dataclass(frozen=True, slots=True)
class Pause:
    """Bounds of how long a caller that gets no answer is asked to wait.

    Drawn for each, so that callers don't return together.
    """

    least: Millis
    most: Millis

    def draw(self, random: Random) -> Millis:
        """Return how long one caller waits."""
        return random.uniform(self.least, self.most)


# A run ends at each engine every some ten milliseconds, and the answer of one
# that comes back so soon is still in time.
PAUSE = Pause(100.0, 200.0)
# The same where every engine has to take new weights first, which takes two to
# three seconds and began before, or where operators have to end an evacuation.
_LONG_PAUSE = Pause(500.0, 1 * SECOND)
_PAUSES: Mapping[Obstacle, Pause] = {
    Obstacle.OUTDATED: _LONG_PAUSE,
    Obstacle.EVACUATED: _LONG_PAUSE,
    Obstacle.REGION: _LONG_PAUSE,
}
# Callers are told when the first server takes requests of this entry again, at
# most so late: another entry may have a turn at a limited server sooner.
_LONGEST_TURNS: Mapping[Obstacle, Millis] = {
    Obstacle.LIMITED: 1 * SECOND,
    Obstacle.BACKOFF: 10 * MINUTE,
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
    pause: Pause = PAUSE
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
        listed = self._core.backends.list_service(self._call.service, now)
        demand = make_demand(self._core, self._call, listed, tried)
        choice = choose_among(demand, listed, now)
        if choice is None:
            demand = replace(demand, excluded=frozenset())
            choice = choose_among(demand, listed, now)
        if choice is None:
            return self._wait_for_server(demand, listed, now)
        if choice.is_loading and self._may_wait(now):
            return None
        if not tried and self._is_crowded(choice):
            return _explain_crowd(choice)
        return choice

    def _wait_for_server(
        self, demand: CallDemand, listed: Sequence[Backend], now: Millis
    ) -> SentBack | None:
        """Return nothing while a server may still come that takes the call."""
        obstacle = find_obstacle(demand, listed)
        if obstacle in _PASSING and self._may_wait(now):
            if obstacle is Obstacle.UNLISTED:
                self._core.servers_wanted.set()
            return None
        pause = _PAUSES.get(obstacle, PAUSE)
        if obstacle in _LONGEST_TURNS:
            turn = self._find_turn(demand, listed, now) - now
            least = min(turn, _LONGEST_TURNS[obstacle])
            pause = Pause(least, least + PAUSE.most)
        return SentBack(ErrorKind.NO_REPLICA, obstacle.value, pause)

    def _find_turn(
        self, demand: CallDemand, listed: Sequence[Backend], now: Millis
    ) -> Millis:
        """Return when the first server that only time blocks has a turn."""
        waited_for = [
            backend
            for backend in listed
            if demand.blocked.get(backend.record.start) in _LONGEST_TURNS
        ]
        return self._core.limits.find_next_send_time(waited_for, now)

    def _may_wait(self, now: Millis) -> bool:
        """Return whether a server may still come that takes the call."""
        if self._wait_until is None:
            self._wait_until = now + find_server_wait(self._call.deadline - now)
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
            random_value=self._core.random.random(),
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
