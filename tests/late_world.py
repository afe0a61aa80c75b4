"""Simulate entries before servers that leave requests unread for a time."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field
from random import Random

from oleanderdyke.clock import SECOND
from oleanderdyke.kernel.outstanding_sends import Send
from oleanderdyke.kernel.retries import RequestRetries
from oleanderdyke.kernel.servers import ServerStart
from tests.retry_world import SERVICE, Entry, World

MOST_SENDS = 3
SILENCE = 0.5 * SECOND
LAST_SILENCE = 2 * SECOND
CALLER_WAIT = 4 * SECOND
LIST_LAG = 1 * SECOND
RESET_DELAY = 1.0


@dataclass
class Server:
    """A server process; `unread` is what its kernel holds for it.

    A pause concerns the connections of a `share` of the requests. If a proxy is
    resetting, it closes those at once and delivers after the pause.
    """

    start: ServerStart
    is_paused: bool = False
    share: float = 1.0
    is_resetting: bool = False
    unread: deque = field(default_factory=deque)


@dataclass(eq=False)
class Request:
    name: str
    entry: Entry
    retries: RequestRetries
    is_refused: bool
    tried: list = field(default_factory=list)
    send: Send | None = None
    is_done: bool = False


@dataclass
class LateWorld(World):
    """A world whose requests arrive when their server reads them.

    `silent` holds the links that hold back what entries send, with what they
    hold.
    """

    servers: list[Server] = field(default_factory=list)
    silent: dict = field(default_factory=dict)
    _running: dict = field(default_factory=dict)
    _events: list = field(default_factory=list)
    _orders: itertools.count = field(default_factory=itertools.count)
    _requests: itertools.count = field(default_factory=itertools.count)
    _starts: itertools.count = field(default_factory=itertools.count)
    _random: Random = field(default_factory=lambda: Random(1))

    def add_servers(self, count: int) -> None:
        for _ in range(count):
            self.servers.append(Server(self._make_start()))

    def advance(self, duration: float) -> None:
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            at, _, act = heapq.heappop(self._events)
            super().advance(max(at - self.now, 0.0))
            act()
        super().advance(max(end - self.now, 0.0))

    def send(self, entry: Entry, count: int, *, fails: bool = True) -> None:
        for _ in range(count):
            name = f'req-{next(self._requests)}'
            self.seen.record_sent(name, self.now / SECOND, is_idempotent=True)
            wait = entry.frozen_until - self.now
            if wait <= 0:
                self._open(entry, name, is_refused=fails)
            elif wait < CALLER_WAIT:
                self._open_later(wait, entry, name, is_refused=fails)

    def restart(self, entry: Entry) -> None:
        """Kill an entry and start its next process at once."""
        self.end(entry)
        self.start(entry.name)

    def pause(
        self, number: int, share: float = 1.0, *, is_resetting: bool = False
    ) -> None:
        server = self.servers[number % len(self.servers)]
        server.is_paused = True
        server.share = share
        server.is_resetting = is_resetting

    def resume(self, number: int) -> None:
        server = self.servers[number % len(self.servers)]
        server.is_paused = False
        while server.unread:
            self._arrive(*server.unread.popleft())

    def restart_server(self, number: int) -> None:
        """Kill a server and start it again, as entries learn a bit later."""
        server = self.servers[number % len(self.servers)]
        ended, server.start = server.start, self._make_start()
        server.unread.clear()
        server.is_paused = False
        self._later(LIST_LAG, lambda: self._record_ended(ended))

    def silence_link(self, entry: Entry, number: int) -> None:
        """Hold back what an entry sends to a server."""
        server = self.servers[number % len(self.servers)]
        self.silent.setdefault((entry.name, id(server)), (server, deque()))

    def heal_links(self) -> None:
        """Deliver what silent links hold."""
        silent, self.silent = self.silent, {}
        for server, held in silent.values():
            for request, send in held:
                self._deliver(server, request, send)

    def reset_connections(self, number: int) -> None:
        """Reset the connections to a server, which keeps what it got."""
        start = self.servers[number % len(self.servers)].start
        for request in tuple(self._running):
            send = request.send
            if send.start == start:
                self._lose(request, send)

    def _open_later(
        self, wait: float, entry: Entry, name: str, *, is_refused: bool
    ) -> None:
        self._later(
            wait, lambda: self._open(entry, name, is_refused=is_refused)
        )

    def _open(self, entry: Entry, name: str, *, is_refused: bool) -> None:
        if entry not in self.entries:
            return
        budget = entry.shares.find(SERVICE)
        retries = entry.shares.open_request(SERVICE, budget)
        retries.deposit()
        self._try(Request(name, entry, retries, is_refused))

    def _try(self, request: Request) -> None:
        server = self._choose(request)
        request.tried.append(server.start)
        self._running[request] = None
        request.send = send = request.retries.sends.begin(server.start)
        link = self.silent.get((request.entry.name, id(server)))
        if link is None:
            self._deliver(server, request, send)
        else:
            link[1].append((request, send))
        self._later(SILENCE, lambda: self._check(request, send))

    def _deliver(self, server: Server, request: Request, send: Send) -> None:
        if server.start != send.start:
            return
        if not server.is_paused or self._random.random() >= server.share:
            self._arrive(request, send)
            return
        server.unread.append((request, send))
        if server.is_resetting:
            self._later(RESET_DELAY, lambda: self._lose(request, send))

    def _lose(self, request: Request, send: Send) -> None:
        """Reset the connection of a send, which may still arrive."""
        if self._is_waiting(request, send):
            send.give_up(is_closed=True)
            self._retry(request)

    def _arrive(self, request: Request, send: Send) -> None:
        self.seen.record_arrival(request.name, self.now / SECOND)
        if not self._is_waiting(request, send):
            return
        send.record_answer()
        if request.is_refused:
            self._retry(request)
        else:
            self._close(request)

    def _check(self, request: Request, send: Send) -> None:
        """Give up a server that has sent nothing."""
        if not self._is_waiting(request, send) or not send.is_outstanding:
            return
        wait = request.entry.frozen_until - self.now
        if wait > 0:
            self._later(wait, lambda: self._check(request, send))
        elif len(request.tried) < MOST_SENDS and request.retries.try_withdraw():
            send.give_up(is_closed=False)
            self._try(request)
        else:
            send.give_up(is_closed=False)
            self._close(request)

    def _retry(self, request: Request) -> None:
        if len(request.tried) < MOST_SENDS and request.retries.try_withdraw():
            self._try(request)
        else:
            self._close(request)

    def _close(self, request: Request) -> None:
        request.is_done = True
        del self._running[request]
        request.retries.sends.close()

    def _is_waiting(self, request: Request, send: Send) -> bool:
        return (
            not request.is_done
            and request.send is send
            and request.entry in self.entries
        )

    def _choose(self, request: Request) -> Server:
        first = self._random.randrange(len(self.servers))
        rotated = self.servers[first:] + self.servers[:first]
        left = [each for each in rotated if each.start not in request.tried]
        return (left or rotated)[0]

    def _record_ended(self, start: ServerStart) -> None:
        for entry in self.entries:
            entry.shares.record_ended(start)

    def _later(self, delay: float, act) -> None:
        entry = (self.now + delay, next(self._orders), act)
        heapq.heappush(self._events, entry)

    def _make_start(self) -> ServerStart:
        return ServerStart(f'i-{next(self._starts)}')
