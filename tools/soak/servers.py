"""Backend servers of a soak, whose faults can be switched while they run."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tests.standins.replica import Peer
from tools.soak.arrivals import Observations

_REFUSED, _FAILED = 503, 500


class Behaviour(enum.Enum):
    """How servers answer."""

    ANSWER = enum.auto()
    REFUSE = enum.auto()
    RESET = enum.auto()
    FAIL = enum.auto()


@dataclass
class Servers:
    """The servers of one service, which all behave alike.

    `now` returns the seconds since the start of the run.
    """

    observations: Observations
    now: Callable[[], float]
    # Behaviours that overlap; the newest one applies.
    active: list[Behaviour] = field(default_factory=list)

    async def serve(self, peer: Peer) -> None:
        """Answer one request as all servers do at present."""
        request = peer.request.headers['oleanderdyke-request-id']
        self.observations.record_arrival(request, self.now())
        behaviour = self.active[-1] if self.active else Behaviour.ANSWER
        answer: dict[Behaviour, Callable[[Peer, str], Awaitable[None]]] = {
            Behaviour.ANSWER: self._answer,
            Behaviour.REFUSE: self._refuse,
            Behaviour.RESET: self._reset,
            Behaviour.FAIL: self._fail,
        }
        await answer[behaviour](peer, request)

    async def _answer(self, peer: Peer, request: str) -> None:
        body = f'result of {request}'.encode()
        self.observations.record_run(request, body)
        await peer.answer(body=body)

    async def _refuse(self, peer: Peer, _request: str) -> None:
        await peer.answer(_REFUSED, b'full', oleanderdyke_not_executed='1')

    async def _reset(self, peer: Peer, request: str) -> None:
        self.observations.record_run(request, b'')
        peer.reset()

    async def _fail(self, peer: Peer, request: str) -> None:
        self.observations.record_run(request, b'failed')
        await peer.answer(_FAILED, b'failed')
