"""Start and end the entries of a soak, each as a process of its own."""

from __future__ import annotations

import contextlib
import itertools
import os
import signal
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from tests.processes import Child
from tools.soak.attempts import ProcessLife, Spell

_PROGRAM = 'oleanderdyke.entry.main'
_CALLERS_PORT = 18_749
_READINESS_PORT = 18_741
_LINK_PORTS = '17580,17595'
_START_SECONDS = 1.0
_POLL_SECONDS = 0.02
_DATA_CENTRES = ('hall', 'yard', 'shed')
# Each process has an address of its own, so that ports are never shared. The
# second and third bytes keep soaks that run side by side apart.
_HOSTS_PER_BYTE = 250

_SETTINGS = """nodeName={name}
zone={data_centre}
ip={ip}
platform.address={store}
listen.front={ip}:{callers}
listen.ready={ip}:{readiness}
firstStart={is_first}
bounds.graceS={grace}
bounds.versionMs=15000
bounds.retryBudgetRatio=0.2
bounds.retryWindowS=10
bounds.retrySlack={slack}
"""


@dataclass
class EntryProcess:
    """One entry process and the address at which callers reach it.

    `life` keeps what happened to it, and `now` tells when.
    """

    child: Child
    ip: str
    life: ProcessLife
    now: Callable[[], float]

    @property
    def callers(self) -> tuple[str, int]:
        """Return the address for callers."""
        return self.ip, _CALLERS_PORT

    @property
    def is_alive(self) -> bool:
        """Return whether the process has not ended."""
        return self.child.running

    def send(self, number: signal.Signals) -> None:
        """Send a signal that the process handles."""
        if not self.is_alive:
            return
        kept = {
            signal.SIGTERM: self.life.stops,
            signal.SIGHUP: self.life.reloads,
        }
        kept[number].append(self.now())
        self.child.send(number)

    def kill(self) -> None:
        """Kill the process; do nothing if it has ended."""
        if self.is_alive:
            self.life.killed = self.now()
        self.child.kill()

    async def freeze(self, seconds: float) -> None:
        """Pause the process for a time."""
        spell = Spell(self.now())
        self.life.freezes.append(spell)
        self.child.freeze()
        await anyio.sleep(seconds)
        self.child.thaw()
        spell.end = self.now()

    async def wait_ended(self) -> None:
        """Wait until the process has ended, and kill it after its grace."""
        while self.is_alive:
            if self.now() >= self.life.stopped + self.life.grace:
                self.kill()
            await anyio.sleep(_POLL_SECONDS)


@dataclass
class Fleet:
    """The entries of a deployment, some of which may be replaced or leaving.

    `slots` holds the newest process of each entry, None once it was removed,
    and `lives` what happened to every process.
    """

    directory: Path
    store: str
    slack: float
    has_links: bool
    now: Callable[[], float]
    lives: dict[str, ProcessLife]
    grace: float = 4.0
    # Whether the system has not run before.
    is_first: bool = False
    # The store's address for the first entry, if it has one of its own.
    first_store: str = ''
    slots: list[EntryProcess | None] = field(default_factory=list)
    _all: list[EntryProcess] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    def add(self) -> int:
        """Start an entry with a new name; return its slot."""
        slot = len(self.slots)
        self.slots.append(self._start(slot))
        return slot

    def list_alive(self) -> list[EntryProcess]:
        """Return the newest process of each entry that has not ended."""
        return [each for each in self.slots if each and each.is_alive]

    def start_again(self, slot: int) -> None:
        """Start the next process of an entry, at a new address."""
        self.slots[slot] = self._start(slot)

    def signal(self, slot: int, number: signal.Signals) -> None:
        """Send a signal to the newest process of an entry."""
        process = self.slots[slot]
        if process is not None:
            process.send(number)

    def kill(self, slot: int) -> None:
        """Kill the newest process of an entry."""
        process = self.slots[slot]
        if process is not None:
            process.kill()

    def kill_all(self) -> None:
        """Kill every process that this fleet has started."""
        for process in self._all:
            with contextlib.suppress(ProcessLookupError):
                process.child.kill()

    def list_ended(self) -> list[str]:
        """Return the processes that ended though nothing stopped them.

        A signal that comes while the interpreter starts ends any program.
        """
        return [
            f'{each.life.name} with code {each.child.wait()}'
            for each in self._all
            if not each.is_alive and not each.life.was_ended(_START_SECONDS)
        ]

    def _start(self, slot: int) -> EntryProcess:
        number = next(self._numbers)
        name = f'front-{slot}'
        ip = _make_ip(number)
        path = self.directory / f'{name}-{number}.conf'
        path.write_text(self._format_settings(name, slot, ip))
        child = Child(
            f'{name}-{number}',
            ('-m', _PROGRAM, '--platform', '--settings', str(path)),
            self.directory,
        )
        child.start()
        life = ProcessLife(child.name, self.now(), self.grace)
        self.lives[life.name] = life
        process = EntryProcess(child, ip, life, self.now)
        self._all.append(process)
        return process

    def _find_store(self, slot: int) -> str:
        return self.store if slot else self.first_store or self.store

    def _format_settings(self, name: str, slot: int, ip: str) -> str:
        text = _SETTINGS.format(
            name=name,
            data_centre=_DATA_CENTRES[slot % len(_DATA_CENTRES)],
            ip=ip,
            store=self._find_store(slot),
            is_first=str(self.is_first).lower(),
            callers=_CALLERS_PORT,
            readiness=_READINESS_PORT,
            grace=self.grace,
            slack=self.slack,
        )
        return f'{text}portRange={_LINK_PORTS}\n' if self.has_links else text


def _make_ip(number: int) -> str:
    """Return a loopback address that no other soak uses at the same time."""
    high, low = divmod(number, _HOSTS_PER_BYTE)
    byte, rest = divmod(os.getpid(), _HOSTS_PER_BYTE)
    second = 1 + byte % _HOSTS_PER_BYTE
    return f'127.{second}.{(rest + high) % _HOSTS_PER_BYTE + 1}.{low + 1}'
