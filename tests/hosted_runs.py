"""Record what servers ran for callers, and check what callers were told."""

from __future__ import annotations

import collections
import enum
import itertools
import json
from dataclasses import dataclass, field

import anyio

from tests.hosted import ReceivedAnswer
from tests.standins.replica import (
    Peer,
    make_answer,
    make_chunk,
    make_event,
    make_head,
)

# A run whose caller left, or was told the end, is closed within this.
_CLOSE_WITHIN_SECONDS = 1.0
_PROMISES = {408, 421, 429, 503}
_EVENTS = 3
_RESET_AFTER_SECONDS = 0.02


class Act(enum.StrEnum):
    """Name what a server does with one request."""

    ANSWER = 'answer'
    REFUSE = 'refuse'
    REFUSE_UNPROVED = 'refuse unproved'
    FAIL = 'fail'
    RESET = 'reset'
    CUT = 'cut'
    REGION = 'foreign'
    FOREIGN_REFUSAL = 'foreign refusal'
    UNSEALED = 'unsealed'
    EXTRA = 'extra'
    HANG = 'hang'
    STREAM = 'stream'
    STREAM_CUT = 'stream cut'
    STREAM_EMPTY = 'stream empty'
    STREAM_HANG = 'stream hang'


_STATUSES = {
    Act.REFUSE_UNPROVED: 503,
    Act.FAIL: 500,
    Act.FOREIGN_REFUSAL: 503,
}
_OTHER = {'oleanderdyke_request_id': 'of-another'}
_SPOILT = {
    Act.REGION: _OTHER,
    Act.FOREIGN_REFUSAL: {**_OTHER, 'oleanderdyke_not_executed': '1'},
    Act.UNSEALED: {'oleanderdyke_response_seal': ''},
}


@dataclass
class Run:
    """Hold one run; `told` is what its server sent of the body."""

    told: bytes = b''
    closed: anyio.Event = field(default_factory=anyio.Event)


class Runs:
    """Play the acts that were drawn for each request, and remember them."""

    def __init__(self) -> None:
        self.decks: dict[str, list[Act]] = {}
        self.by_request: dict[str, list[Run]] = collections.defaultdict(list)
        self._numbers = itertools.count(1)

    async def play(self, peer: Peer) -> None:
        """Do the next act for this request; answer well once none is left."""
        request = peer.request.headers['oleanderdyke-request-id']
        deck = self.decks.get(request, [])
        act = deck.pop(0) if deck else self._choose_well(peer)
        if act is Act.REFUSE:
            await peer.answer(503, b'full', oleanderdyke_not_executed='1')
            return
        run = Run()
        self.by_request[request].append(run)
        try:
            await self._perform(act, peer, run)
        finally:
            run.closed.set()

    async def _perform(self, act: Act, peer: Peer, run: Run) -> None:
        body = f'run {next(self._numbers)} of {peer.request.target}'.encode()
        if act.startswith('stream'):
            await _stream(act, peer, run)
        elif act is Act.RESET:
            peer.reset()
        elif act is Act.HANG:
            await peer.wait_closed()
        elif act is Act.CUT:
            await peer.send(make_answer(peer.request, 200, body)[:-2])
            peer.reset()
        else:
            run.told = b'' if act in _SPOILT else body
            await peer.send(_make_spoilt(act, peer, body))

    @staticmethod
    def _choose_well(peer: Peer) -> Act:
        is_stream = peer.request.target.startswith(('/stream', '/letter'))
        return Act.STREAM if is_stream else Act.ANSWER


def _make_spoilt(act: Act, peer: Peer, body: bytes) -> bytes:
    request = peer.request
    if act is Act.EXTRA:
        extra = make_answer(request, 200, b'of another')
        return make_answer(request, 200, body) + extra
    status = _STATUSES.get(act, 200)
    return make_answer(request, status, body, **_SPOILT.get(act, {}))


async def _stream(act: Act, peer: Peer, run: Run) -> None:
    """Send the events that follow the last one that the caller has."""
    after = int(peer.request.headers.get('last-event-id', '0'))
    await peer.send(
        make_head(
            peer.request,
            content_type='text/event-stream',
            transfer_encoding='chunked',
        )
    )
    last = {Act.STREAM: _EVENTS, Act.STREAM_EMPTY: after}.get(act, after + 1)
    for number in range(after + 1, last + 1):
        run.told += make_event(number)
        await peer.send(make_chunk(make_event(number)))
    if act in {Act.STREAM_CUT, Act.STREAM_EMPTY}:
        # A reset may overtake what was sent before it.
        await anyio.sleep(_RESET_AFTER_SECONDS)
        peer.reset()
    elif act is Act.STREAM_HANG:
        await peer.wait_closed()
    else:
        await peer.send(b'0\r\n\r\n')


async def check_closed(runs: list[Run]) -> None:
    """Check that nothing runs for a caller who has the end or has left."""
    with anyio.move_on_after(_CLOSE_WITHIN_SECONDS):
        for run in runs:
            await run.closed.wait()
    assert all(run.closed.is_set() for run in runs), 'a run goes on'


def check_count(runs: list[Run], most: int) -> None:
    """Check that no more runs began than the route allows."""
    assert len(runs) <= most, f'{len(runs)} runs where {most} may be'


def check_told(answered: ReceivedAnswer, runs: list[Run], path: str) -> None:
    """Check the answer of a caller who stayed against what ran."""
    if answered.status in _PROMISES or _tells_not_run(answered):
        assert not runs, 'told as not run, but it ran'
    if answered.status != 200:
        return
    if path.startswith(('/stream', '/letter')):
        _check_events(answered)
    elif answered.is_whole:
        assert answered.body in [run.told for run in runs], 'no run said that'


def _tells_not_run(answered: ReceivedAnswer) -> bool:
    # What the entry itself says is JSON, what servers say is not.
    if not answered.body.startswith(b'{'):
        return False
    return bool(json.loads(answered.body)['ran'] == 'no')


def _check_events(answered: ReceivedAnswer) -> None:
    whole = b''.join(make_event(number + 1) for number in range(_EVENTS))
    if answered.is_whole:
        assert answered.body == whole, 'events are missing, or there twice'
    assert whole.startswith(answered.body), 'events are not in order'
