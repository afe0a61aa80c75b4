"""Run one plan against real entries and check the promises."""

from __future__ import annotations

import json
import signal
import time
from collections.abc import AsyncGenerator, Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import anyio

from tests.hosted import CONFIGURATION, OPERATOR, SERVERS, make_record
from tests.standins import server
from tests.standins.replica import serving_replica
from tools.soak.arrivals import Observations, RetryRule
from tools.soak.callers import Callers
from tools.soak.fleet import Fleet
from tools.soak.plan import Fault, FaultKind, Plan
from tools.soak.servers import Behaviour, Servers
from tools.soak.store import SoakStore

Report = Callable[[str], None]


@dataclass
class Soak:
    """One run: its plan, its processes and stand-ins, and what was seen."""

    plan: Plan
    store: SoakStore
    fleet: Fleet
    servers: Servers
    callers: Callers
    observations: Observations
    now: Callable[[], float]
    report: Report
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
        }

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
        return self.observations.list_faults(RetryRule(slack=self.plan.slack))

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
        process = self.fleet.slots[fault.slot]
        if process is None:
            return
        process.child.terminate()
        await self.fleet.wait_ended(process)
        if self.fleet.slots[fault.slot] is process:
            self.fleet.start_again(fault.slot)

    async def _replace(self, fault: Fault) -> None:
        """Start the next process of an entry while the last one drains."""
        for _ in range(fault.count):
            self.fleet.signal(fault.slot, signal.SIGTERM)
            self.fleet.start_again(fault.slot)
            await anyio.sleep(fault.duration)

    async def _freeze(self, fault: Fault) -> None:
        process = self.fleet.slots[fault.slot]
        if process is None:
            return
        process.child.freeze()
        await anyio.sleep(fault.duration)
        process.child.thaw()

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
            self.servers.active.append(behaviour)
            await anyio.sleep(fault.duration)
            self.servers.active.remove(behaviour)

        return misbehave

    async def _stop_store(self, fault: Fault) -> None:
        self.store.outages += 1
        await anyio.sleep(fault.duration)
        self.store.outages -= 1

    async def _deafen_store(self, fault: Fault) -> None:
        self.store.deaf += 1
        await anyio.sleep(fault.duration)
        self.store.deaf -= 1

    async def _forget(self, _fault: Fault) -> None:
        self.store.forget_announcements()

    async def _restore(self, _fault: Fault) -> None:
        self.store.restore()

    async def _send_herd(self, fault: Fault) -> None:
        await self.callers.send_herd(fault.count)


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

    store = SoakStore()
    store.put(OPERATOR, 'config', CONFIGURATION)
    store.back_up()
    observations = Observations()
    servers = Servers(observations, now)
    async with AsyncExitStack() as stack:
        (address,) = await stack.enter_async_context(server.serving(store))
        for number in range(plan.servers):
            _, where = await stack.enter_async_context(
                serving_replica(servers.serve)
            )
            store.put(SERVERS, f'i-{number}', make_record(where))
        store.back_up()
        fleet = Fleet(directory, address, plan.slack, plan.has_links)
        stack.callback(fleet.kill_all)
        random = Random(plan.seed)
        callers = Callers(fleet, observations, random, now, plan.rate)
        yield Soak(
            plan, store, fleet, servers, callers, observations, now, report
        )


def describe_result(soak: Soak) -> str:
    """Return what clients and servers saw, as one line."""
    found = soak.observations
    fullest = found.find_fullest(RetryRule(slack=soak.plan.slack))
    worst = (
        'none'
        if fullest is None
        else f'{fullest.retries} of {fullest.allowed:.1f}'
    )
    return (
        f'seed={soak.plan.seed} requests={len(found.sent)} '
        f'retries={len(found.retries)} fullest_window="{worst}" '
        f'broken={found.broken} '
        f'statuses={json.dumps(dict(sorted(found.statuses.items())))}'
    )
