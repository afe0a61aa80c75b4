"""Loading of newly published weights into one model engine."""

from __future__ import annotations

import math
from dataclasses import replace

import anyio

from oleanderdyke.agent.hosted.load_times import LoadTimes
from oleanderdyke.clock import SECOND, Clock, EngineClock, Millis
from oleanderdyke.events import EventName
from oleanderdyke.kernel.load_queue import LoadNotice, LoadStep
from oleanderdyke.kernel.rollout import (
    EngineState,
    Rollout,
    Target,
    find_target,
)
from oleanderdyke.kernel.servers import ServerStart
from oleanderdyke.kernel.weight_versions import FIRST_TOKEN_MARGIN
from oleanderdyke.logs import EventLog
from oleanderdyke.metrics import Metrics
from oleanderdyke.platform.documents import MalformedRecord
from oleanderdyke.platform.engines import (
    EngineClient,
    EngineUnavailable,
    OrderOutcome,
    WeightOrder,
)
from oleanderdyke.platform.feed import list_servers
from oleanderdyke.platform.loads import append_fence, append_notice
from oleanderdyke.platform.settings import HostSettings
from oleanderdyke.platform.store import StoreClient

_READ_BACK_INTERVAL: Millis = 20.0
# A long poll usually returns a few milliseconds after an append.
_READ_BACK_TIMEOUT: Millis = 2 * SECOND
# Outcomes after which an order to raise the fencing token is not repeated: the
# engine has seen the token, or refuses the order for weights that it holds and
# would refuse it again.
_FENCE_REACHED = frozenset(
    {OrderOutcome.HOLDS, OrderOutcome.ACCEPTED, OrderOutcome.REFUSED}
)
# A new start of an engine is listed one or two seconds after it began.
_LIST_INTERVAL: Millis = 300.0


class EngineLoader:
    """Queue for a turn to load weights, then order the engine to load them.

    Only this process sends orders to its engine. Its fencing token is the
    offset of a record in a topic, so every later process, on this machine or
    another, has a higher one. `has_started` becomes true once the first notice
    of this process has been read back.
    """

    def __init__(
        self,
        settings: HostSettings,
        log: EventLog,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._rollout = Rollout(settings.version_limit)
        self.weights = self._rollout.weights
        self.has_started = False
        self._settings = settings
        self._log = log
        self._clock = clock
        self._load_times = LoadTimes(metrics, clock)
        self._store = StoreClient(settings.store)
        self._engine = EngineClient(settings.server)
        self._engine_clock = EngineClock()
        self._queue = self._rollout.queue
        self._loaded_versions: dict[str, int] = {}
        self._fence: int | None = None
        self._own_start: ServerStart | None = None
        self._ended_starts: set[ServerStart] = set()
        # The last state that the current start of the engine reported.
        self._state: EngineState | None = None
        self._last_listed_at = -math.inf
        self._logged_loading = ''
        # The name of the engine to which an order got no response.
        self._unanswered = ''
        self._needs_fence = False

    def apply(self, notice: LoadNotice) -> None:
        """Apply the next notice of the topic of loads."""
        own = notice.agent == self._settings.process
        if own and notice.step is LoadStep.STARTED:
            self.has_started = True
        self._rollout.apply(
            notice,
            now=self._clock.now(),
            clock_offset=self._engine_clock.max_offset,
        )

    def clear_queue(self) -> None:
        """Clear the queue after the records of the topic were dropped.

        The next step requests a place in it again.
        """
        self._queue.clear()

    async def announce_start(self) -> None:
        """Append the notice that this process has started.

        It gives up the place in the queue of an earlier process of this name,
        and creates the topic if there is none. Once it has been read back, all
        earlier notices are known. Raises StoreUnavailable.
        """
        await append_notice(self._store, self._make_notice(LoadStep.STARTED))

    def is_settled(self) -> bool:
        """Return whether the engine holds the newest version of each model.

        False while this process has a place in the queue: a request for one
        whose response was lost may take effect after the load has ended, and
        the place must then be given up again.
        """
        if self._needs_fence or self._queue.is_queued(self._settings.process):
            return False
        return self._loaded_versions == self.weights.list_newest()

    async def close(self) -> None:
        """Close the connections to the platform's store."""
        await self._store.close()

    async def step(self) -> None:
        """Read the state of the engine and take the next step of a load.

        Raises StoreUnavailable or EngineUnavailable.
        """
        if not self.has_started:
            return
        try:
            state = await self._read_state()
        except EngineUnavailable:
            await self._on_engine_lost()
            raise
        if self._is_outdated(state):
            return
        await self._check_restart(state)
        if not state.is_busy:
            await self._update_weights(state)

    async def _update_weights(self, state: EngineState) -> None:
        """Take the next step of an idle engine to the newest weights."""
        self._record_weights(state)
        if self._needs_fence:
            await self._raise_fence(state)
        newest = self.weights.list_newest()
        targets = [Target(*each) for each in newest.items()]
        target = find_target(state, targets)
        if target is None:
            await self._finish_rollout(state, newest)
        else:
            await self._load(state, target)

    def _record_weights(self, state: EngineState) -> None:
        for model, version in state.versions.items():
            self._load_times.record_held(model, version)
        for model, version in self.weights.list_newest().items():
            self._load_times.record_named(model, version)

    async def _read_state(self) -> EngineState:
        asked_at = self._clock.now()
        state = await self._engine.read_state()
        self._engine_clock.update(
            state.clock, asked_at=asked_at, now=self._clock.now()
        )
        return state

    def _is_outdated(self, state: EngineState) -> bool:
        """Return whether a state is from before a restart already seen."""
        return self._state is not None and state.is_from_earlier_start(
            self._state
        )

    async def _check_restart(self, state: EngineState) -> None:
        """Discard the state of the earlier engine process after a restart.

        The new process may have the same name but hold other weights, so all
        versions are checked again and a place in the queue is requested anew.
        """
        if self._state is not None and state.has_restarted_since(self._state):
            await self._on_engine_lost()
            self._load_times.record_lost()
            self._loaded_versions.clear()
            self._logged_loading = ''
            if self._unanswered:
                self._needs_fence, self._fence = True, None
        self._state = state

    async def _raise_fence(self, state: EngineState) -> None:
        """Make a restarted engine of the same name refuse earlier orders.

        An order whose response was lost may arrive seconds later. The new
        process has neither counted orders nor seen a fencing token, so it would
        load the older weights, and then need another load. An order for the
        weights that it holds changes nothing, but gives an engine that checks
        fencing tokens one above those of all earlier orders.
        """
        own = await self._find_own_start(state)
        if own is None:
            return
        if own.server != self._unanswered:
            # Earlier orders name another start of the engine and are refused.
            self._needs_fence, self._unanswered = False, ''
            return
        model, held = next(iter(state.versions.items()))
        outcome = await self._order(own, Target(model, held), state)
        self._needs_fence = outcome not in _FENCE_REACHED

    async def _on_engine_lost(self) -> None:
        """Mark the place in the queue as lost, so that others need not wait.

        If the store does not respond, the next step appends the notice.
        """
        process = self._settings.process
        if self._queue.is_queued(process) and not self._queue.is_lost(process):
            await self._append_confirmed(self._make_own_notice(LoadStep.LOST))
        self._own_start = None

    async def _finish_rollout(
        self, state: EngineState, newest: dict[str, int]
    ) -> None:
        """Give up the place in the queue once all weights are loaded."""
        if self._queue.is_queued(self._settings.process):
            await self._append_confirmed(self._make_ended_notice(state))
        # The engine may restart unnoticed before the next load, so look up its
        # start again then.
        self._own_start = None
        self._load_times.record_settled()
        for model, version in newest.items():
            if self._loaded_versions.get(model) != version:
                self._loaded_versions[model] = version
                self._log.write(
                    EventName.ORDER_DONE, model=model, version=version
                )

    async def _load(self, state: EngineState, target: Target) -> None:
        self._load_times.record_due(target.model)
        own = await self._find_own_start(state)
        if own is None:
            return
        held = state.versions[target.model]
        request = self._make_request(own.server, target.model, held)
        if not self._queue.is_pending(request):
            await self._append_confirmed(request)
            return
        if not self._may_load(own.server, target, held):
            return
        await self._order(own, target, state)

    def _may_load(self, own: str, target: Target, held: int) -> bool:
        """Return whether the engine may load now; log which ones it waits for.

        An engine whose weights are too old to serve does not wait for its turn:
        it gets no requests, so its load takes no capacity away, though it may
        slow down other loads.
        """
        now = self._clock.now()
        clock_offset = self._engine_clock.max_offset
        for server in self._rollout.tick(now=now, clock_offset=clock_offset):
            self._log.write(EventName.LOAD_PASSED_OVER, peer=server)
        if self._queue.may_load(self._settings.process, now):
            return True
        may_serve = self.weights.may_serve(
            target.model,
            held,
            within=self._settings.version_limit - FIRST_TOKEN_MARGIN,
            now=now,
            clock_offset=clock_offset,
        )
        if may_serve:
            self._log_queued(own, target, now)
        return not may_serve

    def _log_queued(self, own: str, target: Target, now: Millis) -> None:
        """Log which engines this one waits for, each time that changes."""
        loading = ','.join(self._queue.list_loading(now))
        if self._logged_loading == loading:
            return
        self._logged_loading = loading
        self._log.write(
            EventName.LOAD_QUEUED,
            peer=own,
            model=target.model,
            version=target.version,
            detail=f'behind {loading}',
        )

    async def _order(
        self, own: ServerStart, target: Target, state: EngineState
    ) -> OrderOutcome:
        order = WeightOrder(
            server=own.server,
            model=target.model,
            version=target.version,
            holder=self._settings.process,
            fence=await self._get_fence(),
            after=state.orders,
        )
        given_at = self._clock.now()
        outcome = await self._engine.give_order(order)
        self._load_times.record_order(order.model, outcome, given_at)
        self._log.write(
            EventName.ORDER_SENT,
            peer=order.server,
            model=order.model,
            version=order.version,
            offset=order.fence,
            reason=outcome.value,
        )
        if outcome is OrderOutcome.UNKNOWN:
            self._unanswered = order.server
        if outcome is OrderOutcome.OLD_FENCE:
            self._fence = None
        if outcome is OrderOutcome.OTHER_SERVER:
            self._ended_starts.add(own)
            self._own_start = None
        return outcome

    def _make_request(self, own: str, model: str, held: int) -> LoadNotice:
        """Build the request for a place in the queue.

        It tells others when the weights that the engine holds were replaced.
        """
        replaced = self.weights.find_replaced_at(
            model, held, self._clock.now(), self._engine_clock.max_offset
        )
        newest_at = None
        if replaced is not None and not math.isinf(replaced):
            newest_at = self._engine_clock.convert(replaced)
        return LoadNotice(
            own,
            LoadStep.WAITS,
            agent=self._settings.process,
            model=model,
            held=held,
            newest_at=newest_at,
        )

    def _make_ended_notice(self, state: EngineState) -> LoadNotice:
        """Build the notice that a load has ended.

        It names the loaded version, so that entries use the engine at once.
        """
        model = self._queue.find_model(self._settings.process)
        return replace(
            self._make_own_notice(LoadStep.ENDED),
            model=model,
            held=state.versions.get(model, 0),
        )

    def _make_own_notice(self, step: LoadStep) -> LoadNotice:
        return self._make_notice(
            step, self._own_start.server if self._own_start else ''
        )

    def _make_notice(self, step: LoadStep, server: str = '') -> LoadNotice:
        return LoadNotice(server, step, agent=self._settings.process)

    async def _append_confirmed(self, notice: LoadNotice) -> None:
        """Append a notice and wait until it has been read back.

        Gives up after a time: if the records of the topic were dropped
        meanwhile, the next step appends the notice again.
        """
        await append_notice(self._store, notice)
        with anyio.move_on_after(_READ_BACK_TIMEOUT / SECOND):
            while not self._is_applied(notice):
                await anyio.sleep(_READ_BACK_INTERVAL / SECOND)

    def _is_applied(self, notice: LoadNotice) -> bool:
        process = self._settings.process
        if notice.step is LoadStep.WAITS:
            return self._queue.is_pending(notice)
        if notice.step is LoadStep.LOST:
            return self._queue.is_lost(process)
        return not self._queue.is_queued(process)

    async def _find_own_start(self, state: EngineState) -> ServerStart | None:
        """Return the start of the engine that reported a state.

        None if it is not listed yet. The earlier start may still be listed for
        some seconds. If the engine does not report when it started, the later
        record is that of the current start, unless the response to an order
        has shown that this one has ended.
        """
        now = self._clock.now()
        if self._own_start or now - self._last_listed_at < _LIST_INTERVAL:
            return self._own_start
        self._last_listed_at = now
        for record in await list_servers(self._store, self._log_refused_record):
            is_own = record.address == self._settings.server
            is_present = state.born in {None, record.born}
            if is_own and is_present and record.start not in self._ended_starts:
                self._own_start = record.start
        return self._own_start

    def _log_refused_record(self, name: str, error: MalformedRecord) -> None:
        self._log.write(
            EventName.RECORD_REFUSED, name=name, detail=error.message
        )

    async def _get_fence(self) -> int:
        """Return the fencing token, appending a record for it if needed.

        Offsets only increase, so a later token is always higher.
        """
        if self._fence is None:
            self._fence = await append_fence(
                self._store, self._settings.process
            )
        return self._fence
