"""Count the sends of requests that may still arrive at servers as repeats.

A server may leave some of its connections unread for long while it answers over
others, and a proxy may close a connection before it passes a request on. So a
request has surely arrived only if its own connection brings an answer. Closing
the connection does not take back what the other side holds.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from oleanderdyke.clock import MINUTE, SECOND, Millis
from oleanderdyke.kernel.servers import ServerStart

# Sends that have been unread for longer hold a part of the burst only, so that
# connections that fail for days leave retries. What closes a connection runs,
# and passes on what it holds sooner than a server that stands still reads it.
LONG_UNREAD: Millis = 30 * SECOND
_LONG_CLOSED: Millis = 10 * SECOND
# Bounds the memory for sends to servers that are lost for good.
_LONGEST_UNREAD: Millis = 2 * MINUTE
_AGING_PERIOD: Millis = 1 * SECOND


class SendEnd(enum.StrEnum):
    """Why a send no longer counts as one that may still arrive."""

    ANSWERED = 'answered'
    SERVER_ENDED = 'server ended'
    EXPIRED = 'expired'
    # It arrives as the first of its request, if at all.
    ALONE = 'alone'


@dataclass(eq=False, slots=True)
class Send:
    """One send of a request to one start of a server."""

    request: RequestSends
    start: ServerStart
    sent_at: Millis
    is_outstanding: bool = True
    given_up_at: Millis | None = None
    is_closed: bool = False

    def record_answer(self) -> None:
        """Record bytes of its answer."""
        self.arrive(SendEnd.ANSWERED)

    def arrive(self, end: SendEnd) -> None:
        """Record that the send has arrived, or that it never will."""
        if self.is_outstanding:
            self.is_outstanding = False
            self.request.service.remove(self, end)
            self.request.record_arrival(self)

    def give_up(self, *, is_closed: bool) -> None:
        """Record that no answer follows; `is_closed` if the other side closed.

        Its bytes may still arrive, or wait to be read.
        """
        if self.is_outstanding and self.given_up_at is None:
            self.given_up_at = self.request.service.now()
            self.is_closed = is_closed
            self.request.service.add_given_up(self)

    def is_aged(self, now: Millis) -> bool:
        """Return whether it was given up long ago."""
        if self.given_up_at is None:
            return False
        limit = _LONG_CLOSED if self.is_closed else LONG_UNREAD
        return now - self.given_up_at > limit


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
        self._outstanding: dict[Send, None] = {}
        self._has_arrived = False
        self._reserved = 0
        # Sends beyond the first that may still arrive.
        self.repeats = 0

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
        send = self.service.add(self, start)
        self._outstanding[send] = None
        self._update()
        return send

    def record_unsent(self) -> None:
        """Record that the planned send was not written at all."""
        is_paid = bool(self._planned) and self._planned.pop()
        self._update()
        if is_paid:
            self._refund()

    def record_arrival(self, send: Send) -> None:
        """Record that an outstanding send may no longer arrive."""
        self._outstanding.pop(send, None)
        self._has_arrived = True
        self._update()

    def close(self) -> None:
        """Record that the request has ended: nothing planned is sent."""
        while self._planned:
            self.record_unsent()
        if not self.repeats:
            for send in tuple(self._outstanding):
                send.arrive(SendEnd.ALONE)

    def count_aged(self, now: Millis) -> int:
        """Count the repeats of a request whose sends were given up long ago."""
        are_aged = all(send.is_aged(now) for send in self._outstanding)
        return self.repeats if are_aged else 0

    def _update(self) -> None:
        service = self.service
        first = 0 if self._has_arrived else 1
        sends = len(self._planned) + len(self._outstanding)
        repeats = max(sends - first, 0)
        service.repeats += repeats - self.repeats
        self.repeats = repeats
        service.reserved += sum(self._planned) - self._reserved
        self._reserved = sum(self._planned)


@dataclass(slots=True)
class OutstandingSends:
    """The sends of one entry to one service that may still arrive.

    `repeats` counts the sends beyond the first of each request, with the
    `reserved` ones that are paid for and not sent yet. `ends` counts the sends
    that no longer may arrive by reason.
    """

    now: Callable[[], Millis]
    repeats: int = 0
    reserved: int = 0
    ends: Counter[SendEnd] = field(default_factory=Counter)
    _by_start: dict[ServerStart, dict[Send, None]] = field(default_factory=dict)
    _given_up: dict[Send, None] = field(default_factory=dict)
    _aged: int = 0
    _aged_at: Millis = 0.0

    @property
    def unread(self) -> int:
        """Return the number of sends that were given up and may arrive."""
        return len(self._given_up)

    def open(self, refund: Callable[[], None]) -> RequestSends:
        """Begin to track a request."""
        return RequestSends(self, refund)

    def count_repeats(self, most_aged: float) -> float:
        """Count the repeats that may arrive.

        Of those that were given up long ago, at most `most_aged` count.
        """
        self._age()
        aged = min(self._aged, self.repeats)
        return self.repeats - aged + min(aged, most_aged)

    def count_given_up(self, before: Millis, most_aged: float) -> float:
        """Count the repeats made before a time and given up unread."""
        sends = [
            send
            for send in self._given_up
            if send.request.repeats and send.sent_at < before
        ]
        now = self.now()
        aged = sum(send.is_aged(now) for send in sends)
        return len(sends) - aged + min(aged, most_aged)

    def add(self, request: RequestSends, start: ServerStart) -> Send:
        """Track a send that is being written."""
        self._age()
        send = Send(request, start, self.now())
        self._by_start.setdefault(start, {})[send] = None
        return send

    def add_given_up(self, send: Send) -> None:
        """Track the age of a send that was given up."""
        self._given_up[send] = None

    def remove(self, send: Send, end: SendEnd) -> None:
        """Stop tracking a send."""
        self.ends[end] += 1
        self._given_up.pop(send, None)
        sends = self._by_start[send.start]
        del sends[send]
        if not sends:
            del self._by_start[send.start]

    def record_ended(self, start: ServerStart) -> None:
        """Record that a start of a server has ended."""
        for send in tuple(self._by_start.get(start, ())):
            send.arrive(SendEnd.SERVER_ENDED)

    def _age(self) -> None:
        """Count the repeats given up long ago; forget what is over."""
        now = self.now()
        if now - self._aged_at < _AGING_PERIOD:
            return
        self._aged_at = now
        for send in tuple(self._given_up):
            given_up_at = send.given_up_at
            if given_up_at is not None and now - given_up_at > _LONGEST_UNREAD:
                send.arrive(SendEnd.EXPIRED)
        requests = {send.request for send in self._given_up}
        self._aged = sum(each.count_aged(now) for each in requests)
