"""Client for the state and the weight orders of a model engine."""

from __future__ import annotations

import enum
import json
from dataclasses import dataclass

from oleanderdyke.clients.buffered import fetch_body
from oleanderdyke.clients.http import HttpBackend, HttpError, HttpSettings
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.rollout import EngineState
from oleanderdyke.platform import names
from oleanderdyke.platform.documents import decode_born
from oleanderdyke.platform.fields import (
    MALFORMED,
    load_object,
    read_flag,
    read_integer,
    read_number,
    read_objects,
    read_text,
)

# The engine runs on the same machine.
_TIMEOUT: Millis = 1 * SECOND
_MAX_ANSWER_BYTES = 4 * 1024 * 1024
_OK = 200


class OrderOutcome(enum.StrEnum):
    """Name the result of an order; UNKNOWN if no answer tells."""

    ACCEPTED = 'accepted'
    HOLDS = 'holds'
    CONFLICT = 'conflict'
    OLD_FENCE = 'old_fence'
    REFUSED = 'refused'
    OTHER_SERVER = 'other_server'
    UNKNOWN = 'unknown'


_OUTCOMES = {
    202: OrderOutcome.ACCEPTED,
    200: OrderOutcome.HOLDS,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.OLD_FENCE,
    400: OrderOutcome.REFUSED,
    421: OrderOutcome.OTHER_SERVER,
}


class EngineUnavailable(OleanderError):
    """The engine could not be reached or gave an invalid answer."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.BACKEND_LOST, message, ran=Ran.MAYBE)


@dataclass(frozen=True, slots=True)
class WeightOrder:
    """Order an engine to load weights once its running requests have ended.

    `server` identifies the start of the engine. The engine executes an order
    only while the number of orders that it has accepted is `after`, so that a
    late order has no effect. `holder` and `fence` identify the sender.
    """

    server: str
    model: str
    version: int
    holder: str
    fence: int
    after: int


class EngineClient:
    """Client for the engine at `host:port`."""

    def __init__(self, address: str) -> None:
        settings = HttpSettings(connect=_TIMEOUT, read=_TIMEOUT)
        self._http = HttpBackend(address, settings=settings)

    async def read_state(self) -> EngineState:
        """Return the versions and the state of the engine.

        Raise EngineUnavailable.
        """
        status, data = await self._call('GET', names.REPORT_PATH)
        if status != _OK:
            raise EngineUnavailable(
                f'GET {names.REPORT_PATH}: found status {status}; '
                f'expected {_OK}'
            )
        try:
            return _decode_state(data)
        except MALFORMED as error:
            raise EngineUnavailable(f'malformed report: {error!r}') from error

    async def give_order(self, order: WeightOrder) -> OrderOutcome:
        """Send an order; after UNKNOWN it may still be executed later."""
        body = {
            'op': 'version',
            'model': order.model,
            'version': order.version,
            'strategy': 'wait',
            'holder': order.holder,
            'fence': order.fence,
            'precondition': order.after,
        }
        headers = (
            ('content-type', 'application/json'),
            (names.EXPECTED_INSTANCE, order.server),
        )
        try:
            status, _ = await self._call(
                'POST', names.ORDER_PATH, headers, json.dumps(body).encode()
            )
        except EngineUnavailable:
            return OrderOutcome.UNKNOWN
        return _OUTCOMES.get(status, OrderOutcome.UNKNOWN)

    async def _call(
        self,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes | None = None,
    ) -> tuple[int, bytes]:
        try:
            return await fetch_body(
                self._http,
                method,
                path,
                headers=headers,
                body=body,
                within=_TIMEOUT,
                limit=_MAX_ANSWER_BYTES,
            )
        except HttpError as error:
            raise EngineUnavailable(error.message) from error


def _decode_state(data: bytes) -> EngineState:
    found = load_object(data)
    models = read_objects(found, 'models')
    return EngineState(
        versions={
            read_text(each, 'name'): read_integer(each, 'version')
            for each in models
        },
        is_busy=read_flag(found, 'busy') if 'busy' in found else False,
        # The wire's `seq` is the number of orders that were accepted.
        orders=read_integer(found, 'seq') if 'seq' in found else 0,
        clock=read_number(found, 'clock_ms') if 'clock_ms' in found else 0.0,
        born=decode_born(found),
    )
