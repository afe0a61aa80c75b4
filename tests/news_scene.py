"""Simulation of entries that share reads of topics, without a network."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

import anyio

from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.kernel.neighbours import RECORD_SOURCE, Neighbour, Neighbours
from oleanderdyke.links.dating import PeerClock
from oleanderdyke.links.messages import Hello, Message, Role
from oleanderdyke.links.news_client import NewsClient
from oleanderdyke.links.news_server import NewsServer
from oleanderdyke.platform.sharing import TopicSharing
from oleanderdyke.platform.store import (
    RecordsRead,
    StoreClient,
    StoreUnavailable,
)
from tests.virtual_time import VirtualClock

_SECOND = 1_000.0
# One-way latencies within a data centre and to the store, in ms, including
# the processing at both ends.
_HOP = 2.0
_STORE_HOP = 4.0
_FAR = 10_000


@dataclass
class FakeStore:
    """Store of topics that records the time of each write."""

    calls: Counter[str] = field(default_factory=Counter)
    written: dict[str, list[float]] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)

    def write(self, topic: str) -> None:
        self.written.setdefault(topic, []).append(anyio.current_time())
        self.changed.set()
        self.changed = anyio.Event()

    async def read(
        self, topic: str, start: int, wait: float
    ) -> tuple[list[bytes], int]:
        self.calls[topic] += 1
        await anyio.sleep(_STORE_HOP / _SECOND)
        with anyio.move_on_after(wait / _SECOND):
            while len(self.written.get(topic, ())) <= start:
                await self.changed.wait()
        end = len(self.written.get(topic, ()))
        await anyio.sleep(_STORE_HOP / _SECOND)
        return [b'%d' % at for at in range(start, end)], end


class FakeClient(StoreClient):
    """Store client that reads from a `FakeStore`."""

    def __init__(self, store, wait, sharing, clock):
        super().__init__('127.0.0.1:9', wait, sharing, clock)
        self._store = store
        self.process: Process

    async def _read_once(self, topic, start):
        if self.process in self.process.scene.refused:
            raise StoreUnavailable('answered with 503')
        found = await self._store.read(topic, start, self._wait)
        await self.process.wait_thawed()
        return found


class FakeLink:
    """One end of a link; messages to the other end arrive after a latency."""

    def __init__(self, name: str) -> None:
        self.peer = Hello(1, Role.ENTRY, name, 'i', 'hall', 0)
        self.closed = False
        self._arrive, self._arrived = anyio.create_memory_object_stream(_FAR)
        self.peer_clock = PeerClock()
        self.other: FakeLink = self
        self.process: Process

    async def send(self, message: Message) -> None:
        if self.closed or self.process.is_cut or self.other.process.is_cut:
            return
        await anyio.sleep(self.process.random.uniform(0.2, 2) * _HOP / _SECOND)
        await self.process.wait_thawed()
        self.other._arrive.send_nowait(message)

    def ask_time(self, _now) -> None:
        """Do nothing, as this peer never tells its clock."""

    async def receive(self) -> Message:
        if self.closed:
            raise OleanderError(ErrorKind.BACKEND_LOST, 'closed')
        message = await self._arrived.receive()
        await self.process.wait_thawed()
        return message


@dataclass
class HealthRecorder:
    """Record the failed and the successful requests to neighbours."""

    failures: list[str] = field(default_factory=list)
    good: int = 0

    def record_failure(self, detail: str) -> None:
        self.failures.append(detail)

    def record_success(self) -> None:
        self.good += 1


@dataclass(eq=False)
class Process:
    """One entry; with `is_cut` all messages to and from it are lost."""

    scene: Scene
    name: str
    data_centre: str
    random: Random
    is_cut: bool = False
    is_frozen: bool = False
    taken: int = 0
    # The age in ms of the data of each complete read.
    ages: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.clock = VirtualClock(self.random.uniform(-1e6, 1e6))
        self.neighbours = Neighbours(self.name, self.data_centre)
        self.desk = NewsServer(self.neighbours, self.clock)
        self.health = HealthRecorder()
        self.reader = NewsClient(
            self.neighbours, self.clock, (RECORD_SOURCE,), self.health
        )
        self.reader.set_pool(self)
        self._links: dict[str, FakeLink] = {}

    async def wait_thawed(self) -> None:
        while self.is_frozen:
            await anyio.sleep(0.01)

    def set_addresses(self, addresses) -> None:
        for name in self._links.keys() - addresses.keys():
            self.scene.tasks.start_soon(self._close, self._links.pop(name))
        for name in addresses.keys() - self._links.keys():
            other = self.scene.processes[name]
            link, back = FakeLink(name), FakeLink(self.name)
            link.other, back.other = back, link
            link.process, back.process = self, other
            self._links[name] = link
            self.scene.tasks.start_soon(other.desk.handle, back)
            self.scene.tasks.start_soon(self._take, link)

    def find(self, name: str) -> FakeLink | None:
        return self._links.get(name)

    async def _close(self, link: FakeLink) -> None:
        link.closed = True
        await self.reader.on_link_down(link)

    async def _take(self, link: FakeLink) -> None:
        while not link.closed:
            await self.reader.handle_answer(link, await link.receive())

    def make_client(self, wait, limit) -> StoreClient:
        sharing = TopicSharing(
            self.reader, self.desk, self.clock, wait=_SECOND, limit=limit
        )
        client = FakeClient(self.scene.store, wait, sharing, self.clock)
        client.process = self
        return client

    async def follow(self, topic: str, wait: float, limit: float) -> None:
        """Read a topic continuously and check each read against the writes."""
        client = self.make_client(wait, limit)
        while True:
            await self.wait_thawed()
            asked_at = anyio.current_time() * _SECOND
            try:
                found = await client._read(topic, self.taken)
            except StoreUnavailable:
                await anyio.sleep(0.15)
                continue
            await self.wait_thawed()
            self.check(found, topic, asked_at + found.waited)

    def check(self, found: RecordsRead, topic: str, known_at: float) -> None:
        """Check that no record written before `known_at` is missing."""
        expected = [
            b'%d' % (self.taken + at) for at in range(len(found.records))
        ]
        assert list(found.records) == expected
        self.taken += len(found.records)
        if self.taken < found.end:
            return
        self.ages.append(anyio.current_time() * _SECOND - known_at)
        written = self.scene.store.written.get(topic, ())
        older = sum(at * _SECOND < known_at for at in written)
        assert older <= self.taken, 'data is reported younger than it is'


class Scene:
    """Entries in several data centres, and the store that they read."""

    def __init__(self, tasks, *, entries: int, data_centres: int = 5, seed=1):
        self.tasks = tasks
        self.store = FakeStore()
        # Processes whose requests the store refuses.
        self.refused: set[Process] = set()
        self.processes = {}
        self._seed = seed
        for number in range(entries):
            self.add(f'front-{number}', f'hall-{number % data_centres}')
        for process in self.processes.values():
            process.reader.update_links()

    def add(self, name: str, data_centre: str) -> Process:
        draw = Random(f'{self._seed}{name}')
        process = Process(self, name, data_centre, draw)
        self.processes[name] = process
        return process

    def meet(self) -> None:
        """Record all entries as alive at all others."""
        for process in self.processes.values():
            for other in self.processes.values():
                known = Neighbour(
                    other.name, f'{other.name}:1', other.data_centre
                )
                process.neighbours.record_alive(known, process.clock.now())

    async def keep_connected(self) -> None:
        while True:
            self.meet()
            for process in self.processes.values():
                process.reader.update_links()
            await anyio.sleep(0.2)

    def list_readers(self, data_centre: str) -> Iterator[str]:
        for process in self.processes.values():
            if process.data_centre != data_centre:
                continue
            found = process.neighbours.find_reader(
                RECORD_SOURCE, process.clock.now()
            )
            yield process.name if found is None else found.name
