"""Run the tasks of an agent on the users' platform."""

from __future__ import annotations

import math
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from random import Random

import anyio

from oleanderdyke.agent.hosted.engine_loads import EngineLoads
from oleanderdyke.agent.hosted.news import AgentNews
from oleanderdyke.clock import SECOND, Clock, Millis, make_clock
from oleanderdyke.dependencies import Dependency
from oleanderdyke.events import EventName
from oleanderdyke.logs import EventLog
from oleanderdyke.metrics import Count, Gauge, Metrics
from oleanderdyke.platform.documents import MalformedRecord, NamedVersion
from oleanderdyke.platform.engines import EngineUnavailable
from oleanderdyke.platform.feed import OperatorFeed
from oleanderdyke.platform.loads import LoadFeed
from oleanderdyke.platform.settings import HostSettings
from oleanderdyke.platform.store import StoreClient, StoreUnavailable
from oleanderdyke.scrape import METRICS_PORT, MetricsServer

# A long read returns at once when weights are named. What is known of their age
# is off by up to this, and so much less time is left for all to load: more load
# at once for it. Each agent waits for another part of it: those that start
# together would all know equally old news, and the best of them counts for all.
_OPERATOR_WAIT: Millis = 2 * SECOND
_LEAST_WAIT_SHARE = 0.5
# Notices of loads come only when weights are named.
_LOADS_WAIT: Millis = 5 * SECOND
# An entry that reads the same answers with the first news, or after this.
_SHARED_LOADS_WAIT: Millis = 3 * SECOND
# What it knows may be as old as its own reads take, and some more for the way.
_CONFIGURATION_LIMIT: Millis = 1.25 * SECOND
_LOADS_LIMIT: Millis = 11 * SECOND
# Notices come several together: those of so long are read in one call.
_LOADS_HOLD: Millis = 40.0
_RETRY_PAUSE: Millis = 250.0
# How often the engine on this machine is looked at while weights are due,
# which costs nothing but a little processor time.
_ROLLOUT_PERIOD: Millis = 100.0
# All agents together ask a store that refuses far less often than it allows.
_LONGEST_PAUSE: Millis = 1 * SECOND
# An engine may come back on older weights than it held. Entries send it nothing
# then, so that this bounds for how long it is missed; a look is one call within
# the machine.
_SETTLED_PERIOD: Millis = 5 * SECOND
# An agent that wakes up so much later than it meant to was suspended, or its
# machine is too busy to look after an engine.
_STALL: Millis = 1 * SECOND
_STOPPING = (signal.SIGTERM, signal.SIGINT)


class HostedAgent:
    """Follow what operators name, and bring the one engine beside to it."""

    def __init__(
        self,
        settings: HostSettings,
        log: EventLog,
        clock: Clock,
        metrics_port: int = METRICS_PORT,
    ) -> None:
        self._settings = settings
        self._log = log
        self._clock = clock
        self._metrics = Metrics()
        self._metrics_port = metrics_port
        self._engine = EngineLoads(settings, log, clock, self._metrics)
        self._beside = Dependency(
            log,
            self._metrics,
            clock,
            lost=EventName.BACKEND_LOST,
            regained=EventName.BACKEND_UP,
            label='engine',
            address=settings.server,
        )
        self._queue = self._make_store_dependency('queue')
        self._news = AgentNews(settings, log, clock, self._metrics)
        self._loads_client = StoreClient(
            settings.store,
            _LOADS_WAIT,
            self._news.share(wait=_SHARED_LOADS_WAIT, limit=_LOADS_LIMIT),
        )
        self._loads = LoadFeed(self._loads_client, self._refuse)
        self._operator = OperatorFeed(
            StoreClient(
                settings.store,
                _draw_wait(settings.process),
                self._news.share(
                    wait=_OPERATOR_WAIT, limit=_CONFIGURATION_LIMIT
                ),
            ),
            self._refuse,
        )

    async def run(self) -> None:
        """Work until a signal to stop."""
        self._log.write(
            EventName.PROCESS_STARTED, address=self._settings.server
        )
        with anyio.open_signal_receiver(*_STOPPING, signal.SIGHUP) as signals:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._news.run, Random())
                tasks.start_soon(self._follow_operator)
                tasks.start_soon(self._follow_loads)
                tasks.start_soon(self._roll_out)
                tasks.start_soon(self._serve_metrics)
                await self._wait_stop(signals)
                tasks.cancel_scope.cancel()
        self._log.write(EventName.PROCESS_STOPPED)

    async def _wait_stop(self, signals: AsyncIterator[signal.Signals]) -> None:
        async for number in signals:
            name = signal.Signals(number).name
            if number in _STOPPING:
                self._log.write(EventName.PROCESS_STOPPING, signal=name)
                return
            # Nothing that an agent is told can change while it runs.
            self._log.write(EventName.SETTINGS_RELOADED, signal=name)

    async def _serve_metrics(self) -> None:
        """Go on without metrics where their port can't be had."""
        server = MetricsServer(self._metrics, self._refresh)
        try:
            await server.serve(self._settings.ip, self._metrics_port)
        except OSError as error:
            self._log.write(
                EventName.RECORD_REFUSED,
                name='metrics',
                detail=f'port {self._metrics_port}: {error}',
            )

    def _refresh(self) -> None:
        self._metrics.set_gauge(Gauge.READY, float(self._engine.has_begun))
        self._metrics.set_count(Count.LINES_DROPPED, self._log.count_dropped())

    async def _follow_operator(self) -> None:
        await self._follow('operator', self._read_operator)

    async def _follow_loads(self) -> None:
        """Read notices of loads, which come only when weights are named."""
        await self._follow('loads', self._read_loads)

    async def _follow(
        self, name: str, read: Callable[[], Awaitable[None]]
    ) -> None:
        store = self._make_store_dependency(name)
        while True:
            try:
                await read()
            except StoreUnavailable as error:
                store.record_failure(error.message)
                await anyio.sleep(_RETRY_PAUSE / SECOND)
            else:
                store.record_success()

    def _make_store_dependency(self, name: str) -> Dependency:
        return Dependency(
            self._log,
            self._metrics,
            self._clock,
            lost=EventName.LOG_DOWN,
            regained=EventName.LOG_UP,
            label=name,
            name=name,
        )

    async def _read_operator(self) -> None:
        asked_at = self._clock.now()
        news = await self._operator.read()
        if news is None:
            return
        for named in news.list_versions():
            self._name(named)
        if news.is_complete:
            self._engine.weights.record_read(asked_at + news.waited)

    def _name(self, named: NamedVersion) -> None:
        if self._engine.weights.add(named.model, named.version):
            self._log.write(
                EventName.VERSION_NAMED,
                model=named.model,
                version=named.version,
            )

    async def _read_loads(self) -> None:
        if not self._engine.has_begun:
            await self._engine.begin()
        notices = await self._loads.read()
        if notices is None:
            self._engine.forget_notices()
            return
        for notice in notices:
            self._engine.take(notice)
        if notices and not self._loads_client.was_shared:
            await anyio.sleep(_LOADS_HOLD / SECOND)

    async def _roll_out(self) -> None:
        """Look at the engine, rarely while no weights are due."""
        pause, looked_at = _ROLLOUT_PERIOD, -math.inf
        while True:
            now = self._clock.now()
            is_due = now - looked_at > _SETTLED_PERIOD
            if is_due or not self._engine.is_settled():
                looked_at = now
                pause = await self._step(pause)
            await self._sleep(pause)

    async def _sleep(self, pause: Millis) -> None:
        due = self._clock.now() + pause
        await anyio.sleep(pause / SECOND)
        late = self._clock.now() - due
        if late > _STALL:
            self._log.write(EventName.PROCESS_STALLED, duration=round(late))

    async def _step(self, pause: Millis) -> Millis:
        """Take a step; return the pause after it, longer without a store."""
        try:
            await self._engine.step()
        except StoreUnavailable as error:
            self._queue.record_failure(error.message)
            return min(max(2 * pause, _RETRY_PAUSE), _LONGEST_PAUSE)
        except EngineUnavailable as error:
            self._beside.record_failure(error.message)
        else:
            self._queue.record_success()
            self._beside.record_success()
        return _ROLLOUT_PERIOD

    def _refuse(self, name: str, error: MalformedRecord) -> None:
        """Keep the last good state where a record can't be read."""
        self._log.write(
            EventName.RECORD_REFUSED, name=name, detail=error.message
        )


def _draw_wait(process: str) -> Millis:
    """Return how long an agent's reads of the operators' records wait."""
    return _OPERATOR_WAIT * Random(process).uniform(_LEAST_WAIT_SHARE, 1.0)


async def run_hosted_agent(settings: HostSettings, log: EventLog) -> None:
    """Run an agent on the users' platform until it is told to stop."""
    await HostedAgent(settings, log, make_clock()).run()
