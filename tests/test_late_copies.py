"""Check an entry against servers that repeat answers late, drawn at random."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import anyio
import pytest

from oleanderdyke.clients.direct import BackendConnection
from tests.hosted import Stage, staging
from tests.standins.replica import (
    Peer,
    make_answer,
    make_event,
    make_head,
)

pytestmark = pytest.mark.anyio

_PATHS = ('/once/', '/safe/', '/stream/', '/letter/')
_ONCE = '/once/'
_NOT_RUN = frozenset({408, 421, 429, 503})
_CALLS = 60
_CALLERS = 4
_CLOSED = (OSError, asyncio.IncompleteReadError)


@dataclass
class RepeatingServer:
    """Answer at random, and send second copies of some answers late."""

    random: Random
    runs: Counter[str] = field(default_factory=Counter)
    bodies: dict[str, set[bytes]] = field(default_factory=dict)
    # How often each connection carried each request.
    carried: Counter[tuple[object, str]] = field(default_factory=Counter)
    copies: dict[object, bytes] = field(default_factory=dict)

    async def play(self, peer: Peer) -> None:
        """Answer one request, after what is left of the answer before."""
        request = peer.request.headers['oleanderdyke-request-id']
        connection = tuple(
            peer.writer.get_extra_info(end) for end in ('sockname', 'peername')
        )
        self.carried[connection, request] += 1
        if copy := self.copies.pop(connection, b''):
            with contextlib.suppress(ConnectionError):
                await peer.send(copy)
        answer = await self._decide(peer, request)
        with contextlib.suppress(ConnectionError):
            await peer.send(answer)
            await self._repeat(peer, connection, answer)

    async def _decide(self, peer: Peer, request: str) -> bytes:
        """Run a request or reject it; return the answer."""
        kind = self.random.choice(['reject', 'reject', 'misdirect', 'run'])
        if kind != 'run':
            status = 503 if kind == 'reject' else 421
            marks = {'oleanderdyke_not_executed': '1'}
            return make_answer(peer.request, status, b'full', **marks)
        self.runs[request] += 1
        await anyio.sleep(self.random.uniform(0, 0.02))
        if self.random.random() < 0.2:
            return make_answer(peer.request, 500, b'failed')
        body = f'{request} {self.runs[request]}'.encode()
        self.bodies.setdefault(request, set()).add(body)
        if '/once/' in peer.request.target or '/safe/' in peer.request.target:
            return make_answer(peer.request, 200, body)
        data = make_event(1, body.decode())
        self.bodies[request].add(data)
        return make_answer(
            peer.request, 200, data, content_type='text/event-stream'
        )

    async def _repeat(
        self, peer: Peer, connection: object, answer: bytes
    ) -> None:
        """Leave a second copy for the next request, or send it while idle."""
        place = self.random.choice(['none', 'next', 'next', 'idle', 'at once'])
        if place == 'next':
            self.copies[connection] = answer
        elif place == 'idle':
            await anyio.sleep(0.005)
            await peer.send(answer)
        elif place == 'at once':
            await peer.send(answer)


@dataclass
class _Callers:
    """Send drawn calls, some of them twice under one id; check the answers."""

    stage: Stage
    server: RepeatingServer
    random: Random
    sent: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)

    async def run(self) -> None:
        """Send all calls."""
        async with asyncio.TaskGroup() as tasks:
            for caller in range(_CALLERS):
                tasks.create_task(self._call_often(caller))
        await anyio.sleep(0.1)

    def check_runs(self) -> None:
        """Check that what may run once ran once, and not if it was refused."""
        for request, count in self.server.runs.items():
            if request.startswith(_ONCE.strip('/')):
                may_run = self.sent[request] - self.refused[request]
                assert count <= may_run, request

    async def _call_often(self, caller: int) -> None:
        for number in range(_CALLS // _CALLERS):
            path = self.random.choice(_PATHS)
            request = f'{path.strip("/")}-{caller}-{number}'
            await self._call(request, path)

    async def _call(self, request: str, path: str) -> None:
        """Send a request, or several under its id at once or in turn."""
        times = self.random.choice([1, 1, 2, 3])
        if self.random.random() < 0.5:
            sends = (self._send(request, path) for _ in range(times))
            await asyncio.gather(*sends)
            return
        for _ in range(times):
            await self._send(request, path)

    async def _send(self, request: str, path: str) -> None:
        with contextlib.suppress(*_CLOSED):
            self.sent[request] += 1
            answer = await self.stage.call(
                f'{path}{request}', oleanderdyke_request_id=request
            )
            self.refused[request] += answer.status in _NOT_RUN
            if answer.status == 200 and answer.is_whole:
                assert answer.body in self.server.bodies[request], request


async def _play(directory, seed, *, servers):
    """Play drawn calls at servers that repeat answers; check all answers."""
    random = Random(seed)
    server = RepeatingServer(random)
    async with staging(directory, *[server.play] * servers) as stage:
        callers = _Callers(stage, server, random)
        await callers.run()
    assert sum(server.runs.values()) > 10
    callers.check_runs()
    return server


async def _check(directory, seed, *, servers):
    """Play a draw; check that no connection carried a request twice."""
    server = await _play(directory, seed, servers=servers)
    assert not _list_repeated(server)


async def _check_all(directory, seeds):
    for seed in seeds:
        place = directory / str(seed)
        place.mkdir()
        await _check(place, seed, servers=1)


def _list_repeated(server):
    return [place for place, count in server.carried.items() if count > 1]


# Guards against a late copy of an answer to one try of a request that is taken
# for the answer to the next try: requests ran twice, or ran and were refused.
@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('servers', [1, 2])
async def test_late_copies_are_never_answers_to_another_try(
    tmp_path, seed, servers
):
    await _check(tmp_path, seed, servers=servers)


async def test_connections_that_carry_a_request_twice_are_caught(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(BackendConnection, 'has_carried', lambda *_: False)
    with pytest.raises((AssertionError, ExceptionGroup)):
        await _check_all(tmp_path, range(12))


async def _book(stage, request):
    answer = await stage.call(
        f'/once/{request}', oleanderdyke_request_id=request
    )
    return answer.status, answer.body


# Guards against a request that runs and is answered 502, as its connection
# brought a late copy of the answer to an earlier request first.
@pytest.mark.parametrize('pause', [0.0, 0.02])
async def test_request_gets_its_answer_after_a_late_copy_of_another(
    tmp_path, pause
):
    copies = []

    async def play(peer: Peer) -> None:
        for copy in copies:
            await peer.send(copy)
        await anyio.sleep(pause)
        copies.append(make_answer(peer.request, 200, b'earlier'))
        await peer.answer(200, peer.request.target.encode())

    async with staging(tmp_path, play) as stage:
        assert await _book(stage, 'req-1') == (200, b'/once/req-1')
        assert await _book(stage, 'req-2') == (200, b'/once/req-2')
        connections = [each.connection for each in stage.replicas[0].received]
    assert connections == [1, 1]


# Guards against late answers that keep a request waiting, or are taken for its.
@pytest.mark.parametrize('extra', ['many', 'long', 'unnamed', 'unframed'])
async def test_late_answers_are_dropped_up_to_a_limit(tmp_path, extra):
    requests = []

    async def play(peer: Peer) -> None:
        requests.append(peer.request)
        if len(requests) == 1:
            await peer.answer(200, b'first')
            return
        late = make_answer(requests[0], 200, b'first')
        with contextlib.suppress(ConnectionError):
            if extra == 'many':
                await peer.send(late * 9)
            elif extra == 'long':
                await peer.send(make_answer(requests[0], 200, bytes(600_000)))
            elif extra == 'unframed':
                await peer.send(make_head(requests[0], 200) + b'first')
            else:
                unnamed = make_answer(
                    peer.request, 200, b'x', oleanderdyke_request_id=''
                )
                await peer.send(late + unnamed)
                return
            await peer.answer(200, b'second')

    async with staging(tmp_path, play) as stage:
        await _book(stage, 'req-1')
        status, body = await _book(stage, 'req-2')
    assert status == 502
    assert b'first' not in body
