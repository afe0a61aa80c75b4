"""Draw a plan of faults from a seed."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random


class FaultKind(enum.StrEnum):
    """List the faults of a plan."""

    KILL = 'kill'
    RESTART = 'restart'
    REPLACE = 'replace'
    FREEZE = 'freeze'
    RELOAD = 'reload'
    ADD = 'add'
    REMOVE = 'remove'
    SERVERS_REFUSE = 'servers_refuse'
    SERVERS_RESET = 'servers_reset'
    SERVERS_FAIL = 'servers_fail'
    STORE_DOWN = 'store_down'
    STORE_DEAF = 'store_deaf'
    STORE_FORGETS = 'store_forgets'
    STORE_RESTORED = 'store_restored'
    HERD = 'herd'


@dataclass(frozen=True, slots=True)
class Fault:
    """Describe one fault; `at` and `duration` are in seconds.

    `slot` selects an entry, `count` is the number of repetitions or of extra
    requests.
    """

    at: float
    kind: FaultKind
    slot: int = 0
    duration: float = 0.0
    count: int = 1

    def describe(self) -> str:
        """Return the fault as one line."""
        return (
            f'{self.at:6.1f} s  {self.kind.value} slot={self.slot} '
            f'duration={self.duration:.1f} count={self.count}'
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold the settings and faults of one run.

    `has_links` tells whether entries have addresses for links. `slack` is the
    number of retries that the platform allows beyond the share of requests.
    """

    seed: int
    seconds: float
    entries: int
    servers: int
    rate: float
    has_links: bool
    slack: float
    faults: tuple[Fault, ...]

    def describe(self) -> tuple[str, ...]:
        """Return the plan as lines."""
        head = (
            f'seed={self.seed} seconds={self.seconds:.0f} '
            f'entries={self.entries} servers={self.servers} '
            f'rate={self.rate:.0f} links={self.has_links} '
            f'slack={self.slack:.0f}'
        )
        return (head, *(fault.describe() for fault in self.faults))


# Faults are drawn with these weights; most end or disturb an entry.
_WEIGHTS: Mapping[FaultKind, int] = {
    FaultKind.KILL: 6,
    FaultKind.RESTART: 3,
    FaultKind.REPLACE: 4,
    FaultKind.FREEZE: 3,
    FaultKind.RELOAD: 1,
    FaultKind.ADD: 2,
    FaultKind.REMOVE: 1,
    FaultKind.SERVERS_REFUSE: 4,
    FaultKind.SERVERS_RESET: 3,
    FaultKind.SERVERS_FAIL: 2,
    FaultKind.STORE_DOWN: 1,
    FaultKind.STORE_DEAF: 1,
    FaultKind.STORE_FORGETS: 1,
    FaultKind.STORE_RESTORED: 1,
    FaultKind.HERD: 3,
}
_LASTING = frozenset(
    {
        FaultKind.FREEZE,
        FaultKind.SERVERS_REFUSE,
        FaultKind.SERVERS_RESET,
        FaultKind.SERVERS_FAIL,
        FaultKind.STORE_DOWN,
        FaultKind.STORE_DEAF,
    }
)
_SERIES = frozenset({FaultKind.KILL, FaultKind.RESTART, FaultKind.REPLACE})
_LONGEST_SERIES = 4
# Entries are up, and clients run, before the first fault.
_FIRST_FAULT_SECONDS = 4.0
_LAST_FAULT_SHARE = 0.85
_LINKS_SHARE = 0.8
_RATES = (6.0, 15.0, 30.0)
_STORM_SHARE = 0.5
_STORM_SECONDS = 12.0
_SLACK_BASE = 46
_SLACK_PER_ENTRY = 2
_RESTARTS_BEGIN = 8.0
_RESTARTS_SECONDS = 8.0
_REFUSAL_SECONDS = 11.0
_RESTARTS_RATE = 40.0


def make_plan(
    seed: int, seconds: float, *, entries: int, servers: int = 3
) -> Plan:
    """Draw a plan; equal arguments give equal plans."""
    random = Random(seed)
    has_links = random.random() < _LINKS_SHARE
    rate = random.choice(_RATES)
    times = _draw_times(random, seconds)
    faults = [_draw_fault(random, at, seconds, entries) for at in times]
    if random.random() < _STORM_SHARE:
        faults += _draw_storm(random, seconds, entries)
    return Plan(
        seed=seed,
        seconds=seconds,
        entries=entries,
        servers=servers,
        rate=rate,
        has_links=has_links,
        slack=_SLACK_BASE + _SLACK_PER_ENTRY * entries,
        faults=tuple(sorted(faults, key=lambda fault: fault.at)),
    )


def make_restart_plan(
    seed: int, *, entries: int, restarts: int, kind: FaultKind, has_links: bool
) -> Plan:
    """Plan restarts of all entries in turn while every server refuses.

    All of them fall into one window of the retry rule.
    """
    count = restarts * entries
    faults = (
        Fault(
            _RESTARTS_BEGIN + _RESTARTS_SECONDS * number / count,
            kind,
            slot=number % entries,
        )
        for number in range(count)
    )
    refusal = Fault(
        _RESTARTS_BEGIN - 1, FaultKind.SERVERS_REFUSE, duration=_REFUSAL_SECONDS
    )
    return Plan(
        seed=seed,
        seconds=_RESTARTS_BEGIN + _REFUSAL_SECONDS,
        entries=entries,
        servers=3,
        rate=_RESTARTS_RATE,
        has_links=has_links,
        slack=_SLACK_BASE + _SLACK_PER_ENTRY * entries,
        faults=(refusal, *faults),
    )


def _draw_storm(random: Random, seconds: float, entries: int) -> list[Fault]:
    """Draw series of starts of all entries while every server refuses."""
    begin = random.uniform(
        _FIRST_FAULT_SECONDS, max(seconds - _STORM_SECONDS, 0.0)
    )
    kind = random.choice((FaultKind.KILL, FaultKind.REPLACE))
    interval = random.uniform(1.2, 2.5)
    count = int((_STORM_SECONDS - 2) / interval)
    series = [
        Fault(begin + random.uniform(1, 2), kind, slot, interval, count)
        for slot in range(entries)
    ]
    herds = [
        Fault(begin + at, FaultKind.HERD, count=random.randint(12, 36))
        for at in range(1, int(_STORM_SECONDS))
    ]
    refusal = Fault(
        begin, FaultKind.SERVERS_REFUSE, duration=_STORM_SECONDS - 1
    )
    return [refusal, *series, *herds]


def _draw_times(random: Random, seconds: float) -> list[float]:
    """Draw times of which half come close together."""
    last = seconds * _LAST_FAULT_SHARE
    count = max(4, round(seconds / 3))
    cluster = random.uniform(_FIRST_FAULT_SECONDS, last)
    draws: tuple[Callable[[], float], ...] = (
        lambda: random.uniform(_FIRST_FAULT_SECONDS, last),
        lambda: min(cluster + random.expovariate(0.4), last),
    )
    return sorted(random.choice(draws)() for _ in range(count))


def _draw_fault(
    random: Random, at: float, seconds: float, entries: int
) -> Fault:
    kinds = tuple(_WEIGHTS)
    (kind,) = random.choices(kinds, tuple(_WEIGHTS.values()))
    duration = 0.0
    count = 1
    if kind in _LASTING:
        duration = random.uniform(0.5, min(12.0, seconds / 3))
    if kind in _SERIES:
        count = random.randint(1, _LONGEST_SERIES)
        duration = random.uniform(0.2, 3.0)
    if kind is FaultKind.HERD:
        count = random.randint(20, 120)
    return Fault(at, kind, random.randrange(entries), duration, count)
