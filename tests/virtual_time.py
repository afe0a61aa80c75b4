"""Run an event loop on simulated time that advances only when it is idle."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio

_START = 1_000.0


class _Selector(selectors.SelectSelector):
    """Skip each wait and advance the loop's time by its timeout."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError(
                'deadlock: no timer is scheduled and no task can run'
            )
        self.loop.passed += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Provide an event loop whose clock is simulated time, in seconds."""

    def __init__(self) -> None:
        selector = _Selector()
        selector.loop = self
        self.passed = _START
        super().__init__(selector)

    def time(self) -> float:
        return self.passed


@dataclass
class VirtualClock:
    """Read a loop's time in ms, shifted by `ahead` to simulate clock skew."""

    ahead: float = 0.0

    def now(self) -> float:
        return anyio.current_time() * 1_000 + self.ahead

    def wall(self) -> float:
        return self.now()


def run_virtually(act: Callable[[], Awaitable[Any]]) -> Any:
    """Run `act` to completion on simulated time."""
    options = {'loop_factory': VirtualLoop}
    return anyio.run(act, backend='asyncio', backend_options=options)
