"""Clients that take up streams, and servers whose events name a version."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial
from random import Random

import anyio

from oleanderdyke.entry.hosted import peer_sharing, presence
from oleanderdyke.entry.hosted.core import HostedCore
from oleanderdyke.kernel.neighbours import RECORD_SOURCE, Neighbour
from tests.hosted import (
    CONFIGURATION,
    KEY,
    SERVERS,
    STREAM_ROUTE,
    Stage,
    make_record,
    make_request,
)
from tests.standins.replica import (
    Peer,
    Script,
    make_chunk,
    make_event,
    make_head,
)

# Events of a whole stream.
LAST = 7
# Statuses that promise that a request has not run.
NOT_RUN = {408, 421, 429, 503}
OTHER_KEY = 'key-of-blue'
_EVENT = re.compile(rb'id: (\d+)\ndata: (v[\d.]+)-\d+\n\n')
_POLL = 0.005
# How many pauses between events end with a reset.
_BREAK_SHARE = 0.15
# Clients abandon an attempt after this many seconds.
_PATIENCE = 4
_SETTLED = 15
# New links between entries are open after at most this many seconds.
_LINKED = 1.0


def configure(*, attempts: int, timeout: float = 9_000) -> dict[str, object]:
    """Return a configuration with one resumable route and two teams."""
    route = {**STREAM_ROUTE, 'maxAttempts': attempts, 'timeoutMs': timeout}
    return {
        **CONFIGURATION,
        'routes': [route],
        'tenants': [
            {'name': 'red', 'apiKeys': [KEY]},
            {'name': 'blue', 'apiKeys': [OTHER_KEY]},
        ],
    }


def link_early(monkeypatch) -> None:
    """Let entries find each other and open their links soon after a start."""
    monkeypatch.setattr(peer_sharing, '_LINKS_IMPORT_DELAY', 50.0)
    monkeypatch.setattr(presence, '_INITIAL_PERIODS', (300.0, 300.0, 300.0))


def tell(version: str) -> Script:
    """Return a script whose events name a version.

    The path names the events after which it waits for the caller to leave:
    `/stream/3-5/` stops after events 3 and 5, `/stream/` nowhere.
    """

    async def run(peer: Peer) -> None:
        first = find_last_event(peer) + 1
        later = [each for each in list_stops(peer) if each >= first]
        stop = min(later, default=LAST)
        await send_versioned(peer, version, first, stop)
        if stop < LAST:
            await peer.wait_closed()
            peer.writer.close()
            return
        await peer.send(b'0\r\n\r\n')

    return run


def tell_and_break(
    version: str, after: int, broken: anyio.Event | None = None
) -> Script:
    """Return a script that resets streams after some events, once `broken`.

    It resets a stream that is taken up there without sending events. Streams
    with stops in their path are told as by `tell`.
    """

    async def run(peer: Peer) -> None:
        if list_stops(peer):
            await tell(version)(peer)
            return
        if not find_last_event(peer):
            await send_versioned(peer, version, 1, after)
            if broken is not None:
                await broken.wait()
            # A reset may overtake data sent before it.
            await anyio.sleep(0.05)
        break_off(peer)

    return run


def list_stops(peer: Peer) -> list[int]:
    """Return the events after which a server waits for the caller."""
    return [int(text) for text in re.findall(r'\d+', peer.request.target)]


def find_last_event(peer: Peer) -> int:
    """Return the number of the last event that the caller has."""
    return int(peer.request.headers.get('last-event-id', '0'))


async def send_versioned(
    peer: Peer, version: str, first: int, last: int
) -> None:
    """Start a streamed response with events that name a version."""
    head = make_head(
        peer.request,
        content_type='text/event-stream',
        transfer_encoding='chunked',
    )
    await peer.send(head)
    for number in range(first, last + 1):
        await peer.send(make_versioned(number, version))


def break_off(peer: Peer) -> None:
    """Reset a connection, unless its other end has closed it."""
    if not peer.writer.is_closing():
        peer.reset()


def make_versioned(number: int, version: str) -> bytes:
    """Build a chunk with an event that names a version."""
    return make_chunk(make_event(number, f'{version}-'))


@dataclass
class StreamClient:
    """A stream as one client has it, over all its attempts."""

    name: str
    path: str = '/stream/'
    key: str = KEY
    # The number and the version of each event.
    events: list[tuple[int, str]] = field(default_factory=list)
    origin: str = ''
    attempts: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    is_whole: bool = False
    # Whether an attempt neither ended nor broke off in time.
    is_abandoned: bool = False

    @property
    def versions(self) -> set[str]:
        """Return the versions that wrote the events of this stream."""
        return {version for _, version in self.events}

    @property
    def is_complete(self) -> bool:
        """Return whether each event arrived once, and the stream's end."""
        numbers = [number for number, _ in self.events]
        return self.is_whole and numbers == list(range(1, LAST + 1))

    async def ask(
        self,
        stage: Stage,
        *,
        until: int = LAST + 1,
        leave: anyio.Event | None = None,
    ) -> int:
        """Begin the stream or take it up; return the status, 0 for none.

        Leave after the event `until`, once `leave` is set.
        """
        attempt = f'{self.name}-{len(self.attempts)}'
        self.attempts.append(attempt)
        try:
            reader, writer = await stage.connect()
        except OSError:
            self.statuses.append(0)
            return 0
        writer.write(self._make_request(attempt))
        status = 0
        try:
            with anyio.move_on_after(_PATIENCE) as patience:
                status = await _read_status(reader)
                if status == 200:
                    await self._read_events(reader, attempt, until)
            self.statuses.append(status)
            self.is_abandoned |= patience.cancelled_caught
            if leave is not None and self.has_event(until):
                await leave.wait()
        finally:
            writer.close()
        return status

    def has_event(self, number: int) -> bool:
        """Return whether an event has arrived."""
        return bool(self.events) and self.events[-1][0] >= number

    async def wait_for(self, number: int) -> None:
        """Wait until an event has arrived or the attempt has ended."""
        while not self.has_event(number):
            if len(self.statuses) == len(self.attempts) > 0:
                return
            await anyio.sleep(_POLL)

    def _make_request(self, attempt: str) -> bytes:
        last = str(self.events[-1][0]) if self.events else ''
        return make_request(
            self.path,
            # Equal requests are kept from servers together once some have
            # ended on them.
            body=self.name.encode(),
            oleanderdyke_request_id=attempt,
            oleanderdyke_key=self.key,
            oleanderdyke_deadline_ms='9000',
            last_event_id=last,
            resumes=self.origin if last else '',
        )

    async def _read_events(
        self, reader: asyncio.StreamReader, attempt: str, until: int
    ) -> None:
        """Read events until one, the end or a break."""
        body, before = b'', list(self.events)
        try:
            while length := int(await reader.readuntil(b'\r\n'), 16):
                body += (await reader.readexactly(length + 2))[:-2]
                self.events = [*before, *find_events(body)]
                if self.events and not self.origin:
                    self.origin = attempt
                if self.has_event(until):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        self.is_whole = True


async def ask_all(
    clients: Sequence[StreamClient], stage: Stage, *, until: int = LAST + 1
) -> None:
    """Send the next attempt of each client, which leaves after `until`.

    All leave together, so that the load of those before spreads the others
    over the servers. Attempts that run to their end are sent at once.
    """
    leave = anyio.Event()
    async with anyio.create_task_group() as tasks:
        for client in clients:
            ask = partial(client.ask, stage, until=until, leave=leave)
            tasks.start_soon(ask)
            if until <= LAST:
                await client.wait_for(until)
        leave.set()


def find_events(body: bytes) -> list[tuple[int, str]]:
    """Return the number and the version of each whole event of a body."""
    return [
        (int(number), version.decode())
        for number, version in _EVENT.findall(body)
    ]


async def _read_status(reader: asyncio.StreamReader) -> int:
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    return int(head.split()[1])


def find_begun(
    stage: Stage, clients: Iterable[StreamClient], server: int
) -> list[StreamClient]:
    """Return the clients whose stream a server was asked to begin."""
    received = {
        seen.headers['oleanderdyke-request-id']
        for seen in stage.replicas[server].received
        if 'last-event-id' not in seen.headers
    }
    return [each for each in clients if received.intersection(each.attempts)]


def count_sent(stage: Stage, client: StreamClient, attempt: int) -> int:
    """Return how many servers received an attempt of a client."""
    name = client.attempts[attempt]
    return sum(
        seen.headers['oleanderdyke-request-id'] == name
        for replica in stage.replicas
        for seen in replica.received
    )


async def settle(stages: list[Stage], versions: Iterable[str]) -> None:
    """Wait until new streams begin at all versions, at each entry."""
    with anyio.fail_after(_SETTLED):
        if len(stages) > 1:
            await _wait_linked(stages)
        for stage in stages:
            await _wait_serving(stage, set(versions))


async def _wait_linked(stages: list[Stage]) -> None:
    for stage in stages:
        core = stage.core
        while len(_list_entries(core)) < len(stages):
            await anyio.sleep(_POLL)
    await anyio.sleep(_LINKED)


def _list_entries(core: HostedCore) -> Sequence[Neighbour]:
    return core.peers.neighbours.rank(RECORD_SOURCE, core.clock.now())


async def _wait_serving(stage: Stage, missing: set[str]) -> None:
    name, turn = stage.core.settings.process, 0
    while missing:
        clients = [
            StreamClient(f'{name}-{turn}-{number}', '/stream/1/')
            for number in range(8)
        ]
        await ask_all(clients, stage, until=1)
        for client in clients:
            missing -= client.versions
        turn += 1
        await anyio.sleep(_POLL)


async def wait_until_gone(stage: Stage, version_servers: set[str]) -> None:
    """Wait until an entry no longer lists some servers."""
    core = stage.core
    with anyio.fail_after(_SETTLED):
        while version_servers & {
            backend.record.server
            for backend in core.backends.list_service('desk', core.clock.now())
        }:
            await anyio.sleep(_POLL)


@dataclass
class RestartingServer:
    """A server that breaks some streams off and can start anew.

    It starts at its address, with a new id and another version.
    """

    random: Random
    version: str
    number: int
    starts: int = 0
    address: str = ''
    _peers: list[Peer] = field(default_factory=list)

    @property
    def server(self) -> str:
        """Return the id of the current start."""
        return f'i-{self.number}' + f'-{self.starts}' * bool(self.starts)

    def restart(self, stage: Stage, version: str) -> None:
        """Break off all streams, and replace the record in the store."""
        stage.store.drop(SERVERS, self.server)
        for peer in self._peers:
            break_off(peer)
        self._peers.clear()
        self.starts += 1
        self.version = version
        record = make_record(self.address, version=version, slots=64)
        stage.store.put(SERVERS, self.server, record)

    async def run(self, peer: Peer) -> None:
        """Send a stream, unless the request is meant for an earlier start."""
        expected = peer.request.headers.get('oleanderdyke-expect-instance')
        if expected not in {None, self.server}:
            await peer.answer(421, b'other', oleanderdyke_not_executed='1')
            return
        self._peers.append(peer)
        if list_stops(peer):
            await tell(self.version)(peer)
        else:
            await self._send_events(peer, self.version)

    async def _send_events(self, peer: Peer, version: str) -> None:
        first = find_last_event(peer) + 1
        await send_versioned(peer, version, first, min(first, LAST))
        for number in range(first + 1, LAST + 1):
            await anyio.sleep(self.random.uniform(0, 0.06))
            if self.random.random() < _BREAK_SHARE:
                break_off(peer)
                return
            await peer.send(make_versioned(number, version))
        await peer.send(b'0\r\n\r\n')


async def wait_listed(stage: Stage, server: str) -> None:
    """Wait until an entry lists a server."""
    with anyio.fail_after(_SETTLED):
        while stage.core.backends.find(server) is None:
            await anyio.sleep(_POLL)
