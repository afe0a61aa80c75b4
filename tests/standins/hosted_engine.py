"""Simulate a model engine of the users' platform that executes orders."""

from __future__ import annotations

import json
from typing import Any

import anyio

from tests.standins.replica import Peer

_ORDER_TAKEN = 202
_ORDER_HOLDS = 200


class HostedEngine:
    """Hold weights and execute orders; a load takes `load_seconds`.

    If `server` is set, orders must name that start id. A crash keeps the
    weights that were loaded before. Like the platform's engines, this one
    stores the fence of an order for weights that it already holds, but does
    not count the order. `fence` is None if fences are not checked.
    """

    def __init__(
        self, model: str, load_seconds: float = 0.05, server: str = ''
    ) -> None:
        self.version = 1
        self.busy = False
        self.down = False
        self.server = server
        self.born: int | None = None
        self.orders: list[dict[str, Any]] = []
        self.accepted = 0
        self.fence: int | None = None
        self.lose_answers = 0
        self.outcome = _ORDER_TAKEN
        self._model = model
        self._load_seconds = load_seconds

    async def __call__(self, peer: Peer) -> None:
        """Handle a call from an agent."""
        if self.down:
            peer.reset()
            return
        peer.request.headers.setdefault('oleanderdyke-request-id', '-')
        if peer.request.target == '/api/report':
            await peer.answer(body=json.dumps(self.report()).encode())
            return
        order = json.loads(peer.request.body)
        order['instance'] = peer.request.headers['oleanderdyke-expect-instance']
        self.orders.append(order)
        await self._handle_order(order, peer)

    async def _handle_order(self, order: dict[str, Any], peer: Peer) -> None:
        if self.lose_answers:
            self.lose_answers -= 1
            peer.reset()
            return
        status = self.find_error_status(order)
        if status is not None:
            await peer.answer(status)
            return
        self.update_fence(order)
        if self.holds(order):
            await peer.answer(_ORDER_HOLDS)
            return
        await peer.answer(self.outcome)
        if self.outcome == _ORDER_TAKEN:
            await self.load(order['version'])

    def holds(self, order: dict[str, Any]) -> bool:
        """Return whether an order names the loaded weights."""
        return bool(order['version'] == self.version)

    def find_error_status(self, order: dict[str, Any]) -> int | None:
        """Return the status that rejects an order, or None if accepted."""
        if self.server and order['instance'] != self.server:
            return 421
        if order['precondition'] != self.accepted:
            return 409
        if self.fence is not None and order['fence'] < self.fence:
            return 412
        return None

    async def take_late(self, order: dict[str, Any]) -> None:
        """Execute an order delayed in transit if it is still valid."""
        if self.find_error_status(order) is None:
            self.update_fence(order)
            await self.load(order['version'])

    def update_fence(self, order: dict[str, Any]) -> None:
        """Store the highest fence seen, if fences are checked."""
        if self.fence is not None:
            self.fence = max(self.fence, order['fence'])

    async def load(self, version: int) -> None:
        """Load new weights, unless the engine crashes during the load."""
        self.accepted += 1
        self.busy = True
        start = self.server
        await anyio.sleep(self._load_seconds)
        if self.server == start and not self.down:
            self.version, self.busy = version, False

    def crash(self) -> None:
        """Stop answering until the next start."""
        self.down, self.busy = True, False

    def start_anew(self, server: str, born: int | None = None) -> None:
        """Restart under the given start id with the weights loaded before."""
        self.down, self.accepted, self.server = False, 0, server
        self.born = born
        self.fence = None if self.fence is None else 0

    def report(self) -> dict[str, Any]:
        """Return the status report of the engine."""
        models = [{'name': self._model, 'version': self.version}]
        told = {} if self.born is None else {'born': self.born}
        state = {'models': models, 'busy': self.busy, 'seq': self.accepted}
        return state | told
