"""The configuration of a soak, and the changes that its faults make to it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from tests.hosted import (
    CONFIGURATION,
    ROUTE,
    SAFE_ROUTE,
    STREAM_ROUTE,
    UNRESUMABLE_ROUTE,
    make_store_service,
)

_MILLIS = 1000


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Set the times of one configuration, in seconds.

    `idle` is how long a connection may stay without a request, the others are
    the timeouts of the routes.
    """

    idle: float = 15.0
    call: float = 2.0
    stream: float = 12.0


# The first holds at the start; faults change to one of the others and back.
TIMEOUTS = (
    Timeouts(),
    Timeouts(idle=3.0),
    Timeouts(idle=6.0, stream=9.0),
    Timeouts(idle=1.5, call=1.5),
    Timeouts(call=3.0, stream=15.0),
)
# Streams end soon, so that entries draw conclusions from lists soon.
SHORT_STREAMS = Timeouts(stream=6.0)
# A pause that is longer makes an answer late.
GAP = 0.4
TARGET = 0.4


def make_configuration(
    version: int, timeouts: Timeouts, memories: Iterable[str] = ()
) -> Mapping[str, Any]:
    """Return the configuration with routes for calls and for streams.

    `memories` are the addresses of context stores.
    """
    call = {'timeoutMs': timeouts.call * _MILLIS}
    stream = {
        'timeoutMs': timeouts.stream * _MILLIS,
        'gapTargetMs': GAP * _MILLIS,
        'targetLatencyMs': TARGET * _MILLIS,
    }
    limits = {
        **CONFIGURATION['limits'],
        'idleTimeoutMs': timeouts.idle * _MILLIS,
    }
    return {
        **CONFIGURATION,
        'version': version,
        'routes': [
            {**ROUTE, **call},
            {**SAFE_ROUTE, **call},
            {**STREAM_ROUTE, **stream},
            {**UNRESUMABLE_ROUTE, **stream},
        ],
        'limits': limits,
        'services': [
            *CONFIGURATION['services'],
            *(
                make_store_service(f'memory-{number}', address)
                for number, address in enumerate(memories)
            ),
        ],
    }
