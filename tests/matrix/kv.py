"""Simulate writing, storing, copying and loading KV cache segments."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count
from typing import TYPE_CHECKING

from oleanderdyke.agent.segment_assembler import SegmentAssembler
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.blocks import (
    digest_segment,
    make_namespace,
    split_segments,
)
from oleanderdyke.kernel.demand import SEGMENT_BYTES
from oleanderdyke.links.messages.segments import SegmentPart, SegmentWrite
from oleanderdyke.policies import keeping  # noqa: F401 - registers itself
from tests.matrix.loop import Process, drive
from tests.matrix.net import LATENCY, SILENCE
from tests.matrix.points import Point
from tests.matrix.store import HALF, SIZE, Store, StoreNode

if TYPE_CHECKING:
    from tests.matrix.world import World

_OFFER_INTERVAL: Millis = 100.0
_READ_INTERVAL: Millis = 250.0
_DURATION: Millis = 3 * SECOND
_RESTART: Millis = 2 * SECOND
_PROMPT = b'p' * SEGMENT_BYTES


@dataclass(frozen=True)
class Use:
    """Record the data that an engine loaded for a namespace's segment."""

    namespace: bytes
    segment: bytes
    data: bytes


class Kv:
    """Simulate a writing engine, a reading engine and a store between them."""

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
        world.outside.after(_DURATION, self._end)

    def on_process_killed(self, process: object) -> None:
        """Do nothing: entries have no role in this scenario."""

    def find_segment_to_free(self) -> bytes:
        """Return the segment to evict next."""
        return self._find_segments('team-1')[0]

    def kill(self, process: Process) -> None:
        """Kill one of the three agents and later restart it as a new one."""
        process.kill()
        self.cut()
        self.world.keep_busy(_RESTART)
        self.world.outside.after(_RESTART, lambda: self._replace(process))

    def lose_store(self) -> None:
        """Crash the store server; its agent detects this and reopens it."""
        store = self.store
        store.process.kill()
        self.agent.after(LATENCY, self.agent.close)
        self.world.keep_busy(_RESTART)

        def restart() -> None:
            store.process = Process(self.world.scheduler, 'store')
            self.agent.after(LATENCY, self.agent.open)

        self.world.outside.after(_RESTART, restart)

    def cut(self) -> None:
        """Drop the messages in flight between the agents."""
        self._epoch += 1

    def fall_silent(self) -> None:
        """Drop all messages until the link times out."""
        self.silent = True

        def restore() -> None:
            self.silent = False
            self.cut()

        self.world.outside.after(SILENCE, restore)

    def _send(self, to: Process, act: Callable[[], None]) -> None:
        epoch = self._epoch

        def arrive() -> None:
            if epoch == self._epoch:
                act()

        if not self.silent:
            to.after(self.delay, arrive)

    def _start(self, process: Process) -> None:
        if process is self.writer:
            process.every(_OFFER_INTERVAL, self._offer)
        else:
            process.every(_READ_INTERVAL, self._read)

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
            # Two computations of the same segment need not be bit-identical.
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
        for start in (0, HALF):
            part = SegmentPart(
                write.request,
                write.segment,
                0,
                start,
                data[start : start + HALF],
                write.length,
                write.digest,
                last=start == HALF,
            )
            self._send(agent, partial(agent.add_part, part))

    def _read(self) -> None:
        """Request a segment of the own team and one of another team."""
        own, other = (self._find_namespace(t) for t in ('team-1', 'team-2'))
        (segment,) = self._find_segments('team-1')
        for namespace in (own, other):
            self._request_segment(namespace, segment)

    def _request_segment(self, namespace: bytes, segment: bytes) -> None:
        agent, copies = self.agent, list[SegmentAssembler]()

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
        points.reach(Point.KV_USE, reader)

        def act() -> None:
            self.uses.append(use)
            points.reach(Point.KV_USE, reader, after=True)

        reader.do(act)

    def _end(self) -> None:
        self.done = True
        self.outcome = 'whole'
