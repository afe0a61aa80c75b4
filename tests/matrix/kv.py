"""Write, keep, copy and use cached segments in simulated time."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Any

from oleanderdyke.agent.segment_copy import SegmentCopy
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.blocks import (
    digest_segment,
    make_namespace,
    split_segments,
)
from oleanderdyke.kernel.demand import SEGMENT_BYTES
from oleanderdyke.kernel.store_index import StoreIndex, StoreLimits
from oleanderdyke.kernel.store_meta import META_SUFFIX
from oleanderdyke.kernel.store_outcomes import (
    Pinned,
    WriteBegun,
    WriteRefusal,
    WriteSealed,
    WriteVerified,
)
from oleanderdyke.links.messages import SegmentPart, SegmentWrite
from oleanderdyke.policies import keeping  # noqa: F401 - registers itself
from oleanderdyke.policies.registries import KEEPERS
from oleanderdyke.policies.settings import PolicySettings
from tests.matrix.loop import Later, Process, drive
from tests.matrix.net import LATENCY, SILENCE
from tests.matrix.points import Point

if TYPE_CHECKING:
    from tests.matrix.world import World

SIZE = 64
_HALF = SIZE // 2
_LIMITS = StoreLimits(
    capacity_bytes=3 * SIZE, write_time=10 * SECOND, pin_time=5 * SECOND
)
_TIMEOUT: Millis = 500.0
_OFFERS: Millis = 100.0
_READS: Millis = 250.0
_TURN: Millis = 200.0
_FREES: Millis = 430.0
_END: Millis = 3 * SECOND
_RESTART: Millis = 2 * SECOND
_PROMPT = b'p' * SEGMENT_BYTES


@dataclass(frozen=True)
class Use:
    """Remember what an engine took for a segment of a namespace."""

    namespace: bytes
    segment: bytes
    data: bytes


class Store:
    """Keep objects; be full, or lose what is being written."""

    def __init__(self, world: World) -> None:
        self.objects: dict[str, bytes] = {}
        self.full = False
        self.process = Process(world.scheduler, 'store')

    def put(self, name: str, data: bytes, later: Later) -> None:
        """Take an object in two halves; tell whether it is stored."""
        if self.full:
            self.process.after(LATENCY, lambda: later.resolve(value=False))
            return
        part = {name: data[: len(data) // 2]}
        self.process.after(LATENCY, lambda: self.objects.update(part))

        def end() -> None:
            self.objects[name] = data
            later.resolve(value=True)

        self.process.after(2 * LATENCY, end)

    def delete(self, name: str) -> None:
        """Delete an object, after what was put before."""
        gone = partial(self.objects.pop, name, b'')
        self.process.after(LATENCY, lambda: _ignore(gone()))


def _ignore(_: object) -> None:
    """Drop a value."""


class StoreNode(Process):
    """Do what the index allows, as the store's agent does."""

    def __init__(self, kv: Kv, incarnation: int) -> None:
        super().__init__(kv.world.scheduler, 'store-1')
        self.kv = kv
        self.writing: dict[str, tuple[str, bytearray]] = {}
        self._number = incarnation
        self.index: StoreIndex | None = None
        self.open()
        self.every(_FREES, self._free)

    def open(self) -> None:
        """Show what the store has kept whole."""
        self._number += 1000
        keeper = KEEPERS.find('lru')(PolicySettings())
        index = self.kv.world.variants.store(
            _LIMITS, keeper, f'{self.name}{self._number}', Random(self._number)
        )
        objects = self.kv.store.objects
        for name in sorted(objects):
            if name.endswith(META_SUFFIX):
                data = objects.get(name.removesuffix(META_SUFFIX))
                stored = None if data is None else len(data)
                index.readmit(name, objects[name], stored, self.now)
        self.index = index
        self._delete()

    def close(self) -> None:
        """Hide everything, since the store is lost."""
        self.index = None
        self.writing.clear()

    def offer(
        self, write: SegmentWrite, send_parts: Callable[[], None]
    ) -> None:
        """Answer an offered segment."""
        if self.index is None:
            return
        outcome = self.index.begin(write, self.now)
        self._delete()
        if isinstance(outcome, WriteBegun):
            self.writing[write.request] = (outcome.object_name, bytearray())
            send_parts()

    def add_part(self, part: SegmentPart) -> None:
        """Take a part; store the segment once all have come."""
        index, writing = self.index, self.writing.get(part.request)
        if index is None or writing is None:
            return
        writing[1].extend(part.data)
        outcome = index.add_part(part, self.now)
        if isinstance(outcome, WriteVerified):
            drive(self._store(index, part, outcome))

    async def serve(
        self, namespace: bytes, segment: bytes, reader: Any
    ) -> None:
        """Copy a segment to a reader while it is pinned."""
        points, index = self.kv.world.points, self.index
        if index is None:
            return
        points.strike(Point.KV_PIN, self)
        await self.checkpoint()
        pinned = index.pin(namespace, segment, self.now)
        if not isinstance(pinned, Pinned):
            return
        points.strike(Point.KV_PIN, self, after=True)
        await self.checkpoint()
        await self._copy(index, pinned, reader)
        index.unpin(pinned)
        self._delete()

    async def _copy(
        self, index: StoreIndex, pinned: Pinned, reader: Any
    ) -> None:
        points = self.kv.world.points
        first = await self._get(pinned.object_name, 0)
        points.strike(Point.KV_COPY, self)
        await self.checkpoint()
        await self._wait_turn()
        rest = await self._get(pinned.object_name, _HALF)
        points.strike(Point.KV_COPY, self, after=True)
        await self.checkpoint()
        is_whole = self.kv.world.variants.is_whole
        if not is_whole(first + rest, pinned.length, pinned.digest):
            index.free_broken(pinned)
            return
        if self.index is index and index.holds(pinned, self.now):
            reader(_make_part(pinned, 0, first, last=False))
            reader(_make_part(pinned, _HALF, rest, last=True))

    async def _wait_turn(self) -> None:
        """Let other readers have the link."""
        later = Later(self)
        self.after(_TURN, later.resolve)
        await later

    async def _store(
        self, index: StoreIndex, part: SegmentPart, verified: WriteVerified
    ) -> None:
        points, segment = self.kv.world.points, part.segment
        name, data = self.writing.pop(part.request)
        points.strike(Point.KV_WRITE, self)
        await self.checkpoint()
        stored = await self._put(name, bytes(data))
        stored = stored and await self._put(verified.meta_name, verified.meta)
        points.strike(Point.KV_WRITE, self, after=True)
        await self.checkpoint()
        if index is not self.index:
            return
        if not stored:
            index.abort(part.request, segment, WriteRefusal.STORE_FAILED)
            self._delete()
            return
        points.strike(Point.KV_SEAL, self)
        await self.checkpoint()
        if index is self.index:
            outcome = index.seal(part.request, segment, self.now)
            sealed = isinstance(outcome, WriteSealed)
            self._delete()
            if sealed:
                points.strike(Point.KV_SEAL, self, after=True)

    async def _put(self, name: str, data: bytes) -> bool:
        later = Later(self)
        self.after(_TIMEOUT, lambda: later.resolve(value=False))
        self.kv.store.put(name, data, later)
        stored: bool = await later
        return stored

    async def _get(self, name: str, start: int) -> bytes:
        later, store = Later(self), self.kv.store
        self.after(_TIMEOUT, lambda: later.resolve(b''))

        def read() -> None:
            data = store.objects.get(name, b'')[start : start + _HALF]
            self.after(LATENCY, lambda: later.resolve(data))

        store.process.after(LATENCY, read)
        found: bytes = await later
        return found

    def _free(self) -> None:
        self.kv.world.points.strike(Point.KV_FREE, self)
        self.do(self._free_next)

    def _free_next(self) -> None:
        if self.index is None:
            return
        self.index.expire(self.now)
        self.index.free(self.kv.choose_freed())
        self._delete()
        self.kv.world.points.strike(Point.KV_FREE, self, after=True)

    def _delete(self) -> None:
        if self.index is not None:
            for name in self.index.take_deletions():
                self.kv.store.delete(name)


class Kv:
    """Let an engine write, another one read, and a store keep between them."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.done = False
        self.outcome = ''
        self.uses: list[Use] = []
        self.written: dict[bytes, set[bytes]] = defaultdict(set)
        self.owners: dict[bytes, bytes] = {}
        self.digest = 'd1'
        self.delay: Millis = LATENCY
        self.silent = False
        self._epoch = 0
        self._numbers = count(1)
        self.store = Store(world)
        self.writer = Process(world.scheduler, 'engine-1')
        self.reader = Process(world.scheduler, 'engine-2')
        self.agent = StoreNode(self, 1)
        world.kv = self
        world.callers.append(self)
        self._start(self.writer)
        self._start(self.reader)
        world.outside.after(_END, self._end)

    def note_dead(self, process: object) -> None:
        """Do nothing: entries take no part."""

    def choose_freed(self) -> bytes:
        """Return the segment to free next."""
        return self._find_segments('team-1')[0]

    def kill(self, process: Process) -> None:
        """Kill one of the three agents; it comes back as a new one."""
        process.kill()
        self.cut()
        self.world.keep_busy(_RESTART)
        self.world.outside.after(_RESTART, lambda: self._replace(process))

    def lose_store(self) -> None:
        """Lose the store server; its agent finds out and opens it again."""
        store = self.store
        store.process.kill()
        self.agent.after(LATENCY, self.agent.close)
        self.world.keep_busy(_RESTART)

        def restart() -> None:
            store.process = Process(self.world.scheduler, 'store')
            self.agent.after(LATENCY, self.agent.open)

        self.world.outside.after(_RESTART, restart)

    def cut(self) -> None:
        """Lose what is under way between the agents."""
        self._epoch += 1

    def fall_silent(self) -> None:
        """Lose all messages until the link is given up."""
        self.silent = True

        def mend() -> None:
            self.silent = False
            self.cut()

        self.world.outside.after(SILENCE, mend)

    def _send(self, to: Process, act: Callable[[], None]) -> None:
        epoch = self._epoch

        def arrive() -> None:
            if epoch == self._epoch:
                act()

        if not self.silent:
            to.after(self.delay, arrive)

    def _start(self, process: Process) -> None:
        if process is self.writer:
            process.every(_OFFERS, self._offer)
        else:
            process.every(_READS, self._read)

    def _replace(self, process: Process) -> None:
        if process is self.agent:
            self.agent = StoreNode(self, next(self._numbers))
            return
        fresh = Process(self.world.scheduler, process.name)
        if process is self.writer:
            self.writer = fresh
        else:
            self.reader = fresh
        self._start(fresh)

    def _find_namespace(self, team: str) -> bytes:
        return make_namespace(team, 'chat', 'm', self.digest, '')

    def _find_segments(self, team: str) -> tuple[bytes, ...]:
        namespace = self._find_namespace(team)
        found = split_segments(namespace, _PROMPT)
        self.owners.update(dict.fromkeys(found, namespace))
        return found

    def _offer(self) -> None:
        for team in ('team-1', 'team-2'):
            number = next(self._numbers)
            (segment,) = self._find_segments(team)
            # Two computations of a segment need not agree in every bit.
            data = bytes([number % 256]) * SIZE
            self.written[segment].add(data)
            write = SegmentWrite(
                f'w{number}',
                self._find_namespace(team),
                segment,
                SIZE,
                digest_segment(data),
            )
            self._send_write(write, data)

    def _send_write(self, write: SegmentWrite, data: bytes) -> None:
        agent = self.agent

        def send_parts() -> None:
            self._send(self.writer, lambda: self._send_parts(write, data))

        self._send(agent, lambda: agent.offer(write, send_parts))

    def _send_parts(self, write: SegmentWrite, data: bytes) -> None:
        agent = self.agent
        for start in (0, _HALF):
            part = SegmentPart(
                write.request,
                write.segment,
                0,
                start,
                data[start : start + _HALF],
                write.length,
                write.digest,
                last=start == _HALF,
            )
            self._send(agent, partial(agent.add_part, part))

    def _read(self) -> None:
        """Ask for an own segment, and for one of another team."""
        own, other = (self._find_namespace(t) for t in ('team-1', 'team-2'))
        (segment,) = self._find_segments('team-1')
        for namespace in (own, other):
            self._ask(namespace, segment)

    def _ask(self, namespace: bytes, segment: bytes) -> None:
        agent, copies = self.agent, list[SegmentCopy]()

        def take(part: SegmentPart) -> None:
            if not copies:
                copies.append(self.world.variants.copy(part, SIZE))
            whole = copies[0].add(part) and part.last
            data = copies[0].finish() if whole else None
            if data is not None:
                self._use(Use(namespace, segment, data))

        def reply(part: SegmentPart) -> None:
            self._send(self.reader, lambda: take(part))

        self._send(agent, lambda: drive(agent.serve(namespace, segment, reply)))

    def _use(self, use: Use) -> None:
        points, reader = self.world.points, self.reader
        points.strike(Point.KV_USE, reader)

        def act() -> None:
            self.uses.append(use)
            points.strike(Point.KV_USE, reader, after=True)

        reader.do(act)

    def _end(self) -> None:
        self.done = True
        self.outcome = 'whole'


def _make_part(
    pinned: Pinned, position: int, data: bytes, *, last: bool
) -> SegmentPart:
    return SegmentPart(
        '',
        pinned.segment,
        pinned.generation,
        position,
        data,
        pinned.length,
        pinned.digest,
        last=last,
    )
