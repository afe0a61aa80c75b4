"""Bring the model engine of this machine to the weights that are named."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio

from oleanderdyke.clock import SECOND, Clock, Millis, make_clock
from oleanderdyke.events import EventName
from oleanderdyke.kernel.rollout import (
    LoadNotice,
    LoadQueue,
    LoadStep,
    Target,
    find_target,
)
from oleanderdyke.logs import EventLog
from oleanderdyke.platform.documents import MalformedRecord
from oleanderdyke.platform.engines import (
    EngineClient,
    EngineUnavailable,
    OrderOutcome,
    WeightOrder,
)
from oleanderdyke.platform.feed import OperatorFeed, list_servers
from oleanderdyke.platform.loads import (
    LoadFeed,
    append_fence,
    append_notice,
)
from oleanderdyke.platform.settings import HostSettings
from oleanderdyke.platform.store import StoreClient, StoreUnavailable

# A long read returns at once when weights are named; one on a connection that
# has gone silent delays them by this, a fraction of the time they may take.
_OPERATOR_WAIT: Millis = 5 * SECOND
_RETRY_PAUSE: Millis = 250.0
# While weights are due: how often the engine on this machine is looked at,
# which costs nothing but a little processor time.
_ROLLOUT_PERIOD: Millis = 100.0
_IDLE_PERIOD: Millis = 100.0
_READ_BACK: Millis = 20.0
# A long read answers within some milliseconds of an append.
_READ_BACK_LIMIT: Millis = 2 * SECOND
_STOPPING = (signal.SIGTERM, signal.SIGINT)


class HostedAgent:
    """Give orders to the one engine beside this process.

    It is the only holder of orders for its engine. Its fence is an offset of
    a topic, so a later process on this machine or another has a higher one.
    """

    def __init__(
        self, settings: HostSettings, log: EventLog, clock: Clock
    ) -> None:
        self._settings = settings
        self._log = log
        self._clock = clock
        self._long = StoreClient(settings.store, wait=_OPERATOR_WAIT)
        self._short = StoreClient(settings.store)
        self._engine = EngineClient(settings.server)
        self._targets: dict[str, Target] = {}
        self._done: dict[str, int] = {}
        self._fence: int | None = None
        self._server = ''
        self._told_loading = ''
        self._queue = LoadQueue()
        self._loads = LoadFeed(
            StoreClient(settings.store, wait=_OPERATOR_WAIT),
            self._refuse,
        )
        self._operator = OperatorFeed(self._long, self._refuse)

    async def run(self) -> None:
        """Work until a signal to stop."""
        self._log.write(
            EventName.PROCESS_STARTED, address=self._settings.server
        )
        with anyio.open_signal_receiver(*_STOPPING, signal.SIGHUP) as signals:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._follow)
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

    async def _follow(self) -> None:
        while True:
            await self._try_store('operator', self._read_operator)

    async def _try_store(
        self, name: str, call: Callable[[], Awaitable[None]]
    ) -> None:
        try:
            await call()
        except StoreUnavailable as error:
            self._log.write(EventName.LOG_DOWN, name=name, detail=error.message)
            await anyio.sleep(_RETRY_PAUSE / SECOND)

    async def _read_operator(self) -> None:
        news = await self._operator.read()
        if news is None:
            return
        for named in news.list_versions():
            self._name(named.model, named.version)

    def _name(self, model: str, version: int) -> None:
        known = self._targets.get(model)
        if known is not None and known.version >= version:
            return
        self._targets[model] = Target(model, version)
        self._log.write(EventName.VERSION_NAMED, model=model, version=version)

    async def _roll_out(self) -> None:
        """Look at the engine only while weights are due."""
        while True:
            if self._is_settled():
                await anyio.sleep(_IDLE_PERIOD / SECOND)
                continue
            try:
                await self._step()
            except (StoreUnavailable, EngineUnavailable) as error:
                self._log.write(
                    EventName.ORDER_REFUSED,
                    reason=error.kind.value,
                    detail=error.message,
                )
            await anyio.sleep(_ROLLOUT_PERIOD / SECOND)

    def _is_settled(self) -> bool:
        return all(
            self._done.get(model) == target.version
            for model, target in self._targets.items()
        )

    async def _step(self) -> None:
        state = await self._engine.read_state()
        if state.is_busy:
            return
        target = find_target(state, self._targets.values())
        if target is None:
            await self._settle()
            return
        own = await self._find_own()
        if own is None:
            return
        if not self._queue.is_queued(own):
            await self._tell(own, LoadStep.WAITS)
            return
        if not self._may_load(own, target):
            return
        fence = await self._find_fence()
        order = WeightOrder(
            server=own,
            model=target.model,
            version=target.version,
            holder=self._settings.process,
            fence=fence,
            after=state.orders,
        )
        await self._order(order)

    def _may_load(self, own: str, target: Target) -> bool:
        """Tell whether it is this engine's turn, and log what it waits for."""
        for server in self._queue.tick(self._clock.now()):
            self._log.write(EventName.LOAD_PASSED_OVER, peer=server)
        if self._queue.may_load(own):
            return True
        self._log_queued(own, target)
        return False

    def _log_queued(self, own: str, target: Target) -> None:
        """Say whom this engine waits for, each time that changes."""
        loading = ','.join(self._queue.list_loading())
        if self._told_loading == loading:
            return
        self._told_loading = loading
        self._log.write(
            EventName.LOAD_QUEUED,
            peer=own,
            model=target.model,
            version=target.version,
            detail=f'behind {loading}',
        )

    async def _settle(self) -> None:
        """Let the next engine go once this one has what is named."""
        if self._server and self._queue.is_queued(self._server):
            await self._tell(self._server, LoadStep.ENDED)
        for model, target in self._targets.items():
            if self._done.get(model) != target.version:
                self._done[model] = target.version
                self._log.write(
                    EventName.ORDER_DONE, model=model, version=target.version
                )

    async def _order(self, order: WeightOrder) -> None:
        outcome = await self._engine.give_order(order)
        self._log.write(
            EventName.ORDER_SENT,
            peer=order.server,
            model=order.model,
            version=order.version,
            offset=order.fence,
            reason=outcome.value,
        )
        if outcome is OrderOutcome.OLD_FENCE:
            self._fence = None
        if outcome is OrderOutcome.OTHER_SERVER:
            self._server = ''

    async def _tell(self, server: str, step: LoadStep) -> None:
        """Append a notice, which counts once it is read back.

        One whose history was dropped meanwhile is told again at the next step.
        """
        await append_notice(self._short, LoadNotice(server, step))
        with anyio.move_on_after(_READ_BACK_LIMIT / SECOND):
            while self._queue.is_queued(server) is not (step is LoadStep.WAITS):
                await anyio.sleep(_READ_BACK / SECOND)

    async def _follow_loads(self) -> None:
        """Read notices of loads, which come only when weights are named."""
        while True:
            await self._try_store('loads', self._read_loads)

    def _refuse(self, name: str, error: MalformedRecord) -> None:
        """Keep the last good state where a record can't be read."""
        self._log.write(
            EventName.RECORD_REFUSED, name=name, detail=error.message
        )

    async def _read_loads(self) -> None:
        notices = await self._loads.read()
        for notice in notices:
            self._queue.apply(notice, self._clock.now())

    async def _find_own(self) -> str | None:
        """Return the present start of the engine, None if it isn't listed.

        The start before it may still be listed for some seconds; the later
        record is that of the present one.
        """
        if self._server:
            return self._server
        for server in await list_servers(self._short, self._refuse):
            if server.address == self._settings.server:
                self._server = server.server
        return self._server or None

    async def _find_fence(self) -> int:
        """Append once in this process's life; offsets only rise."""
        if self._fence is None:
            self._fence = await append_fence(
                self._short, self._settings.process
            )
        return self._fence


async def run_hosted_agent(settings: HostSettings, log: EventLog) -> None:
    """Run an agent on the users' platform until it is told to stop."""
    await HostedAgent(settings, log, make_clock()).run()
