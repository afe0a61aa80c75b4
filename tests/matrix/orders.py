"""Run the agent's engine reconciliation in simulated time."""

from __future__ import annotations

import json
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from oleanderdyke.agent.engine import EngineView
from oleanderdyke.agent.order_loop import OrderLoop
from oleanderdyke.clients.http import HttpError
from oleanderdyke.clock import Millis
from oleanderdyke.errors import OleanderError, Ran
from oleanderdyke.kernel.orders import (
    RECHECK_INTERVAL,
    DesiredState,
    Fence,
    Order,
)
from oleanderdyke.links.messages import ConfigurationRequest
from tests.matrix.loop import Deferred, NullSink, Process, drive
from tests.matrix.points import Point

if TYPE_CHECKING:
    from tests.matrix.agent import ModelAgent

_NULL: Any = NullSink()
_STEP: Millis = 500.0
_CONFIRM: Millis = 200.0
_LOST = HttpError('no answer', ran=Ran.MAYBE)


class EnginePort:
    """Call an agent's engine with simulated latency in both directions."""

    def __init__(self, agent: ModelAgent) -> None:
        self._agent = agent

    async def get_json(self, _: str) -> Any:
        """Read the engine's state; raise HttpError."""
        agent = self._agent
        agent.world.points.reach(Point.STATE_READ, agent)
        await agent.checkpoint()
        state = await self._ask(self._read)
        agent.world.points.reach(Point.STATE_READ, agent, after=True)
        await agent.checkpoint()
        return state

    async def call(
        self, _: str, __: str, *, body: bytes, **___: object
    ) -> tuple[int, bytes]:
        """Send an order to the engine; raise HttpError."""
        agent = self._agent
        order = json.loads(body)
        status: int = await self._ask(lambda: self._load(order))
        agent.world.points.reach(Point.ORDER, agent, after=True)
        await agent.checkpoint()
        return status, b''

    async def _ask(self, act: Any) -> Any:
        agent, server = self._agent, self._agent.backend.process
        later = Deferred(agent)
        agent.after(_STEP, lambda: later.resolve(error=_LOST))

        def arrive() -> None:
            result = act()
            agent.after(1.0, lambda: later.resolve(result))

        server.after(1.0, arrive)
        return await later

    def _read(self) -> dict[str, Any]:
        seen = self._agent.backend.observe(0.0)
        fence = seen.fence and [seen.fence.offset, seen.fence.incarnation]
        return {
            'model': seen.model,
            'version': seen.version,
            'digest': seen.digest,
            'adapter': seen.adapter,
            'role': seen.role,
            'fence': fence,
        }

    def _load(self, order: dict[str, Any]) -> int:
        wanted, fence = order, Fence(*order['fence'])
        digest = f'd{wanted["version"][1:]}'
        desired = DesiredState(
            wanted['model'], wanted['version'], digest, wanted['adapter']
        )
        return 200 if self._agent.backend.load(desired, fence) else 409


class ModelOrders(OrderLoop):
    """Reconcile like the production loop, with simulated waits."""

    def __init__(self, agent: ModelAgent, *, checks: bool) -> None:
        port: Any = EnginePort(agent)
        self._agent = agent
        self.engine = EngineView(
            port,
            clock=agent.scheduler.clock,
            events=_NULL,
            on_loaded=self._note_loaded,
        )
        super().__init__(
            port,
            self.engine,
            agent.configuration,
            service=agent.service,
            checks_fencing=checks,
            incarnation=agent.incarnation,
            clock=agent.scheduler.clock,
            events=_NULL,
            wait_started=self._wait_runs,
            is_superseded=lambda: agent.superseded,
        )
        self._is_busy = False
        agent.after(_STEP / 2, self.wake)
        agent.every(_STEP, self.wake)

    def wake(self) -> None:
        """Reconcile now, as after a configuration change."""
        if not self._is_busy:
            self._is_busy = True
            drive(self._take_steps())

    async def _take_steps(self) -> None:
        pause: Millis = 0.0
        with suppress(OleanderError):
            while pause <= 0:
                pause = await self.step()
        self._is_busy = False

    async def _confirm(self) -> Millis:
        configuration, agent = self._configuration, self._agent
        before = configuration.confirmed_at
        for outbox in tuple(configuration._entries.values()):
            request = ConfigurationRequest(configuration.offset)
            configuration._send_request(outbox, request)
        await _sleep(agent, _CONFIRM)
        return 0.0 if configuration.confirmed_at > before else RECHECK_INTERVAL

    async def _order(self, order: Order) -> None:
        agent = self._agent
        if not self.engine.admission_suspended:
            self.engine.suspend_admission()
            await self._wait_runs()
            return
        agent.world.points.reach(Point.ORDER, agent)
        await agent.checkpoint()
        if agent.now <= order.not_after:
            await self._send(order)
        self.engine.observed = None

    async def _wait_runs(self) -> None:
        runs = self._agent.runs
        while any(not run.started for run in runs._runs.values()):
            await _sleep(self._agent, 10.0)

    def _note_loaded(self, loaded: Any) -> None:
        self._agent.role.loaded = loaded
        self._agent.gate.set_loaded(loaded)


async def _sleep(process: Process, time: Millis) -> None:
    later = Deferred(process)
    process.after(time, later.resolve)
    await later
