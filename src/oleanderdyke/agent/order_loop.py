"""Order the engine to load what the configuration asks for."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import anyio

from oleanderdyke.agent.backend import Backend
from oleanderdyke.agent.configuration import Configuration
from oleanderdyke.agent.engine import EngineView
from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.kernel.gate import Loaded
from oleanderdyke.kernel.orders import (
    ORDER_TIMEOUT,
    RECHECK,
    Desired,
    Fence,
    Order,
    ReadState,
    Settled,
    StandDown,
    Validity,
    find_desired,
    reconcile,
)
from oleanderdyke.logs import EventLog

_JSON = (('content-type', 'application/json'),)
_CONFLICT = 409
_REDIRECT = 300
_START_WAIT: Millis = 10 * SECOND


class OrderLoop:
    """Reconcile one engine with the configuration.

    New runs are refused from before an order until the state is read back;
    `wait_started` returns once no run may still meet the new weights.
    """

    def __init__(
        self,
        backend: Backend,
        engine: EngineView,
        configuration: Configuration,
        *,
        service: str,
        incarnation: str,
        clock: Clock,
        events: EventLog,
        wait_started: Callable[[], Awaitable[None]],
    ) -> None:
        self._backend = backend
        self._engine = engine
        self._configuration = configuration
        self._service = service
        self._incarnation = incarnation
        self._clock = clock
        self._events = events
        self._wait_started = wait_started

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            try:
                pause = await self.step()
            except OleanderError:
                # The health probe tells whether the engine is lost.
                pause = RECHECK
            with anyio.move_on_after(max(pause, 0.0) / SECOND):
                await self._configuration.wait_changed()

    async def step(self) -> Millis:
        """Take one step and return the pause before the next."""
        desired = self._find_desired()
        if desired is None:
            return RECHECK
        now = self._clock.now()
        offset = self._configuration.offset
        fence = Fence(offset, self._incarnation)
        validity = Validity(
            incarnation=self._incarnation,
            offset=self._configuration.highest,
            ended=False,
            read_at=now,
        )
        observed = self._engine.observed
        match reconcile(desired, observed, fence, validity, now):
            case Order() as order:
                await self._order(order)
                return 0.0
            case ReadState():
                await self._engine.read_state()
                return 0.0
            case Settled(check_at=check_at):
                return check_at - now
            case StandDown(reason=reason):
                self._events.write(EventName.ORDER_REFUSED, reason=reason.value)
                return RECHECK

    def _find_desired(self) -> Desired | None:
        service = self._configuration.find_service(self._service)
        if service is None:
            return None
        return find_desired(service, self._configuration.list_versions())

    async def _order(self, order: Order) -> None:
        self._engine.set_loaded(Loaded())
        with anyio.move_on_after(_START_WAIT / SECOND):
            await self._wait_started()
        if self._clock.now() > order.not_after:
            # Too old by now: read everything again before ordering.
            self._engine.observed = None
            return
        await self._send(order)
        self._engine.observed = None

    async def _send(self, order: Order) -> None:
        desired = order.desired
        keys = {'model': desired.model, 'version': desired.version}
        self._events.write(
            EventName.ORDER_SENT, offset=order.fence.offset, **keys
        )
        status, _ = await self._backend.call(
            'POST',
            '/orders',
            body=_encode(order),
            headers=_JSON,
            timeout=ORDER_TIMEOUT,
        )
        if status < _REDIRECT:
            self._events.write(EventName.ORDER_DONE, **keys)
            return
        reason = 'fence' if status == _CONFLICT else 'failed'
        self._events.write(
            EventName.ORDER_REFUSED, reason=reason, status=status
        )


def _encode(order: Order) -> bytes:
    desired = order.desired
    return json.dumps(
        {
            'model': desired.model,
            'version': desired.version,
            'adapter': desired.adapter,
            'role': desired.role,
            'fence': [order.fence.offset, order.fence.incarnation],
        }
    ).encode()
