"""Entries before servers that leave requests unread, and what these get."""

from __future__ import annotations

import contextlib
import itertools
import time
from dataclasses import dataclass, field
from random import Random

import anyio

from tests.hosted import (
    CONFIGURATION,
    SAFE_ROUTE,
    SERVERS,
    make_record,
    staging_linked,
)
from tests.standins.paused import (
    PausableServer,
    refuse,
    serve,
    serving_pausable,
)
from tools.soak.arrivals import Observations, RetryRule

_TIMEOUT_MS = 4_000
# Entries have read each other's announcements by then.
_KNOWN_SECONDS = 6.0
_EARLIER_REQUESTS = 100


@dataclass(frozen=True)
class Trouble:
    """What servers do during a pause, and on connections it leaves alone.

    The pause concerns the connections of a `share` of the requests. A proxy may
    reset those and deliver after the pause.
    """

    share: float = 1.0
    is_served: bool = False
    is_resetting: bool = False

    def make_server(self, arrive, seed):
        return PausableServer(
            arrive,
            serve if self.is_served else refuse,
            self.share,
            self.is_resetting,
            Random(seed),
        )


STANDSTILL = Trouble()


@dataclass
class LateScene:
    """Entries with pausable servers; `seen` counts requests as they arrive."""

    stages: list
    servers: list
    seen: Observations = field(default_factory=Observations)
    started: float = field(default_factory=time.monotonic)
    statuses: list = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)

    def now(self):
        return time.monotonic() - self.started

    def find_fullest(self, slack=52.0):
        return self.seen.find_fullest(RetryRule(slack=slack))

    def check_limit(self):
        """Fail if some window holds more retries than the platform allows."""
        fullest = self.find_fullest()
        assert fullest.retries <= fullest.allowed, fullest

    async def send(self, rate, seconds):
        """Send requests in turn to all entries."""
        end = self.now() + seconds
        async with anyio.create_task_group() as tasks:
            for number in itertools.count():
                if self.now() >= end:
                    break
                stage = self.stages[number % len(self.stages)]
                tasks.start_soon(self._call, stage)
                await anyio.sleep(1 / rate)

    async def pause_servers(self, after, seconds, count=None):
        """Let servers read nothing for a time."""
        await anyio.sleep(after)
        for server in self.servers[:count]:
            server.pause()
        await anyio.sleep(seconds)
        for server in self.servers[:count]:
            server.resume()

    async def _call(self, stage):
        request = f'req-{next(self._numbers)}'
        self.seen.record_sent(request, self.now(), is_idempotent=True)
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            found = await stage.call(
                '/safe/x',
                oleanderdyke_request_id=request,
                oleanderdyke_deadline_ms=f'{_TIMEOUT_MS}',
            )
            self.statuses.append(found.status)


def _configure(attempts):
    route = {
        **SAFE_ROUTE,
        'timeoutMs': _TIMEOUT_MS,
        'maxAttempts': attempts,
    }
    return {**CONFIGURATION, 'routes': [route]}


@contextlib.asynccontextmanager
async def late_scene(
    directory, *, entries, servers, trouble=STANDSTILL, attempts=3
):
    scene = LateScene([], [])
    async with contextlib.AsyncExitStack() as stack:
        addresses = []
        for number in range(servers):
            server = trouble.make_server(
                lambda request: scene.seen.record_arrival(request, scene.now()),
                number,
            )
            scene.servers.append(server)
            addresses.append(
                await stack.enter_async_context(serving_pausable(server))
            )
        linked = await stack.enter_async_context(
            staging_linked(
                directory, entries=0, configuration=_configure(attempts)
            )
        )
        for number, address in enumerate(addresses):
            linked.store.put(SERVERS, f'i-{number}', make_record(address))
        # Entries wait until they are ready if there is anything to serve.
        linked.replicas.extend(scene.servers)
        for _ in range(entries):
            scene.stages.append(await linked.start())
        await anyio.sleep(_KNOWN_SECONDS)
        for stage in scene.stages:
            for _ in range(_EARLIER_REQUESTS):
                stage.core.find_budget('desk').deposit()
        yield scene


async def play(
    directory,
    *,
    entries,
    rate,
    pause,
    servers=6,
    count=None,
    lead=0.3,
    tail=8.0,
    trouble=STANDSTILL,
    attempts=3,
):
    """Return the scene after servers left requests unread for a time."""
    async with late_scene(
        directory,
        entries=entries,
        servers=servers,
        trouble=trouble,
        attempts=attempts,
    ) as scene:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scene.send, rate, lead + pause + tail)
            tasks.start_soon(scene.pause_servers, lead, pause, count)
        return scene
