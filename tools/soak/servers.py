"""Backend servers of a soak, whose faults can be switched while they run."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import math
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from random import Random
from weakref import WeakKeyDictionary

import anyio

from tests.standins.endless import Pour, pour
from tests.standins.replica import (
    Peer,
    make_answer,
    make_chunk,
    make_head,
)
from tools.soak.arrivals import Observations
from tools.soak.attempts import RunEnd, ServerRun, Spell
from tools.soak.events import StreamPath, encode_event
from tools.soak.hosts import Host

_REFUSED, _MISDIRECTED, _FAILED = 503, 421, 500
_CALL_SECONDS = (0.01, 0.15)
_BREAK_SHARE = 0.15
_REJECTED_SHARE = 0.4
_POURED_SHARE = 0.15
# Bytes without end that are no answers.
_POURS = (Pour.HEAD, Pour.NO_HTTP, Pour.INTERIM, Pour.FOREIGN, Pour.UNSEALED)
_SPOILT_SHARE = 0.2
# Bytes that fit no event of a stream.
_SPOILS = (
    b'HTTP/1.1 200 OK\r\noleanderdyke-response-seal: seal\r\n\r\nresult',
    b'HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n',
    b'data: {}\n\n',
    b'id: ""\ndata: {}\n\n',
    b'id: 0\ndata: {}\n\n',
    b'out of memory\n\n',
    bytes(range(256)) + b'\n\n',
)
_PIECE_SECONDS = 0.02
_ORDERLY_SHARE = 0.5
_UNFRAMED_SHARE = 0.4
_LINE_ENDS = (b'\n', b'\n', b'\r\n', b'\r')
_MEDIA_TYPES = ('text/event-stream', 'Text/Event-Stream; charset=utf-8')
# A pause is some times as long as the mean, and now and then much longer.
_PAUSES = (0.2, 0.5, 0.5, 1.0, 1.0, 1.8, 2.0)


class Behaviour(enum.Enum):
    """How servers answer."""

    ANSWER = enum.auto()
    REFUSE = enum.auto()
    RESET = enum.auto()
    FAIL = enum.auto()
    BREAK = enum.auto()
    # Reject some requests, and repeat answers late.
    REPEAT = enum.auto()
    # Send bytes that are no answer without end to some requests.
    POUR = enum.auto()
    # Send bytes that fit no event behind some events of streams.
    SPOIL = enum.auto()


@dataclass(frozen=True, slots=True)
class StreamWriter:
    """Write a stream in chunks, or one that ends with its connection."""

    peer: Peer
    is_chunked: bool
    line_end: bytes
    media_type: str

    async def begin(self) -> None:
        """Send the head."""
        coding = 'chunked' if self.is_chunked else ''
        head = make_head(
            self.peer.request,
            200,
            content_type=self.media_type,
            transfer_encoding=coding,
        )
        await self.peer.send(head)

    async def send(self, event: bytes) -> None:
        """Send an event, or the beginning of one."""
        data = event.replace(b'\n', self.line_end)
        await self.peer.send(make_chunk(data) if self.is_chunked else data)

    async def end(self) -> None:
        """End the framing in order; raise ConnectionError if it can't be."""
        if self.peer.writer.is_closing():
            raise ConnectionResetError
        if self.is_chunked:
            await self.peer.send(b'0\r\n\r\n')
        else:
            self.peer.writer.close()


def _draw_writer(peer: Peer, random: Random) -> StreamWriter:
    return StreamWriter(
        peer,
        is_chunked=random.random() >= _UNFRAMED_SHARE,
        line_end=random.choice(_LINE_ENDS),
        media_type=random.choice(_MEDIA_TYPES),
    )


@dataclass
class Servers:
    """The servers of one service, which all behave alike.

    `now` returns the seconds since the start of the run. Without `takes_time`
    calls are answered at once.
    """

    observations: Observations
    now: Callable[[], float]
    takes_time: bool = False
    # Behaviours that overlap; the newest one applies.
    active: list[Behaviour] = field(default_factory=list)
    # How many times as long as usual answers take; the largest one applies.
    slowness: list[float] = field(default_factory=list)
    # Ends a server at a poisonous request; returns whether it was one.
    poison: Callable[[Host, Peer], Awaitable[bool]] | None = None
    # Second copies of answers, which come where the next one is expected.
    _copies: WeakKeyDictionary[asyncio.StreamWriter, bytes] = field(
        default_factory=WeakKeyDictionary
    )
    _begun: list[tuple[Host, ServerRun]] = field(default_factory=list)

    def record_stops(self) -> None:
        """Record which servers were stopped after runs had begun there.

        Runs that sleep at such a server have ended with it.
        """
        for host, run in self._begun:
            stops = (at for at in host.stops if at > run.begun)
            run.stopped = min(stops, default=math.inf)
            if run.stopped < math.inf:
                run.end(RunEnd.BROKE_OFF, run.stopped)

    async def serve(self, host: Host, peer: Peer) -> None:
        """Answer one request as all servers do at present."""
        headers = peer.request.headers
        request = headers['oleanderdyke-request-id']
        self.observations.record_arrival(request, self.now())
        expected = headers.get('oleanderdyke-expect-instance', host.server)
        if expected != host.server:
            await peer.answer(
                _MISDIRECTED, b'other', oleanderdyke_not_executed='1'
            )
            return
        run = self.observations.begin_run(request, self.now())
        self._begun.append((host, run))
        if host.is_down:
            # Read before the server was stopped, which reset the connection.
            run.end(RunEnd.BROKE_OFF, self.now())
            peer.reset()
            return
        try:
            await self._act(host, peer, run)
        except ConnectionError:
            if host.stopped_at > run.begun:
                run.end(RunEnd.BROKE_OFF, host.stopped_at)
            run.end(RunEnd.ABANDONED, self.now())
            raise

    async def _act(self, host: Host, peer: Peer, run: ServerRun) -> None:
        """Send what is left of the answer before, then this one."""
        if copy := self._copies.pop(peer.writer, b''):
            await peer.send(copy)
        if self._is_poured(run.request):
            self.observations.record_run(run.request, b'')
            run.end(RunEnd.BROKE_OFF, self.now())
            await pour(peer, Random(run.request).choice(_POURS))
        elif self.poison is not None and await self.poison(host, peer):
            run.end(RunEnd.BROKE_OFF, self.now())
        else:
            run.end(await self._find_answer(peer)(host, peer), self.now())

    def _is_poured(self, request: str) -> bool:
        is_pouring = Behaviour.POUR in self.active
        return is_pouring and Random(request).random() < _POURED_SHARE

    @contextlib.contextmanager
    def behaving(self, behaviour: Behaviour) -> Iterator[None]:
        """Let all servers behave in one way, over others that last."""
        spell = Spell(self.now())
        if behaviour is not Behaviour.BREAK:
            self.observations.server_faults.append(spell)
        self.active.append(behaviour)
        yield
        self.active.remove(behaviour)
        spell.end = self.now()

    def _find_answer(
        self, peer: Peer
    ) -> Callable[[Host, Peer], Awaitable[RunEnd]]:
        behaviour = self.active[-1] if self.active else Behaviour.ANSWER
        answers: dict[Behaviour, Callable[[Host, Peer], Awaitable[RunEnd]]] = {
            Behaviour.REFUSE: self._refuse,
            Behaviour.RESET: self._reset,
            Behaviour.FAIL: self._fail,
            Behaviour.REPEAT: self._repeat,
        }
        is_stream = StreamPath.is_match(peer.request.target)
        return answers.get(behaviour, self._stream if is_stream else self._call)

    async def _call(self, host: Host, peer: Peer) -> RunEnd:
        request = peer.request.headers['oleanderdyke-request-id']
        body = f'result of {request}'.encode()
        self.observations.record_run(request, body)
        if self.takes_time:
            await self._work(host, Random(request).uniform(*_CALL_SECONDS))
        await peer.answer(body=body)
        return RunEnd.FINISHED

    async def _stream(self, host: Host, peer: Peer) -> RunEnd:
        """Send the events after the last one that the client has."""
        path = StreamPath.parse(peer.request.target)
        request = peer.request.headers['oleanderdyke-request-id']
        after = int(peer.request.headers.get('last-event-id') or 0)
        random = Random(f'{host.server}/{request}/{after}')
        await self._work(host, random.uniform(*_CALL_SECONDS))
        writer = _draw_writer(peer, random)
        await writer.begin()
        for number in range(after + 1, path.events + 1):
            event = encode_event(number, host.version, request)
            if self._is_spoilt(f'{request}/{number}'):
                await self._spoil(writer, f'{request}/{number}')
                return RunEnd.BROKE_OFF
            if self._is_broken(random):
                await self._break_off(writer, event, random)
                return RunEnd.BROKE_OFF
            await writer.send(event)
            await self._work(host, path.pause * random.choice(_PAUSES))
        await writer.end()
        return RunEnd.FINISHED if writer.is_chunked else RunEnd.CLOSED

    def _is_spoilt(self, event: str) -> bool:
        is_spoiling = Behaviour.SPOIL in self.active
        return is_spoiling and Random(event).random() < _SPOILT_SHARE

    async def _spoil(self, writer: StreamWriter, event: str) -> None:
        """Send bytes that fit no event, then end or break off the stream."""
        random = Random(f'spoil {event}')
        await writer.send(random.choice(_SPOILS))
        # The entry may have closed the connection by then.
        with contextlib.suppress(ConnectionError):
            if random.random() < _ORDERLY_SHARE:
                await writer.end()
                return
        # A reset may overtake data sent before it. The run has ended by now.
        loop = asyncio.get_running_loop()
        loop.call_later(_PIECE_SECONDS, writer.peer.reset)

    def _is_broken(self, random: Random) -> bool:
        return Behaviour.BREAK in self.active and (
            random.random() < _BREAK_SHARE
        )

    async def _break_off(
        self, writer: StreamWriter, event: bytes, random: Random
    ) -> None:
        """Reset the connection, or end it in order within an event."""
        piece = event[: random.choice((0, 9, len(event) - 1))]
        if piece:
            await writer.send(piece)
            await anyio.sleep(_PIECE_SECONDS)
        if writer.peer.writer.is_closing():
            raise ConnectionResetError
        if piece and random.random() < _ORDERLY_SHARE:
            await writer.end()
        else:
            writer.peer.reset()

    async def _work(self, host: Host, seconds: float) -> None:
        """Take some time, more while servers are slow or this one is silent."""
        await anyio.sleep(seconds * max(self.slowness, default=1.0))
        while (left := host.silent_until - self.now()) > 0:
            await anyio.sleep(left)

    async def _refuse(self, _host: Host, peer: Peer) -> RunEnd:
        await peer.answer(_REFUSED, b'full', oleanderdyke_not_executed='1')
        return RunEnd.REFUSED

    async def _repeat(self, host: Host, peer: Peer) -> RunEnd:
        """Reject a request or run it, and keep a second copy of the answer."""
        if StreamPath.is_match(peer.request.target):
            return await self._stream(host, peer)
        request = peer.request.headers['oleanderdyke-request-id']
        arrivals = len(self.observations.runs[request])
        if Random(f'{request}/{arrivals}').random() < _REJECTED_SHARE:
            marks = {'oleanderdyke_not_executed': '1'}
            answer = make_answer(peer.request, _REFUSED, b'full', **marks)
            end = RunEnd.REFUSED
        else:
            body = f'result of {request}'.encode()
            self.observations.record_run(request, body)
            answer = make_answer(peer.request, body=body)
            end = RunEnd.FINISHED
            await self._work(host, _CALL_SECONDS[0])
        await peer.send(answer)
        self._copies[peer.writer] = answer
        return end

    async def _reset(self, _host: Host, peer: Peer) -> RunEnd:
        request = peer.request.headers['oleanderdyke-request-id']
        self.observations.record_run(request, b'')
        peer.reset()
        return RunEnd.BROKE_OFF

    async def _fail(self, _host: Host, peer: Peer) -> RunEnd:
        request = peer.request.headers['oleanderdyke-request-id']
        self.observations.record_run(request, b'failed')
        await peer.answer(_FAILED, b'failed')
        return RunEnd.FAILED
