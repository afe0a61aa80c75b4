"""Select a backend server for a call, or make it wait, or reject it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import TYPE_CHECKING

from oleanderdyke.clock import MINUTE, SECOND, Millis
from oleanderdyke.entry.hosted.call import HostedCall, make_demand
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.scheduling.overload import (
    find_server_wait,
    should_refuse,
)
from oleanderdyke.kernel.scheduling.placement import (
    CallDemand,
    Choice,
    choose_among,
    find_obstacle,
)
from oleanderdyke.kernel.send_limits import Obstacle
from oleanderdyke.kernel.servers import ServerStart

if TYPE_CHECKING:
    from oleanderdyke.entry.hosted.stream_pin import StreamPin


@dataclass(frozen=True, slots=True)
class RetryDelay:
    """Bounds of the retry-after time of a rejected call.

    The time is randomized so that callers don't return all at once.
    """

    minimum: Millis
    maximum: Millis

    def draw(self, random: Random) -> Millis:
        """Return a random delay within the bounds."""
        return random.uniform(self.minimum, self.maximum)


# An engine finishes a run every few ten milliseconds, and a call retried this
# soon can still meet its deadline.
RETRY_DELAY = RetryDelay(100.0, 200.0)
# Longer, if every engine has to load new weights first, which takes two to
# three seconds and has already begun, or if operators have to act.
_LONG_RETRY_DELAY = RetryDelay(500.0, 1 * SECOND)
_RETRY_DELAYS: Mapping[Obstacle, RetryDelay] = {
    Obstacle.OUTDATED: _LONG_RETRY_DELAY,
    Obstacle.LEAVING: _LONG_RETRY_DELAY,
    Obstacle.EVACUATED: _LONG_RETRY_DELAY,
    Obstacle.REGION: _LONG_RETRY_DELAY,
}
# Upper bounds of the retry-after time where it follows from the next turn of
# this entry: another entry may have a turn at a limited server sooner.
_MAX_TURN_WAITS: Mapping[Obstacle, Millis] = {
    Obstacle.LIMITED: 1 * SECOND,
    Obstacle.BACKOFF: 10 * MINUTE,
}
# Obstacles that end by themselves within a second, so that the call waits. It
# is rejected at once for all others.
_TRANSIENT_OBSTACLES = frozenset(
    {Obstacle.UNLISTED, Obstacle.COLD, Obstacle.SETTLING}
)
# Lists are read every 0.6 s; an older one may lack a version that serves.
_OLD_LIST: Millis = 1_200.0
# Servers of a version that has gone are not waited for.
_KINDS: Mapping[Obstacle, ErrorKind] = {
    Obstacle.SOFTWARE: ErrorKind.WRONG_VERSION,
}
_UNKNOWN_ORIGIN = 'it is unknown which versions began streams'


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a call was sent to no server, and when its caller may retry.

    `server` is the server that would have been chosen.
    """

    kind: ErrorKind
    reason: str
    retry_delay: RetryDelay = RETRY_DELAY
    server: str | None = None


class ServerSelector:
    """Select the server of one call."""

    def __init__(
        self,
        core: HostedCore,
        call: HostedCall,
        pin: StreamPin | None = None,
    ) -> None:
        self._core = core
        self._call = call
        self._pin = pin
        # How long the call waits while no server accepts it.
        self._wait_until: Millis | None = None
        # Failed servers are no longer passed in after a wait for servers.
        self._was_tried = False

    def select(
        self, tried: frozenset[ServerStart]
    ) -> Choice | Rejection | None:
        """Return the chosen server, a rejection, or None to retry later.

        Servers in `tried` are chosen only if no other is left. A call that has
        been tried is not rejected because of overload.
        """
        now = self._core.clock.now()
        if self._pin is not None and not self._pin.is_resolved(now):
            if self._pin.may_wait(now):
                return None
            return Rejection(ErrorKind.WRONG_VERSION, _UNKNOWN_ORIGIN)
        self._was_tried = self._was_tried or bool(tried)
        listed = self._core.backends.list_service(self._call.service, now)
        demand = make_demand(self._core, self._call, listed, tried, self._pin)
        choice = choose_among(demand, listed, now)
        if choice is None:
            demand = replace(demand, excluded=frozenset())
            choice = choose_among(demand, listed, now)
        if choice is None:
            return self._wait_or_reject(demand, listed, now)
        if choice.is_loading and self._may_wait(now):
            return None
        return choice if self._was_tried else self._admit(choice, now)

    def wait_for_trial(self) -> Rejection | None:
        """Return None while the call may wait for an equal one, else reject."""
        if self._may_wait(self._core.clock.now()):
            return None
        return Rejection(
            ErrorKind.OVERLOADED,
            'servers ended on equal requests, and one of them is tried first',
            _LONG_RETRY_DELAY,
        )

    def _admit(self, choice: Choice, now: Millis) -> Choice | Rejection | None:
        """Return the choice if the call may start, as `select` does."""
        scheduler = self._core.scheduling.find_scheduler(self._call)
        if scheduler is not None and scheduler.admission.is_informed(now):
            return scheduler.admission.admit(self._call, choice, now)
        # The call may have waited for a turn until now.
        self._core.scheduling.record_left(self._call)
        if self._is_overloaded(choice):
            return _reject_overloaded(choice)
        return choice

    def _wait_or_reject(
        self, demand: CallDemand, listed: Sequence[Backend], now: Millis
    ) -> Rejection | None:
        """Return None while the call may wait for a server, else reject it."""
        obstacle = self._find_obstacle(demand, listed, now)
        if self._is_transient(obstacle, now) and self._may_wait(now):
            if obstacle in {Obstacle.UNLISTED, Obstacle.SOFTWARE}:
                self._core.servers_requested.set()
            return None
        kind = _KINDS.get(obstacle, ErrorKind.NO_REPLICA)
        retry_delay = _RETRY_DELAYS.get(obstacle, RETRY_DELAY)
        if obstacle in _MAX_TURN_WAITS:
            turn = self._find_turn(demand, listed, now) - now
            shortest_wait = min(turn, _MAX_TURN_WAITS[obstacle])
            retry_delay = RetryDelay(
                shortest_wait, shortest_wait + RETRY_DELAY.maximum
            )
        return Rejection(kind, obstacle.value, retry_delay)

    def _is_transient(self, obstacle: Obstacle, now: Millis) -> bool:
        """Return whether a later list may end an obstacle, or time alone.

        In an entry that was out of step the version of a stream may have come
        after its list.
        """
        if obstacle is Obstacle.SOFTWARE:
            return now - self._core.servers_listed_at > _OLD_LIST
        return obstacle in _TRANSIENT_OBSTACLES

    def _find_obstacle(
        self, demand: CallDemand, listed: Sequence[Backend], now: Millis
    ) -> Obstacle:
        obstacle = find_obstacle(demand, listed)
        backends, service = self._core.backends, self._call.service
        is_unlisted = obstacle is Obstacle.UNLISTED
        if is_unlisted and backends.are_all_leaving(service, now):
            return Obstacle.LEAVING
        return obstacle

    def _find_turn(
        self, demand: CallDemand, listed: Sequence[Backend], now: Millis
    ) -> Millis:
        """Return when the first rate-limited or backed-off server is free."""
        limited = [
            backend
            for backend in listed
            if demand.blocked.get(backend.record.start) in _MAX_TURN_WAITS
        ]
        return self._core.limits.find_next_send_time(limited, now)

    def _may_wait(self, now: Millis) -> bool:
        """Return whether the call has time left to wait for a server."""
        if self._wait_until is None:
            self._wait_until = now + find_server_wait(self._call.deadline - now)
        return now < self._wait_until

    def _is_overloaded(self, choice: Choice) -> bool:
        if self._call.parameters.demand is None:
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


def _reject_overloaded(choice: Choice) -> Rejection:
    reason = (
        f'best of {choice.candidates} servers is overloaded: '
        f'first byte expected after {choice.expected:.0f} ms, '
        f'{choice.waiting} requests queued for {choice.delay:.0f} ms, '
        f'{choice.fill:.2f} of the memory estimated in use'
    )
    server = choice.backend.record.server
    return Rejection(ErrorKind.OVERLOADED, reason, server=server)
