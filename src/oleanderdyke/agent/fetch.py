"""Bring kept segments from a store into the engine."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol, TypeAlias

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.agent.backend import Backend
from oleanderdyke.agent.peers import Inbox, StorePeer, StorePeers
from oleanderdyke.agent.segment_assembler import SegmentAssembler
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.kernel.blocks import Namespace, SegmentId
from oleanderdyke.kernel.fetch_pace import FetchPace
from oleanderdyke.links.link import LinkClosed
from oleanderdyke.links.messages import Cancel, FetchPlan
from oleanderdyke.links.messages.segments import (
    SegmentMissing,
    SegmentPart,
    SegmentRead,
)
from oleanderdyke.logs import EventLog

_READ_ATTEMPT = 0
_REDIRECT = 300
_ANSWER_LIMIT = 64 * 1024
# So many segments are imported at once, which bounds what is held of them.
_IMPORTS = 4

_FlightKey: TypeAlias = tuple[str, Namespace, SegmentId]


@dataclass(frozen=True, slots=True)
class FetchResult:
    """Count the leading segments that are in the engine now.

    `length` counts the link bytes that this fetch itself caused.
    """

    segments: int
    length: int


class Busy(Protocol):
    """Tell background work when to yield."""

    async def wait_idle(self) -> None:
        """Return once no fetch is under way."""


@dataclass(slots=True)
class _Flight:
    done: anyio.Event = field(default_factory=anyio.Event)
    imported: bool = False
    length: int = 0

    def settle(self, *, imported: bool) -> None:
        self.imported = imported
        self.done.set()


@dataclass(slots=True)
class _Reading:
    address: str
    namespace: Namespace
    flights: dict[SegmentId, _Flight]
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    waiters: int = 0
    broken: bool = False

    def break_off(self, flight: _Flight) -> None:
        """End a chain at a segment, since nothing after a gap is of use."""
        self.broken = True
        flight.settle(imported=False)


class Fetcher:
    """Fetch segments once for all who wait for them."""

    def __init__(
        self,
        peers: StorePeers,
        backend: Backend,
        *,
        tasks: TaskGroup,
        events: EventLog,
        timeout: Millis,
        segment_limit: int,
    ) -> None:
        self._peers = peers
        self._backend = backend
        self._tasks = tasks
        self._events = events
        self._timeout = timeout
        self._segment_limit = segment_limit
        self._flights: dict[_FlightKey, tuple[_Reading, _Flight]] = {}
        self._readings = 0
        self._idle = anyio.Event()
        self._idle.set()

    async def wait_idle(self) -> None:
        """Return once no fetch is under way."""
        await self._idle.wait()

    async def fetch(
        self,
        plan: FetchPlan,
        namespace: Namespace,
        *,
        step: Millis,
        request: str = '',
    ) -> FetchResult:
        """Import a plan's segments in order.

        Give up when they come more slowly than one in each `step`, the time
        that computing one may take; what came until then is of use.
        """
        started = self._join(plan, namespace)
        readings = {id(reading): reading for reading, _, _ in started}
        for reading in readings.values():
            reading.waiters += 1
        flights = [flight for _, flight, _ in started]
        try:
            count = await self._count_imported(flights, step)
        finally:
            for reading in readings.values():
                _leave(reading)
        length = sum(each.length for _, each, own in started if own)
        self._log(plan, request, count, length)
        return FetchResult(count, length)

    async def _count_imported(
        self, flights: Sequence[_Flight], step: Millis
    ) -> int:
        pace = FetchPace(len(flights), step, self._timeout, now=_read_clock())
        for count, flight in enumerate(flights):
            deadline = pace.find_deadline(
                count, _read_clock(), sharing=self._readings
            )
            with anyio.CancelScope(deadline=deadline / SECOND):
                await flight.done.wait()
            if not flight.imported:
                return count
        return len(flights)

    def _join(
        self, plan: FetchPlan, namespace: Namespace
    ) -> list[tuple[_Reading, _Flight, bool]]:
        reading = _Reading(plan.address, namespace, {})
        joined = []
        for segment in plan.segments:
            key = (plan.address, namespace, segment)
            found = self._flights.get(key)
            if found is None:
                flight = reading.flights.setdefault(segment, _Flight())
                self._flights[key] = (reading, flight)
                joined.append((reading, flight, True))
                continue
            joined.append((*found, False))
        if reading.flights:
            self._note_busy()
            self._readings += 1
            self._tasks.start_soon(self._read, reading)
        return joined

    def _note_busy(self) -> None:
        if self._idle.is_set():
            self._idle = anyio.Event()

    async def _read(self, reading: _Reading) -> None:
        try:
            with reading.scope:
                await self._exchange(reading)
        except OleanderError as error:
            self._events.write(
                EventName.SEGMENTS_REJECTED,
                address=reading.address,
                reason=error.kind.value,
            )
        finally:
            self._forget(reading)

    def _forget(self, reading: _Reading) -> None:
        self._readings -= 1
        for segment, flight in reading.flights.items():
            key = (reading.address, reading.namespace, segment)
            self._flights.pop(key, None)
            if not flight.done.is_set():
                flight.settle(imported=False)
        if not self._flights:
            self._idle.set()

    async def _exchange(self, reading: _Reading) -> None:
        peer = await self._peers.find(reading.address)
        request = peer.make_request()
        async with peer.listen(request) as inbox:
            segments = tuple(reading.flights)
            await peer.send(SegmentRead(request, reading.namespace, segments))
            try:
                whole = await self._receive(inbox, reading)
            except BaseException:
                await _stop_reading(peer, request)
                raise
            if not whole:
                await _stop_reading(peer, request)

    async def _receive(self, inbox: Inbox, reading: _Reading) -> bool:
        """Import each segment while the next ones still arrive."""
        places = anyio.Semaphore(_IMPORTS)
        async with anyio.create_task_group() as imports:
            for segment, flight in reading.flights.items():
                await places.acquire()
                data = await self._copy(inbox, segment, flight)
                if data is None or reading.broken:
                    reading.break_off(flight)
                    break
                imports.start_soon(self._import, reading, segment, data, places)
        if reading.broken:
            self._reject(reading)
        return not reading.broken

    async def _copy(
        self, inbox: Inbox, segment: SegmentId, flight: _Flight
    ) -> bytes | None:
        copy: SegmentAssembler | None = None
        async for answer in inbox:
            if isinstance(answer, SegmentMissing):
                return None
            if not isinstance(answer, SegmentPart):
                continue
            flight.length += len(answer.data)
            copy = copy or SegmentAssembler(answer, self._segment_limit)
            if answer.segment != segment or not copy.add(answer):
                return None
            if answer.last:
                return copy.finish()
        return None

    async def _import(
        self,
        reading: _Reading,
        segment: SegmentId,
        data: bytes,
        places: anyio.Semaphore,
    ) -> None:
        flight = reading.flights[segment]
        if await self._put(segment, data):
            flight.settle(imported=True)
        else:
            reading.break_off(flight)
        places.release()

    async def _put(self, segment: SegmentId, data: bytes) -> bool:
        path = f'/kv/{segment.hex()}'
        try:
            with anyio.fail_after(self._timeout / SECOND):
                async with self._backend.kept.request(
                    'PUT', path, body=data
                ) as answer:
                    await answer.read(_ANSWER_LIMIT)
                    return answer.status < _REDIRECT
        except (OleanderError, TimeoutError):
            return False

    def _reject(self, reading: _Reading) -> None:
        self._events.write(
            EventName.SEGMENTS_REJECTED,
            address=reading.address,
            reason='not_whole',
        )

    def _log(
        self, plan: FetchPlan, request: str, count: int, length: int
    ) -> None:
        self._events.write(
            EventName.SEGMENTS_FETCHED,
            request=request,
            store=plan.store,
            segments=count,
            count=len(plan.segments),
            length=length,
        )


def _read_clock() -> Millis:
    return anyio.current_time() * SECOND


def _leave(reading: _Reading) -> None:
    reading.waiters -= 1
    if reading.waiters == 0:
        reading.scope.cancel()


async def _stop_reading(peer: StorePeer, request: str) -> None:
    if peer.closed:
        return
    with anyio.move_on_after(1, shield=True), suppress(LinkClosed):
        await peer.send(Cancel(request, _READ_ATTEMPT))
