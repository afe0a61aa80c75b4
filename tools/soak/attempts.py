"""What one try of a client, one run at a server, and one process went through.

Times are in seconds since the start of the soak.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field

_SUCCESS = range(200, 300)


class Outcome(enum.StrEnum):
    """How a try ended for its client."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    CUT = 'cut'
    GAVE_UP = 'gave up'
    # The client broke it off itself.
    LEFT = 'left'


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event as a client received it.

    `request` is the id of the try whose run wrote it, `version` that of the
    software of its server.
    """

    number: int
    version: str
    request: str
    at: float = 0.0


@dataclass(slots=True)
class Attempt:
    """One request on the wire.

    `limit` is when its deadline or its route's timeout ends it. `stream` names
    what all tries of one stream share, `after` is the last event that the
    client has, and `last` the last one of the whole stream.
    """

    request: str
    process: str
    sent: float
    limit: float = math.inf
    stream: str = ''
    after: int = 0
    last: int = 0
    ended: float = math.inf
    outcome: Outcome = Outcome.RUNNING
    status: int = 0
    events: list[StreamEvent] = field(default_factory=list)
    # Bytes of a stream that are no event.
    is_garbled: bool = False
    # Whether it told which request began the stream.
    is_named: bool = True

    @property
    def is_complete(self) -> bool:
        """Return whether a success came with the end of its body."""
        return self.outcome is Outcome.ANSWERED and self.status in _SUCCESS

    @property
    def goes_on(self) -> bool:
        """Return whether it brought an event, or the end of the stream."""
        return bool(self.events) or self.is_complete

    def end(self, outcome: Outcome, now: float) -> None:
        """Record how and when the try ended."""
        self.outcome = outcome
        self.ended = now


class RunEnd(enum.StrEnum):
    """Why a server stopped work on a request."""

    WORKING = 'working'
    FINISHED = 'finished'
    # Finished an answer that only the end of its connection delimits.
    CLOSED = 'closed'
    REFUSED = 'refused'
    FAILED = 'failed'
    BROKE_OFF = 'broke off'
    ABANDONED = 'abandoned'


@dataclass(slots=True)
class ServerRun:
    """The work of one server on one request.

    `stopped` is when the server itself was stopped first, later than it began.
    """

    request: str
    begun: float
    ended: float = math.inf
    how: RunEnd = RunEnd.WORKING
    stopped: float = math.inf

    def end(self, how: RunEnd, now: float) -> None:
        """Record why and when the server stopped; the first reason counts."""
        if self.how is RunEnd.WORKING:
            self.how = how
            self.ended = now


@dataclass(slots=True)
class Spell:
    """A span of time that may still last."""

    begin: float
    end: float = math.inf

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether the two spans share a moment."""
        return self.begin <= end and begin <= self.end


@dataclass(slots=True)
class ProcessLife:
    """What happened to one entry process from outside."""

    name: str
    started: float
    grace: float
    stops: list[float] = field(default_factory=list)
    reloads: list[float] = field(default_factory=list)
    freezes: list[Spell] = field(default_factory=list)
    killed: float = math.inf

    @property
    def stopped(self) -> float:
        """Return the time of the first SIGTERM."""
        return min(self.stops, default=math.inf)

    @property
    def is_killed_early(self) -> bool:
        """Return whether it was killed before its grace time had passed."""
        return self.killed < self.stopped + self.grace

    def was_ended(self, start: float) -> bool:
        """Return whether it was stopped, or signalled while it started."""
        if min(self.stopped, self.killed) < math.inf:
            return True
        return any(at < self.started + start for at in self.reloads)

    def is_disturbed(self, begin: float, end: float) -> bool:
        """Return whether a pause or an early kill fell into a span."""
        if self.is_killed_early and self.killed <= end:
            return True
        return any(each.overlaps(begin, end) for each in self.freezes)

    def is_calm(self, begin: float, end: float) -> bool:
        """Return whether it ran for a whole span and nothing happened to it."""
        if self.started > begin or self.stopped <= end or self.killed <= end:
            return False
        if any(begin <= at <= end for at in self.reloads):
            return False
        return not self.is_disturbed(begin, end)
