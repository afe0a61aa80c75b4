"""Run the tasks of an agent on the users' platform."""

from __future__ import annotations

import math
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from random import Random

import anyio

from oleanderdyke.agent.hosted.engine_loads import EngineLoads
from oleanderdyke.clock import SECOND, Clock, Millis, make_clock
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.logs import EventLog
from oleanderdyke.platform.documents import MalformedRecord, NamedVersion
from oleanderdyke.platform.engines import EngineUnavailable
from oleanderdyke.platform.feed import OperatorFeed
from oleanderdyke.platform.loads import LoadFeed
from oleanderdyke.platform.settings import HostSettings
from oleanderdyke.platform.store import StoreClient, StoreUnavailable

# A long read returns at once when weights are named. What is known of their age
# is off by up to this, and so much less time is left for all to load: with 5 s
# three of six engines loaded at once where two would have done. Each agent
# waits for another part of it: those that start together would all know equally
# old news, and the best of them counts for all.
_OPERATOR_WAIT: Millis = 2 * SECOND
_LEAST_SHARE = 0.5
# Notices of loads come only when weights are named.
_LOADS_WAIT: Millis = 5 * SECOND
_RETRY_PAUSE: Millis = 250.0
# How often the engine on this machine is looked at while weights are due,
# which costs nothing but a little processor time.
_ROLLOUT_PERIOD: Millis = 100.0
# Of 57 agents each asks a store that refuses once a second, an eighth of the
# calls that it allows.
_LONGEST_PAUSE: Millis = 1 * SECOND
# An engine may come back on older weights than it held. Entries send it nothing
# then, so that this bounds for how long it is missed; a look is one call within
# the machine.
_SETTLED_PERIOD: Millis = 5 * SECOND
_STOPPING = (signal.SIGTERM, signal.SIGINT)


class HostedAgent:
    """Follow what operators name, and bring the one engine beside to it."""

    def __init__(
        self,
        settings: HostSettings,
        log: EventLog,
        clock: Clock,
        random: Random,
    ) -> None:
        self._settings = settings
        self._log = log
        self._clock = clock
        self._engine = EngineLoads(settings, log, clock)
        share = random.uniform(_LEAST_SHARE, 1.0)
        self._loads = LoadFeed(
            StoreClient(settings.store, wait=_LOADS_WAIT), self._refuse
        )
        self._operator = OperatorFeed(
            StoreClient(settings.store, wait=_OPERATOR_WAIT * share),
            self._refuse,
        )

    async def run(self) -> None:
        """Work until a signal to stop."""
        self._log.write(
            EventName.PROCESS_STARTED, address=self._settings.server
        )
        with anyio.open_signal_receiver(*_STOPPING, signal.SIGHUP) as signals:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._follow_operator)
                tasks.start_soon(self._follow_loads)
                tasks.start_soon(self._roll_out)
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

    async def _follow_operator(self) -> None:
        while True:
            await self._try_store('operator', self._read_operator)

    async def _follow_loads(self) -> None:
        """Read notices of loads, which come only when weights are named."""
        while True:
            await self._try_store('loads', self._read_loads)

    async def _try_store(
        self, name: str, call: Callable[[], Awaitable[None]]
    ) -> None:
        try:
            await call()
        except StoreUnavailable as error:
            self._log.write(EventName.LOG_DOWN, name=name, detail=error.message)
            await anyio.sleep(_RETRY_PAUSE / SECOND)

    async def _read_operator(self) -> None:
        asked_at = self._clock.now()
        news = await self._operator.read()
        if news is None:
            return
        for named in news.list_versions():
            self._name(named)
        if news.is_complete:
            self._engine.weights.note_read(asked_at + news.waited)

    def _name(self, named: NamedVersion) -> None:
        if self._engine.weights.name(named.model, named.version):
            self._log.write(
                EventName.VERSION_NAMED,
                model=named.model,
                version=named.version,
            )

    async def _read_loads(self) -> None:
        if not self._engine.has_begun:
            await self._engine.begin()
        for notice in await self._loads.read():
            self._engine.take(notice)

    async def _roll_out(self) -> None:
        """Look at the engine, rarely while no weights are due."""
        pause, looked_at = _ROLLOUT_PERIOD, -math.inf
        while True:
            now = self._clock.now()
            is_due = now - looked_at > _SETTLED_PERIOD
            if is_due or not self._engine.is_settled():
                looked_at = now
                pause = await self._step(pause)
            await anyio.sleep(pause / SECOND)

    async def _step(self, pause: Millis) -> Millis:
        """Take a step; return the pause after it, longer without a store."""
        try:
            await self._engine.step()
        except StoreUnavailable as error:
            self._log_fault(error)
            return min(max(2 * pause, _RETRY_PAUSE), _LONGEST_PAUSE)
        except EngineUnavailable as error:
            self._log_fault(error)
        return _ROLLOUT_PERIOD

    def _log_fault(self, error: OleanderError) -> None:
        self._log.write(
            EventName.ORDER_REFUSED,
            reason=error.kind.value,
            detail=error.message,
        )

    def _refuse(self, name: str, error: MalformedRecord) -> None:
        """Keep the last good state where a record can't be read."""
        self._log.write(
            EventName.RECORD_REFUSED, name=name, detail=error.message
        )


async def run_hosted_agent(settings: HostSettings, log: EventLog) -> None:
    """Run an agent on the users' platform until it is told to stop."""
    await HostedAgent(settings, log, make_clock(), Random()).run()
