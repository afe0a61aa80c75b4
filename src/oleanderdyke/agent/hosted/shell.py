"""The main object of an agent in hosted mode."""

from __future__ import annotations

import math
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from functools import partial
from random import Random

import anyio

from oleanderdyke.agent.hosted.engine_loader import EngineLoader
from oleanderdyke.agent.hosted.news import AgentNews
from oleanderdyke.background import BackgroundTasks
from oleanderdyke.clients.keep_alive import closing
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

# A long poll returns at once when a version is published. The known age of a
# version is wrong by up to this wait, which shortens the time left for all to
# load, so that more engines load at once. Each agent waits for a different
# fraction of it: agents that start together would otherwise all be equally
# wrong, while the most precise time of any agent counts for all.
_OPERATOR_WAIT: Millis = 2 * SECOND
_MIN_WAIT_FRACTION = 0.5
# Notices of loads appear only after a new version was published.
_LOADS_WAIT: Millis = 5 * SECOND
# An entry that reads the same topic answers on its first change or after this.
_SHARED_LOADS_WAIT: Millis = 3 * SECOND
# The state of an entry may be as old as its own reads take, plus the transfer.
_CONFIGURATION_LIMIT: Millis = 1.25 * SECOND
_LOADS_LIMIT: Millis = 11 * SECOND
# Notices arrive in bursts: wait this long to read several in one call.
_BATCH_WAIT: Millis = 40.0
_RETRY_PAUSE: Millis = 250.0
# The interval between checks of the engine on this machine during a load, each
# of which costs only a little processor time.
_ROLLOUT_INTERVAL: Millis = 100.0
# With this pause all agents together stay far below the rate limit of a store
# that refuses calls.
_MAX_RETRY_PAUSE: Millis = 1 * SECOND
# An engine may restart with older weights than it held. Entries then send it no
# requests, so this interval bounds how long it is unused; a check is one call
# within the machine.
_SETTLED_INTERVAL: Millis = 5 * SECOND
# An agent that wakes up this much later than planned was suspended, or its
# machine is overloaded.
_STALL_THRESHOLD: Millis = 1 * SECOND
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class HostedAgent:
    """Keep the engine on this machine at the newest published weights."""

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
        self._background = BackgroundTasks(log, self._metrics, clock, Random())
        self._engine_loader = EngineLoader(settings, log, clock, self._metrics)
        self._engine_dependency = Dependency(
            log,
            self._metrics,
            clock,
            lost=EventName.BACKEND_LOST,
            regained=EventName.BACKEND_UP,
            label='engine',
            address=settings.server,
        )
        self._queue_dependency = self._make_store_dependency('queue')
        self._news = AgentNews(settings, log, clock, self._metrics)
        self._loads_client = StoreClient(
            settings.store,
            _LOADS_WAIT,
            self._news.share(wait=_SHARED_LOADS_WAIT, limit=_LOADS_LIMIT),
        )
        self._loads = LoadFeed(self._loads_client, self._log_refused_record)
        self._operator_client = StoreClient(
            settings.store,
            _draw_wait(settings.process),
            self._news.share(wait=_OPERATOR_WAIT, limit=_CONFIGURATION_LIMIT),
        )
        self._operator = OperatorFeed(
            self._operator_client, self._log_refused_record
        )

    async def run(self) -> None:
        """Run all tasks until a stop signal arrives."""
        self._log.write(
            EventName.PROCESS_STARTED, address=self._settings.server
        )
        with anyio.open_signal_receiver(
            *_STOP_SIGNALS, signal.SIGHUP
        ) as signals:
            async with anyio.create_task_group() as tasks:
                for name, work in self._list_background():
                    tasks.start_soon(self._background.run, name, work)
                await self._wait_stop(signals)
                tasks.cancel_scope.cancel()
        self._log.write(EventName.PROCESS_STOPPED)

    def _list_background(
        self,
    ) -> Iterator[tuple[str, Callable[[], Awaitable[None]]]]:
        """Yield the name and the work of each task that calls peers."""
        yield 'links', partial(self._news.run, Random())
        yield 'operator', self._follow_operator
        yield 'loads', self._follow_loads
        yield 'rollout', self._run_rollout
        yield 'metrics', self._serve_metrics

    async def _wait_stop(self, signals: AsyncIterator[signal.Signals]) -> None:
        async for number in signals:
            name = signal.Signals(number).name
            if number in _STOP_SIGNALS:
                self._log.write(EventName.PROCESS_STOPPING, signal=name)
                return
            # The settings of an agent do not change while it runs.
            self._log.write(EventName.SETTINGS_RELOADED, signal=name)

    async def _serve_metrics(self) -> None:
        """Serve metrics; log an error and continue if the port is in use."""
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
        self._metrics.set_gauge(
            Gauge.READY, float(self._engine_loader.has_started)
        )
        self._metrics.set_count(Count.LINES_DROPPED, self._log.count_dropped())

    async def _follow_operator(self) -> None:
        async with closing(self._operator_client):
            await self._follow('operator', self._read_operator)

    async def _follow_loads(self) -> None:
        """Read notices of loads, which appear only after new weights."""
        async with closing(self._loads_client):
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
            self._add_named_version(named)
        if news.is_complete:
            self._engine_loader.weights.record_read(asked_at + news.waited)

    def _add_named_version(self, named: NamedVersion) -> None:
        if self._engine_loader.weights.add(named.model, named.version):
            self._log.write(
                EventName.VERSION_NAMED,
                model=named.model,
                version=named.version,
            )

    async def _read_loads(self) -> None:
        if not self._engine_loader.has_started:
            await self._engine_loader.announce_start()
        notices = await self._loads.read()
        if notices is None:
            self._engine_loader.clear_queue()
            return
        for notice in notices:
            self._engine_loader.apply(notice)
        if notices and not self._loads_client.was_shared:
            await anyio.sleep(_BATCH_WAIT / SECOND)

    async def _run_rollout(self) -> None:
        """Take steps of loads; check a settled engine only rarely."""
        async with closing(self._engine_loader):
            await self._repeat_steps()

    async def _repeat_steps(self) -> None:
        pause, checked_at = _ROLLOUT_INTERVAL, -math.inf
        while True:
            now = self._clock.now()
            is_due = now - checked_at > _SETTLED_INTERVAL
            if is_due or not self._engine_loader.is_settled():
                checked_at = now
                pause = await self._step(pause)
            await self._sleep_checked(pause)

    async def _sleep_checked(self, pause: Millis) -> None:
        due = self._clock.now() + pause
        await anyio.sleep(pause / SECOND)
        late = self._clock.now() - due
        if late > _STALL_THRESHOLD:
            self._log.write(EventName.PROCESS_STALLED, duration=round(late))

    async def _step(self, pause: Millis) -> Millis:
        """Take a step and return the pause before the next one.

        The pause grows while the store is unavailable.
        """
        try:
            await self._engine_loader.step()
        except StoreUnavailable as error:
            self._queue_dependency.record_failure(error.message)
            return min(max(2 * pause, _RETRY_PAUSE), _MAX_RETRY_PAUSE)
        except EngineUnavailable as error:
            self._engine_dependency.record_failure(error.message)
        else:
            self._queue_dependency.record_success()
            self._engine_dependency.record_success()
        return _ROLLOUT_INTERVAL

    def _log_refused_record(self, name: str, error: MalformedRecord) -> None:
        """Log a record that can not be read; the last valid state stays."""
        self._log.write(
            EventName.RECORD_REFUSED, name=name, detail=error.message
        )


def _draw_wait(process: str) -> Millis:
    """Return the wait of an agent's reads of operators' records."""
    return _OPERATOR_WAIT * Random(process).uniform(_MIN_WAIT_FRACTION, 1.0)


async def run_hosted_agent(settings: HostSettings, log: EventLog) -> None:
    """Run an agent in hosted mode until a stop signal arrives."""
    await HostedAgent(settings, log, make_clock()).run()
