"""Run an entry that asks for copies, in front of engines that make them."""

from __future__ import annotations

import contextlib
import pathlib
from collections.abc import AsyncGenerator
from typing import Any

from oleanderdyke.entry.hosted.scheduler import make_scheduler
from tests.hosted import (
    CONFIGURATION,
    KEY,
    MODEL,
    STREAM_ROUTE,
    UNRESUMABLE_ROUTE,
    Stage,
    staging,
)
from tests.standins.replica import Script

_ENGINE = {
    'kvCapacity': 40_000,
    'kvTokenBytes': 18_432,
    'linkMbps': 130_000,
    'backups': True,
}
COPYING = {
    **CONFIGURATION,
    # Any pause is too long, so that streams that may be resumed are copied.
    'routes': [{**STREAM_ROUTE, 'gapTargetMs': 1}, UNRESUMABLE_ROUTE],
    'services': [{'name': 'desk', 'engine': _ENGINE}],
    'tenants': [{'name': 'red', 'apiKeys': [KEY], 'isolated': True}],
}
MODELS = [{'name': MODEL, 'version': 1}]
MODEL_HEADERS = {
    'oleanderdyke_model': MODEL,
    'oleanderdyke_token_usage': '1000,100',
}


@contextlib.asynccontextmanager
async def copying(
    directory: pathlib.Path,
    *scripts: Script,
    configuration: dict[str, Any] = COPYING,
    engines_listen: bool = False,
) -> AsyncGenerator[Stage, None]:
    """Run an entry that schedules the calls of all services.

    Engines that reset a stream count as ended unless `engines_listen`.
    """
    async with staging(
        directory, *scripts, configuration=configuration, models=MODELS
    ) as stage:
        scheduler = make_scheduler(stage.core)
        scheduler.copies.record_loss(stage.core.clock.now())
        pool: Any = stage.core.pool
        if not engines_listen:
            pool.is_refused = _is_refused
        scheduling: Any = stage.core.scheduling
        scheduling.find_scheduler = lambda _: scheduler
        yield stage


async def _is_refused(_address: str) -> bool:
    return True
