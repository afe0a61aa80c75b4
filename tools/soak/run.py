"""Run one plan against real entries and check the promises."""

from __future__ import annotations

import functools
import json
import signal
import time
from collections.abc import (
    AsyncGenerator,
    Awaitable,
    Callable,
    Mapping,
    Sequence,
)
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import anyio

from oleanderdyke.clients.addresses import split_address
from tests.hosted import CONFIGURATION, OPERATOR
from tests.standins import server
from tools.soak.arrivals import Observations, RetryRule
from tools.soak.backend_process import make_body
from tools.soak.backends import Backends
from tools.soak.callers import Callers
from tools.soak.configuration import (
    SHORT_STREAMS,
    TIMEOUTS,
    Timeouts,
    make_configuration,
)
from tools.soak.crowd import run_crowd
from tools.soak.fleet import Fleet
from tools.soak.joins import Joins
from tools.soak.late_faults import LateFaults
from tools.soak.links import linking
from tools.soak.memories import Memories
from tools.soak.plan import Fault, FaultKind, Plan
from tools.soak.poison import (
    MODELS,
    REPEAT_RULE,
    PoisonRule,
    PoisonTraffic,
)
from tools.soak.servers import Behaviour, Servers
from tools.soak.service import Service
from tools.soak.store import SoakStore
from tools.soak.timeouts import TimeoutHistory

_POLL_SECONDS = 0.05
# Enough that servers are never full of streams.
_STREAM_SLOTS = 24
# Sound prompts come alone for so long.
_SOUND_SECONDS = 5.0

Report = Callable[[str], None]


@dataclass
class Soak:
    """One run: its plan, its processes and stand-ins, and what was seen."""

    plan: Plan
    store: SoakStore
    fleet: Fleet
    servers: Servers
    service: Service
    callers: Callers
    observations: Observations
    now: Callable[[], float]
    report: Report
    # Adds what was not observed while the run went on.
    collect: Callable[[], None] = lambda: None
    poison: PoisonTraffic | None = None
    memories: Memories | None = None
    joins: Joins | None = None
    _version: int = CONFIGURATION['version']
    _handlers: Mapping[FaultKind, Callable[[Fault], Awaitable[None]]] = field(
        init=False
    )

    def __post_init__(self) -> None:
        """Map each kind of fault to what causes it."""
        self._handlers = {
            FaultKind.KILL: self._kill,
            FaultKind.RESTART: self._restart,
            FaultKind.REPLACE: self._replace,
            FaultKind.FREEZE: self._freeze,
            FaultKind.RELOAD: self._reload,
            FaultKind.ADD: self._add,
            FaultKind.REMOVE: self._remove,
            FaultKind.SERVERS_REFUSE: self._make_server_fault(Behaviour.REFUSE),
            FaultKind.SERVERS_RESET: self._make_server_fault(Behaviour.RESET),
            FaultKind.SERVERS_FAIL: self._make_server_fault(Behaviour.FAIL),
            FaultKind.STORE_DOWN: self._stop_store,
            FaultKind.STORE_DEAF: self._deafen_store,
            FaultKind.STORE_FORGETS: self._forget,
            FaultKind.STORE_RESTORED: self._restore,
            FaultKind.HERD: self._send_herd,
            FaultKind.ROLL: self._roll,
            FaultKind.STOP_TWICE: self._stop_twice,
            FaultKind.CONFIGURE: self._configure,
            FaultKind.SERVERS_BREAK: self._make_server_fault(Behaviour.BREAK),
            FaultKind.SERVERS_SLOW: self._slow_servers,
            FaultKind.SERVER_SILENT: self._silence_server,
            FaultKind.SERVERS_REPLACED: self._replace_servers,
            FaultKind.SERVER_RESTARTED: self._restart_server,
            FaultKind.SERVER_RENAMED: self._rename_server,
            FaultKind.POISON: self._poison,
            FaultKind.SERVERS_REPEAT: self._make_server_fault(Behaviour.REPEAT),
            FaultKind.SERVERS_POUR: self._make_server_fault(Behaviour.POUR),
            FaultKind.SERVERS_SPOIL: self._make_server_fault(Behaviour.SPOIL),
            FaultKind.MEMORY_FALLS: self._let_memory_fall,
            FaultKind.MEMORY_PAUSED: self._pause_memory,
            FaultKind.JOINS_FROZEN: self._join_frozen,
            FaultKind.JOINS_CUT: self._join_cut,
            FaultKind.CROWD: self._send_crowd,
        }

    def add_handlers(
        self, handlers: Mapping[FaultKind, Callable[[Fault], Awaitable[None]]]
    ) -> None:
        """Cause some kinds of faults in other ways."""
        self._handlers = {**self._handlers, **handlers}

    async def run(self) -> list[str]:
        """Run the plan; return a line for each broken promise."""
        for _ in range(self.plan.entries):
            self.fleet.add()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.callers.run)
            for fault in self.plan.faults:
                tasks.start_soon(self._cause, fault)
            await anyio.sleep(self.plan.seconds)
            tasks.cancel_scope.cancel()
        self.collect()
        self.servers.record_stops()
        faults = self.observations.list_faults(RetryRule(slack=self.plan.slack))
        if self.poison is not None:
            rule = REPEAT_RULE if self.plan.repeaters else PoisonRule()
            faults += self.poison.list_faults(rule)
        return faults + [f'ENDED {each}' for each in self.fleet.list_ended()]

    async def _cause(self, fault: Fault) -> None:
        await anyio.sleep(fault.at - self.now())
        self.report(fault.describe())
        await self._handlers[fault.kind](fault)

    async def _kill(self, fault: Fault) -> None:
        for _ in range(fault.count):
            self.fleet.kill(fault.slot)
            self.fleet.start_again(fault.slot)
            await anyio.sleep(fault.duration)

    async def _restart(self, fault: Fault) -> None:
        """Stop an entry and start the next one after it has ended."""
        await self._stop(fault.slot)

    async def _stop_twice(self, fault: Fault) -> None:
        """Send a second SIGTERM while an entry drains."""
        await self._stop(fault.slot, again=(fault.duration,))

    async def _roll(self, fault: Fault) -> None:
        """Stop all entries close together, perhaps before others are back."""
        async with anyio.create_task_group() as tasks:
            for _ in range(fault.count):
                for slot in range(len(self.fleet.slots)):
                    tasks.start_soon(self._stop, slot)
                    await anyio.sleep(fault.duration)

    async def _stop(self, slot: int, again: Sequence[float] = ()) -> None:
        process = self.fleet.slots[slot]
        if process is None:
            return
        process.send(signal.SIGTERM)
        for pause in again:
            await anyio.sleep(pause)
            process.send(signal.SIGTERM)
        await process.wait_ended()
        if self.fleet.slots[slot] is process:
            self.fleet.start_again(slot)

    async def _replace(self, fault: Fault) -> None:
        """Start the next process of an entry while the last one drains."""
        async with anyio.create_task_group() as tasks:
            for _ in range(fault.count):
                process = self.fleet.slots[fault.slot]
                if process is not None:
                    process.send(signal.SIGTERM)
                    tasks.start_soon(process.wait_ended)
                self.fleet.start_again(fault.slot)
                await anyio.sleep(fault.duration)

    async def _freeze(self, fault: Fault) -> None:
        process = self.fleet.slots[fault.slot]
        if process is None:
            return
        await process.freeze(fault.duration)

    async def _reload(self, fault: Fault) -> None:
        self.fleet.signal(fault.slot, signal.SIGHUP)

    async def _add(self, _fault: Fault) -> None:
        self.fleet.add()

    async def _remove(self, _fault: Fault) -> None:
        """Remove the newest entry for good, but never the last one."""
        alive = self.fleet.list_alive()
        if len(alive) > 1:
            slot = self.fleet.slots.index(alive[-1])
            self.fleet.kill(slot)
            self.fleet.slots[slot] = None

    def _make_server_fault(
        self, behaviour: Behaviour
    ) -> Callable[[Fault], Awaitable[None]]:
        async def misbehave(fault: Fault) -> None:
            with self.servers.behaving(behaviour):
                await anyio.sleep(fault.duration)

        return misbehave

    async def _stop_store(self, fault: Fault) -> None:
        with self.store.refusing():
            await anyio.sleep(fault.duration)

    async def _deafen_store(self, fault: Fault) -> None:
        with self.store.refusing_appends():
            await anyio.sleep(fault.duration)

    async def _forget(self, _fault: Fault) -> None:
        self.store.forget_announcements()

    async def _restore(self, _fault: Fault) -> None:
        """Restore a backup; servers and operators write what it lacks."""
        self.store.restore()
        if self.plan.stream_share:
            self.service.publish_all()
            self._publish(self.callers.timeouts.newest)

    async def _send_herd(self, fault: Fault) -> None:
        await self.callers.send_herd(fault.count)

    async def _configure(self, fault: Fault) -> None:
        """Change timeouts, for connections that exist too."""
        while self.store.outages:
            await anyio.sleep(_POLL_SECONDS)
        self._publish(TIMEOUTS[fault.count])

    def _publish(self, timeouts: Timeouts) -> None:
        self._version += 1
        memories = () if self.memories is None else self.memories.addresses
        self.store.put(
            OPERATOR,
            'config',
            make_configuration(self._version, timeouts, memories),
        )
        self.callers.timeouts.record(timeouts, self.now())

    async def _slow_servers(self, fault: Fault) -> None:
        """Let every answer take several times as long."""
        self.servers.slowness.append(fault.count)
        await anyio.sleep(fault.duration)
        self.servers.slowness.remove(fault.count)

    async def _silence_server(self, fault: Fault) -> None:
        self.service.silence(fault.slot, fault.duration)

    async def _replace_servers(self, fault: Fault) -> None:
        await self.service.replace_oldest(fault.duration)

    async def _restart_server(self, fault: Fault) -> None:
        await self.service.restart(
            fault.slot, fault.duration, is_new_start=False
        )

    async def _poison(self, fault: Fault) -> None:
        if self.poison is None:
            return
        if self.plan.repeaters:
            await self.poison.run_repeats(
                self.plan.repeaters, _SOUND_SECONDS, fault.duration
            )
        else:
            await self.poison.run('bad', _SOUND_SECONDS, fault.duration)

    async def _let_memory_fall(self, fault: Fault) -> None:
        if self.memories is not None:
            await self.memories.fall(fault.slot, fault.duration)

    async def _pause_memory(self, fault: Fault) -> None:
        if self.memories is not None:
            await self.memories.pause(fault.slot, fault.duration)

    async def _join_frozen(self, fault: Fault) -> None:
        if self.joins is not None:
            await self.joins.freeze(fault)

    async def _join_cut(self, fault: Fault) -> None:
        if self.joins is not None:
            await self.joins.cut(fault)

    async def _send_crowd(self, fault: Fault) -> None:
        process = self.fleet.slots[fault.slot]
        if process is not None:
            await run_crowd(
                process.callers,
                count=fault.count,
                seconds=fault.duration,
                random=Random(f'{self.plan.seed} {fault.at}'),
            )

    async def _rename_server(self, fault: Fault) -> None:
        await self.service.restart(
            fault.slot, fault.duration, is_new_start=True
        )


async def run_soak(plan: Plan, directory: Path, report: Report) -> Soak:
    """Run a plan with logs in a directory; return the finished run."""
    async with _preparing(plan, directory, report) as soak:
        for fault in await soak.run():
            report(f'BROKEN {fault}')
    return soak


@asynccontextmanager
async def _preparing(
    plan: Plan, directory: Path, report: Report
) -> AsyncGenerator[Soak, None]:
    started = time.monotonic()

    def now() -> float:
        return time.monotonic() - started

    has_streams = plan.stream_share > 0
    store = SoakStore(now)
    observations = Observations(store_faults=store.spells)
    servers = Servers(observations, now, takes_time=has_streams)
    service = Service(servers, store, observations.history, now)
    async with AsyncExitStack() as stack:
        memories = await _start_memories(stack, plan, directory)
        first = SHORT_STREAMS if plan.has_joins else TIMEOUTS[0]
        _name_first_state(store, memories, first)
        (address,) = await stack.enter_async_context(server.serving(store))
        stack.callback(service.stop_all)
        late: LateFaults | None = None
        if plan.has_backends:
            late, address = await _start_backends(
                stack, plan, store, directory, started, address
            )
            observations.make_body = make_body
        else:
            await _start_servers(service, plan)
        store.back_up()
        fleet = Fleet(
            directory,
            address,
            plan.slack,
            plan.has_links,
            now,
            observations.lives,
            grace=plan.grace,
            is_first=plan.has_joins,
        )
        stack.callback(fleet.kill_all)
        timeouts = TimeoutHistory()
        timeouts.record(first, now())
        callers = Callers(
            fleet,
            observations,
            Random(plan.seed),
            now,
            plan.rate,
            timeouts,
            stream_share=plan.stream_share,
            stream_seconds=plan.stream_seconds,
            count=plan.callers,
        )
        soak = Soak(
            plan,
            store,
            fleet,
            servers,
            service,
            callers,
            observations,
            now,
            report,
        )
        soak.memories = memories
        if plan.has_joins:
            soak.joins = await _prepare_joins(stack, soak, address)
        if plan.has_prompts:
            soak.poison = PoisonTraffic(
                fleet, observations, service, Random(plan.seed), now
            )
            servers.poison = soak.poison.take
        if late is not None:
            soak.add_handlers(late.list_handlers())
            soak.collect = functools.partial(
                late.backends.collect, observations
            )
        yield soak


async def _start_memories(
    stack: AsyncExitStack, plan: Plan, directory: Path
) -> Memories:
    memories = Memories(directory)
    await stack.enter_async_context(memories.running(plan.memories))
    return memories


async def _prepare_joins(
    stack: AsyncExitStack, soak: Soak, store_address: str
) -> Joins:
    """Put a link between the first entry and the store."""
    _, port = split_address(store_address)
    link, address = await stack.enter_async_context(linking(port))
    soak.fleet.first_store = address
    return Joins(soak.service, soak.callers, link, soak.now)


def _name_first_state(
    store: SoakStore, memories: Memories, timeouts: Timeouts
) -> None:
    """Publish the first configuration, and weights if context is stored."""
    configuration = make_configuration(
        CONFIGURATION['version'], timeouts, memories.addresses
    )
    store.put(OPERATOR, 'config', configuration)
    if memories.addresses:
        (model,) = MODELS
        named = {'model': model['name'], 'version': model['version']}
        store.put(OPERATOR, f'version/{model["name"]}', named)


async def _start_backends(
    stack: AsyncExitStack,
    plan: Plan,
    store: SoakStore,
    directory: Path,
    started: float,
    store_address: str,
) -> tuple[LateFaults, str]:
    """Start server processes; return their faults and the store's address."""
    for path in directory.glob('i-*.out'):
        path.unlink()
    backends = Backends(store, directory, started, plan.lapses)
    await stack.enter_async_context(backends.running(plan.servers))
    _, port = split_address(store_address)
    link, address = await stack.enter_async_context(linking(port))
    return LateFaults(backends, link), address


async def _start_servers(service: Service, plan: Plan) -> None:
    """Start as many servers of each software version."""
    if plan.has_prompts or plan.memories:
        service.models = MODELS
    if plan.stream_share:
        service.slots = _STREAM_SLOTS
    for _ in range(plan.versions):
        count = plan.servers // plan.versions
        await service.start(count, service.make_version())


def describe_result(soak: Soak) -> str:
    """Return what clients and servers saw, as one line."""
    found = soak.observations
    fullest = found.find_fullest(RetryRule(slack=soak.plan.slack))
    worst = (
        'none'
        if fullest is None
        else f'{fullest.retries} of {fullest.allowed:.1f}, '
        f'{fullest.retries / fullest.allowed:.0%}'
    )
    return (
        f'seed={soak.plan.seed} requests={len(found.sent)} '
        f'retries={len(found.retries)} fullest_window="{worst}" '
        f'broken={found.broken} '
        f'streams="{_describe_streams(found)}" '
        f'late="{_describe_late(soak)}" '
        f'poison="{soak.poison.describe() if soak.poison else "none"}" '
        f'statuses={json.dumps(dict(sorted(found.statuses.items())))}'
    )


def _describe_late(soak: Soak) -> str:
    return 'none' if soak.joins is None else soak.joins.describe()


def _describe_streams(found: Observations) -> str:
    shares = found.count_shares()
    return (
        f'{shares.begun}/{shares.new} began, '
        f'{shares.resumed}/{shares.taken_up} went on, '
        f'{found.count_mixed()} of two versions'
    )
