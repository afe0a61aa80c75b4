"""Count the sends of requests that may still arrive at servers as repeats.

A server whose process stands still, or one behind a silent link, reads a
request long after it was sent, and perhaps after another server answered it.
Closing the connection does not take back what its kernel holds.
"""

from __future__ import annotations

import enum
import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from itertools import count, takewhile

from oleanderdyke.clock import MINUTE, SECOND, Millis
from oleanderdyke.kernel.servers import ServerStart

# A server that has been silent for longer is likely lost.
_LONG_SILENCE: Millis = 1 * MINUTE
# Bounds the memory for sends to servers that are lost for good.
_LONGEST_SILENCE: Millis = 10 * MINUTE
_AGING_PERIOD: Millis = 1 * SECOND
# A server that runs reads a request and closes its connection within this time.
_PROMPT_TIME: Millis = 50.0
# How often the list of servers is compared with those that have answered.
_CHECK_PERIOD: Millis = 200.0


class SendEnd(enum.StrEnum):
    """Why a send no longer counts as one that may still arrive."""

    ANSWERED = 'answered'
    LATER_ANSWER = 'later answer'
    CLOSED = 'closed'
    SERVER_ENDED = 'server ended'
    EXPIRED = 'expired'


@dataclass(eq=False, slots=True)
class Send:
    """One send of a request to one start of a server.

    `number` ascends over all sends of a service.
    """

    request: RequestSends
    start: ServerStart
    number: int
    sent_at: Millis
    is_outstanding: bool = True
    is_given_up: bool = False
    is_silent: bool = False
    given_up_at: Millis = 0.0

    def record_answer(self) -> None:
        """Record bytes of its answer, which follow all earlier arrivals."""
        self.arrive(SendEnd.ANSWERED)
        self.request.service.record_heard(self.start, self.number)

    def record_lost(self, *, has_peer_closed: bool) -> None:
        """Record that the connection was lost.

        A server that closes it has ended the send. A link may also be reset
        while the server's process stands still and keeps what it got.
        """
        if has_peer_closed and self.request.service.has_likely_run(self):
            self.arrive(SendEnd.CLOSED)
        else:
            self.give_up(is_silent=True)

    def arrive(self, end: SendEnd) -> None:
        """Record that the send has arrived, or that it never will."""
        if self.is_outstanding:
            self.is_outstanding = False
            self.request.service.remove(self, end)
            self.request.record_arrival()

    def give_up(self, *, is_silent: bool) -> None:
        """Record that this entry gave the send up without an answer."""
        if self.is_outstanding and not self.is_given_up:
            self.is_given_up = True
            self.is_silent = is_silent
            self.request.service.add_given_up(self)


class RequestSends:
    """The sends of one request, of which the first arrival is no repeat.

    A send is planned before its server is chosen; `refund` is called for each
    that was paid for and is not sent.
    """

    def __init__(
        self, service: OutstandingSends, refund: Callable[[], None]
    ) -> None:
        self.service = service
        self._refund = refund
        # Whether each planned send was paid for; the first one is free.
        self._planned = [False]
        self._outstanding = 0
        self._has_arrived = False
        self._repeats = 0
        self._reserved = 0

    @property
    def is_unsent(self) -> bool:
        """Return whether no send has arrived or may arrive."""
        return not (self._has_arrived or self._outstanding or self._planned)

    @property
    def is_paid(self) -> bool:
        """Return whether the planned send was paid for."""
        return bool(self._planned) and self._planned[-1]

    def plan(self, *, is_paid: bool) -> None:
        """Record that another send will follow."""
        self._planned.append(is_paid)
        self._update()

    def begin(self, start: ServerStart) -> Send:
        """Record that the planned send is written to a connection."""
        if self._planned:
            self._planned.pop()
        self._outstanding += 1
        self._update()
        return self.service.add(self, start)

    def record_unsent(self) -> None:
        """Record that the planned send was not written at all."""
        is_paid = bool(self._planned) and self._planned.pop()
        self._update()
        if is_paid:
            self._refund()

    def record_arrival(self) -> None:
        """Record that an outstanding send may no longer arrive."""
        self._outstanding -= 1
        self._has_arrived = True
        self._update()

    def close(self) -> None:
        """Record that the request has ended: nothing planned is sent."""
        while self._planned:
            self.record_unsent()

    def _update(self) -> None:
        service, planned = self.service, len(self._planned)
        first = 0 if self._has_arrived else 1
        repeats = max(planned + self._outstanding - first, 0)
        service.repeats += repeats - self._repeats
        self._repeats = repeats
        service.reserved += sum(self._planned) - self._reserved
        self._reserved = sum(self._planned)


@dataclass(slots=True)
class OutstandingSends:
    """The sends of one entry to one service that may still arrive.

    `list_starts` returns the servers that may hold sends of the process before
    this one, which started at `started_at`. `repeats` counts the sends beyond
    the first of each request, with the `reserved` ones that are paid for and
    not sent yet. `ends` counts the sends that no longer may arrive by reason.
    """

    now: Callable[[], Millis]
    list_starts: Callable[[], Collection[ServerStart]] = tuple
    started_at: Millis = 0.0
    repeats: int = 0
    reserved: int = 0
    ends: Counter[SendEnd] = field(default_factory=Counter)
    _numbers: Iterator[int] = field(default_factory=count)
    _by_start: dict[ServerStart, OrderedDict[Send, None]] = field(
        default_factory=dict
    )
    _given_up: list[Send] = field(default_factory=list)
    _aged: int = 0
    _aged_at: Millis = 0.0
    # When each server's latest answer came.
    _heard: dict[ServerStart, Millis] = field(default_factory=dict)
    _has_earlier: bool = True
    _is_settled: bool = False
    _checked_at: Millis = -math.inf

    def may_have_earlier(self) -> bool:
        """Return whether servers may hold sends of an earlier process.

        Those that answered this one have read what came before.
        """
        if self._is_settled:
            return False
        now = self.now()
        if now >= self._checked_at + _CHECK_PERIOD:
            self._checked_at = now
            self._is_settled = now - self.started_at > _LONG_SILENCE
            self._has_earlier = not self._is_settled and any(
                start not in self._heard for start in self.list_starts()
            )
        return self._has_earlier

    @property
    def unread(self) -> int:
        """Return the number of sends that were given up and may arrive."""
        return sum(send.is_outstanding for send in self._given_up)

    def open(self, refund: Callable[[], None]) -> RequestSends:
        """Begin to track a request."""
        return RequestSends(self, refund)

    def count_repeats(self, most_aged: float) -> float:
        """Count the repeats that may arrive.

        Of those to servers that have been silent for long, at most
        `most_aged` count.
        """
        self._age()
        aged = min(self._aged, self.repeats)
        return self.repeats - aged + min(aged, most_aged)

    def count_given_up(self, before: Millis) -> int:
        """Count the sends made before a time and given up unread."""
        return sum(
            send.is_outstanding and send.sent_at < before
            for send in self._given_up
        )

    def add(self, request: RequestSends, start: ServerStart) -> Send:
        """Track a send that is being written."""
        self._age()
        send = Send(request, start, next(self._numbers), self.now())
        self._by_start.setdefault(start, OrderedDict())[send] = None
        return send

    def add_given_up(self, send: Send) -> None:
        """Track the age of a send that was given up."""
        send.given_up_at = self.now()
        self._given_up.append(send)

    def remove(self, send: Send, end: SendEnd) -> None:
        """Stop tracking a send."""
        self.ends[end] += 1
        sends = self._by_start[send.start]
        del sends[send]
        if not sends:
            del self._by_start[send.start]

    def has_likely_run(self, send: Send) -> bool:
        """Return whether a server's process has run since a send reached it.

        It closed the connection promptly or answered another send meanwhile,
        and none before was given up as silent.
        """
        sends = self._by_start.get(send.start, ())
        if any(each.is_silent for each in sends):
            return False
        reached_at = send.sent_at + _PROMPT_TIME
        heard_at = self._heard.get(send.start, -math.inf)
        return self.now() <= reached_at or heard_at >= reached_at

    def record_heard(self, start: ServerStart, number: int) -> None:
        """Record an answer to a send; all earlier ones have arrived."""
        self._heard[start] = self.now()
        sends = self._by_start.get(start, ())
        for send in [*takewhile(lambda each: each.number < number, sends)]:
            send.arrive(SendEnd.LATER_ANSWER)

    def record_ended(self, start: ServerStart) -> None:
        """Record that a start of a server has ended."""
        self._heard.pop(start, None)
        for send in tuple(self._by_start.get(start, ())):
            send.arrive(SendEnd.SERVER_ENDED)

    def _age(self) -> None:
        """Count how many sends were given up long ago; forget what is over."""
        now = self.now()
        if now - self._aged_at < _AGING_PERIOD:
            return
        self._aged_at = now
        for send in self._given_up:
            if now - send.given_up_at > _LONGEST_SILENCE:
                send.arrive(SendEnd.EXPIRED)
        self._given_up = [
            each for each in self._given_up if each.is_outstanding
        ]
        self._aged = sum(
            now - send.given_up_at > _LONG_SILENCE for send in self._given_up
        )
        self._heard = {
            start: at
            for start, at in self._heard.items()
            if now - at < _LONGEST_SILENCE
        }
