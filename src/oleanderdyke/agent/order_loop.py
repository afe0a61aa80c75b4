"""The loop that makes the engine load the configured weights."""

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
from oleanderdyke.kernel.orders import (
    ORDER_TIMEOUT,
    RECHECK_INTERVAL,
    ConfirmValidity,
    DesiredState,
    Fence,
    Order,
    ReadState,
    Step,
    StopOrdering,
    Validity,
    find_desired,
    reconcile,
)
from oleanderdyke.logs import EventLog

_JSON_HEADERS = (('content-type', 'application/json'),)
_CONFLICT = 409
_REDIRECT = 300
_START_TIMEOUT: Millis = 10 * SECOND


class OrderLoop:
    """Reconcile one engine with the configuration.

    The admission of runs is suspended before an order and resumed after the
    state has been read back. `wait_started` waits until every admitted run has
    begun to answer, so that none starts on the new weights.
    """

    def __init__(
        self,
        backend: Backend,
        engine: EngineView,
        configuration: Configuration,
        *,
        service: str,
        checks_fencing: bool,
        incarnation: str,
        clock: Clock,
        events: EventLog,
        wait_started: Callable[[], Awaitable[None]],
        is_superseded: Callable[[], bool],
    ) -> None:
        self._backend = backend
        self._engine = engine
        self._configuration = configuration
        self._service = service
        self._checks_fencing = checks_fencing
        self._desired: DesiredState | None = None
        self._changed_at_offset = 0
        self._last_refusal = ''
        self._incarnation = incarnation
        self._clock = clock
        self._events = events
        self._wait_started = wait_started
        self._is_superseded = is_superseded

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            try:
                pause = await self.step()
            except OleanderError:
                # The health probe detects a lost engine.
                pause = RECHECK_INTERVAL
            with anyio.move_on_after(max(pause, 0.0) / SECOND):
                await self._configuration.wait_changed()

    async def step(self) -> Millis:
        """Execute one step and return the pause before the next one.

        Raises OleanderError.
        """
        desired = self._find_desired()
        if desired is None:
            return RECHECK_INTERVAL
        step = self._reconcile(desired)
        if isinstance(step, Order):
            await self._order(step)
            return 0.0
        if isinstance(step, ReadState):
            await self._engine.read_state()
            return 0.0
        if isinstance(step, ConfirmValidity):
            return await self._confirm()
        self._engine.resume_admission()
        if isinstance(step, StopOrdering):
            self._log_refused(step.reason.value)
            return RECHECK_INTERVAL
        return step.check_at - self._clock.now()

    def _find_desired(self) -> DesiredState | None:
        service = self._configuration.find_service(self._service)
        if service is None:
            return None
        desired = find_desired(service, self._configuration.list_versions())
        if desired != self._desired:
            self._desired = desired
            self._changed_at_offset = self._configuration.offset
        return desired

    def _reconcile(self, desired: DesiredState) -> Step:
        return reconcile(
            desired,
            self._engine.observed,
            Fence(self._configuration.offset, self._incarnation),
            Validity(
                incarnation=self._incarnation,
                offset=self._configuration.highest_offset,
                ended=self._is_superseded(),
                read_at=self._configuration.confirmed_at,
            ),
            self._clock.now(),
            checks_fencing=self._checks_fencing,
            changed_at=self._changed_at_offset,
        )

    async def _confirm(self) -> Millis:
        if await self._configuration.confirm():
            return 0.0
        return RECHECK_INTERVAL

    async def _order(self, order: Order) -> None:
        if not self._engine.admission_suspended:
            # No run may start on the old weights while they are replaced.
            self._engine.suspend_admission()
            with anyio.move_on_after(_START_TIMEOUT / SECOND):
                await self._wait_started()
            return
        if self._is_superseded():
            return
        if self._clock.now() <= order.not_after:
            await self._send(order)
        self._engine.observed = None

    def _log_refused(self, reason: str) -> None:
        if reason != self._last_refusal:
            self._events.write(EventName.ORDER_REFUSED, reason=reason)
        self._last_refusal = reason

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
            headers=_JSON_HEADERS,
            timeout=ORDER_TIMEOUT,
        )
        if status < _REDIRECT:
            self._last_refusal = ''
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
