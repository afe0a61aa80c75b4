"""Draw a plan of faults from a seed."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
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
    ROLL = 'roll'
    STOP_TWICE = 'stop_twice'
    CONFIGURE = 'configure'
    POISON = 'poison'
    SERVERS_BREAK = 'servers_break'
    SERVERS_SLOW = 'servers_slow'
    SERVER_SILENT = 'server_silent'
    SERVERS_REPLACED = 'servers_replaced'
    SERVER_RESTARTED = 'server_restarted'
    SERVER_RENAMED = 'server_renamed'
    SERVER_PAUSED = 'server_paused'
    SERVERS_PAUSED = 'servers_paused'
    SERVER_KILLED = 'server_killed'
    LINK_SILENT = 'link_silent'
    LINK_CUT_FORTH = 'link_cut_forth'
    LINK_CUT_BACK = 'link_cut_back'
    LINK_DELAYED = 'link_delayed'
    LINK_RESET = 'link_reset'
    LINKS_SILENT = 'links_silent'
    LINKS_PARTLY_SILENT = 'links_partly_silent'
    LINK_PARTLY_SILENT = 'link_partly_silent'
    LINKS_CLOSE_EARLY = 'links_close_early'
    LINK_CLOSES_EARLY = 'link_closes_early'
    MACHINE_BUSY = 'machine_busy'
    SERVERS_REPEAT = 'servers_repeat'
    SERVERS_POUR = 'servers_pour'
    SERVERS_SPOIL = 'servers_spoil'
    MEMORY_FALLS = 'memory_falls'
    MEMORY_PAUSED = 'memory_paused'
    STORE_LINK_SILENT = 'store_link_silent'
    STORE_LINK_RESET = 'store_link_reset'
    JOINS_FROZEN = 'joins_frozen'
    JOINS_CUT = 'joins_cut'
    CROWD = 'crowd'


@dataclass(frozen=True, slots=True)
class Fault:
    """Describe one fault; `at` and `duration` are in seconds.

    `slot` selects an entry or a server, `count` is the number of repetitions,
    of extra requests or processes, the tenths of the connections, or which of
    the prepared changes is made.
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
    With a `stream_share` above 0, that share of the requests asks for streams,
    and servers take time. `versions` is how many of their software there are,
    and `stream_seconds` how long streams usually last. With `has_backends`
    servers are processes behind links; their records may lapse with `lapses`.
    """

    seed: int
    seconds: float
    entries: int
    servers: int
    rate: float
    has_links: bool
    slack: float
    faults: tuple[Fault, ...]
    stream_share: float = 0.0
    stream_seconds: tuple[float, float] = (0.5, 6.0)
    versions: int = 1
    grace: float = 4.0
    callers: int = 12
    has_backends: bool = False
    lapses: bool = False
    has_prompts: bool = False
    # The number of context stores.
    memories: int = 0
    # So many callers send one and the same request at once, again and again.
    repeaters: int = 0
    # Versions join while the first entry is out of step; the system is new.
    has_joins: bool = False

    def describe(self) -> tuple[str, ...]:
        """Return the plan as lines."""
        head = (
            f'seed={self.seed} seconds={self.seconds:.0f} '
            f'entries={self.entries} servers={self.servers} '
            f'rate={self.rate:.0f} links={self.has_links} '
            f'slack={self.slack:.0f} streams={self.stream_share:.2f} '
            f'grace={self.grace:.0f}'
        )
        return (head, *(fault.describe() for fault in self.faults))


_GARBLES = (
    FaultKind.SERVERS_REPEAT,
    FaultKind.SERVERS_POUR,
    FaultKind.MEMORY_FALLS,
    FaultKind.MEMORY_FALLS,
    FaultKind.MEMORY_PAUSED,
)
_GARBLE_SECONDS = (0.5, 4.0)
_JOINS = (FaultKind.JOINS_FROZEN, FaultKind.JOINS_FROZEN, FaultKind.JOINS_CUT)
_CROWD_PERIOD = 6.0
_CROWD_SECONDS = (2.0, 8.0)
_CROWD_SIZES = (20, 120)
_JOIN_BEGIN = (4.0, 6.0)
# Streams that began before the joins and their settling end sooner.
_JOIN_SECONDS = (5.0, 7.0)
_JOIN_PERIOD = 34.0
_JOIN_SERVERS = 3
_MEMORIES = (1, 2, 3)
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
# Added where clients take streams up; kills weigh less there, as nothing can be
# checked at an entry that is down.
_STREAM_WEIGHTS: Mapping[FaultKind, int] = {
    **_WEIGHTS,
    FaultKind.KILL: 4,
    FaultKind.REPLACE: 3,
    FaultKind.FREEZE: 2,
    FaultKind.RELOAD: 3,
    FaultKind.ROLL: 3,
    FaultKind.STOP_TWICE: 3,
    FaultKind.CONFIGURE: 4,
    FaultKind.SERVERS_REFUSE: 2,
    FaultKind.SERVERS_RESET: 2,
    FaultKind.SERVERS_BREAK: 6,
    FaultKind.SERVERS_SLOW: 3,
    FaultKind.SERVER_SILENT: 4,
    FaultKind.SERVERS_REPLACED: 2,
    FaultKind.SERVER_RESTARTED: 1,
    FaultKind.SERVER_RENAMED: 2,
}
_LASTING = frozenset(
    {
        FaultKind.FREEZE,
        FaultKind.SERVERS_REFUSE,
        FaultKind.SERVERS_RESET,
        FaultKind.SERVERS_FAIL,
        FaultKind.SERVERS_BREAK,
        FaultKind.SERVERS_SLOW,
        FaultKind.STORE_DOWN,
        FaultKind.STORE_DEAF,
    }
)
# How long the other faults last, or the time between their repetitions.
_DURATIONS: Mapping[FaultKind, tuple[float, float]] = {
    FaultKind.ROLL: (0.2, 0.5),
    FaultKind.STOP_TWICE: (0.2, 3.5),
    FaultKind.SERVER_SILENT: (0.5, 1.5),
    FaultKind.SERVERS_REPLACED: (2.0, 4.0),
    FaultKind.SERVER_RESTARTED: (0.3, 1.5),
    FaultKind.SERVER_RENAMED: (0.3, 1.5),
}
_COUNTS: Mapping[FaultKind, tuple[int, int]] = {
    FaultKind.ROLL: (1, 2),
    FaultKind.HERD: (20, 120),
    FaultKind.CONFIGURE: (0, 4),
    FaultKind.SERVERS_SLOW: (2, 4),
}
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
_STOPS_BEGIN = 7.0
_HERDS_AFTER = (3.2, 3.8, 4.4)
_POISON_BEGIN = (3.0, 4.0)
_POISON_SERVERS = 10
_REPEAT_SERVERS = (1, 2, 3)
_REPEATERS = (1, 2, 3, 6)
# All servers are killed within this time.
_BURST_SECONDS = 0.4
# Servers that all refuse or fail hide what a part does.
_SERVER_FAULTS = frozenset(
    {
        FaultKind.SERVERS_REFUSE,
        FaultKind.SERVERS_RESET,
        FaultKind.SERVERS_FAIL,
    }
)
_SHORT_SECONDS = (0.4, 0.9)
_STOPS_SECONDS = 9.0
_STREAM_SHARES = (0.3, 0.5, 0.7)
_GRACES = (4.0, 8.0, 8.0)
_STREAM_SECONDS = ((0.5, 6.0), (0.5, 6.0), (0.4, 1.5))
_STREAM_SERVERS = 6
_STREAM_VERSIONS = 2
_STREAM_CALLERS = 24
# What overlaps with the stop of all entries.
_ROLL_SECONDS = 10.0
_BESIDE_ROLL = (
    FaultKind.RELOAD,
    FaultKind.CONFIGURE,
    FaultKind.STOP_TWICE,
    FaultKind.SERVERS_SLOW,
    FaultKind.SERVERS_BREAK,
    FaultKind.SERVER_SILENT,
    FaultKind.HERD,
)
_MOST_BESIDE_ROLL = 6


def make_slack(entries: int) -> float:
    """Return the retries allowed beyond the share of requests."""
    return _SLACK_BASE + _SLACK_PER_ENTRY * entries


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
        slack=make_slack(entries),
        faults=tuple(sorted(faults, key=lambda fault: fault.at)),
    )


def make_stream_plan(seed: int, seconds: float, *, entries: int) -> Plan:
    """Draw a plan with streams, two software versions and stops in series."""
    random = Random(seed)
    has_links = random.random() < _LINKS_SHARE
    rate = random.choice(_RATES)
    faults = [
        _draw_fault(random, at, seconds, entries, _STREAM_WEIGHTS)
        for at in _draw_times(random, seconds)
    ]
    faults += _draw_roll(random, seconds, entries)
    return Plan(
        seed=seed,
        seconds=seconds,
        entries=entries,
        servers=_STREAM_SERVERS,
        rate=rate,
        has_links=has_links,
        slack=make_slack(entries),
        faults=tuple(sorted(faults, key=lambda fault: fault.at)),
        stream_share=random.choice(_STREAM_SHARES),
        versions=_STREAM_VERSIONS,
        grace=random.choice(_GRACES),
        stream_seconds=random.choice(_STREAM_SECONDS),
        callers=_STREAM_CALLERS,
    )


def make_poison_plan(seed: int, seconds: float, *, entries: int) -> Plan:
    """Draw a plan in which requests with one part end servers."""
    plan = make_stream_plan(seed, seconds, entries=entries)
    begin = Random(f'poison {seed}').uniform(*_POISON_BEGIN)
    poison = Fault(begin, FaultKind.POISON, duration=seconds - begin)
    kept = (each for each in plan.faults if each.kind not in _SERVER_FAULTS)
    faults = sorted([*kept, poison], key=lambda fault: fault.at)
    return replace(
        plan, faults=tuple(faults), servers=_POISON_SERVERS, has_prompts=True
    )


def make_repeat_plan(seed: int, seconds: float, *, entries: int) -> Plan:
    """Draw a plan in which one request ends servers of a small service.

    In some plans all servers are killed together, for no cause in a request.
    """
    plan = make_poison_plan(seed, seconds, entries=entries)
    random = Random(f'repeat {seed}')
    servers = random.choice(_REPEAT_SERVERS)
    kills = random.choice([0, 0, 2])
    faults = list(plan.faults)
    for _ in range(kills):
        at = random.uniform(_POISON_BEGIN[1], seconds)
        faults += (
            Fault(
                at + random.uniform(0.0, _BURST_SECONDS),
                FaultKind.SERVER_RENAMED,
                duration=random.uniform(0.5, 2.0),
                slot=slot,
            )
            for slot in range(servers)
        )
    return replace(
        plan,
        faults=tuple(sorted(faults, key=lambda fault: fault.at)),
        servers=servers,
        versions=1,
        repeaters=random.choice(_REPEATERS),
    )


def make_garble_plan(seed: int, seconds: float, *, entries: int) -> Plan:
    """Draw a plan in which answers are wrong and context stores fall.

    Servers repeat answers late, send bytes without end, and spoil streams.
    """
    plan = make_stream_plan(seed, seconds, entries=entries)
    random = Random(f'garble {seed}')
    faults = [
        *plan.faults,
        *(_draw_garble(random, seconds) for _ in range(round(seconds / 2))),
        *_draw_spoils(Random(f'spoil {seed}'), seconds),
    ]
    return replace(
        plan,
        faults=tuple(sorted(faults, key=lambda fault: fault.at)),
        memories=random.choice(_MEMORIES),
    )


def make_crowd_plan(seed: int, seconds: float, *, entries: int) -> Plan:
    """Draw a plan in which crowds come that leave their requests unfinished."""
    plan = make_stream_plan(seed, seconds, entries=entries)
    random = Random(f'crowd {seed}')
    crowds = (
        Fault(
            random.uniform(_FIRST_FAULT_SECONDS, seconds),
            FaultKind.CROWD,
            slot=random.randrange(entries),
            duration=random.uniform(*_CROWD_SECONDS),
            count=random.randint(*_CROWD_SIZES),
        )
        for _ in range(max(round(seconds / _CROWD_PERIOD), 1))
    )
    faults = sorted((*plan.faults, *crowds), key=lambda fault: fault.at)
    return replace(plan, faults=tuple(faults))


def make_join_plan(seed: int, seconds: float, *, entries: int) -> Plan:
    """Draw a plan in which versions join while an entry is out of step.

    A second spell comes once a single version has served for long.
    """
    random = Random(f'join {seed}')
    begins = [random.uniform(*_JOIN_BEGIN)]
    while begins[-1] + _JOIN_PERIOD + _JOIN_SECONDS[1] < seconds:
        begins.append(begins[-1] + _JOIN_PERIOD)
    faults = [
        Fault(
            begin,
            random.choice(_JOINS),
            slot=random.randrange(3),
            duration=random.uniform(*_JOIN_SECONDS),
            count=random.randint(1, 2),
        )
        for begin in begins
    ]
    return Plan(
        seed=seed,
        seconds=seconds,
        entries=entries,
        servers=_JOIN_SERVERS,
        rate=_RATES[0],
        has_links=True,
        slack=make_slack(entries),
        faults=tuple(faults),
        stream_share=_STREAM_SHARES[0],
        has_joins=True,
    )


def _draw_garble(random: Random, seconds: float) -> Fault:
    return Fault(
        random.uniform(_FIRST_FAULT_SECONDS, seconds),
        random.choice(_GARBLES),
        slot=random.randrange(max(_MEMORIES)),
        duration=random.uniform(*_GARBLE_SECONDS),
    )


def _draw_spoils(random: Random, seconds: float) -> Iterator[Fault]:
    for _ in range(round(seconds / 4)):
        yield Fault(
            random.uniform(_FIRST_FAULT_SECONDS, seconds),
            FaultKind.SERVERS_SPOIL,
            duration=random.uniform(*_GARBLE_SECONDS),
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
        slack=make_slack(entries),
        faults=(refusal, *faults),
    )


def make_stop_plan(seed: int, *, entries: int) -> Plan:
    """Plan the stop of all entries close together as their servers slow down.

    Clients go on to send streams while the entries drain, and what streams took
    before tells nothing about those.
    """
    stops = Fault(_STOPS_BEGIN, FaultKind.ROLL, duration=0.2)
    slow = Fault(
        _STOPS_BEGIN + 2.9, FaultKind.SERVERS_SLOW, duration=8.0, count=6
    )
    herds = (
        Fault(_STOPS_BEGIN + after, FaultKind.HERD, count=30)
        for after in _HERDS_AFTER
    )
    return Plan(
        seed=seed,
        seconds=_STOPS_BEGIN + _STOPS_SECONDS,
        entries=entries,
        servers=_STREAM_SERVERS,
        rate=_RESTARTS_RATE,
        has_links=True,
        slack=make_slack(entries),
        faults=(stops, slow, *herds),
        stream_share=0.5,
        stream_seconds=_SHORT_SECONDS,
        grace=8.0,
        callers=_STREAM_CALLERS,
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


def _draw_roll(random: Random, seconds: float, entries: int) -> list[Fault]:
    """Draw stops of all entries close together, and what overlaps with them."""
    last = max(seconds - _ROLL_SECONDS, _FIRST_FAULT_SECONDS)
    begin = random.uniform(_FIRST_FAULT_SECONDS, last)
    roll = _draw_details(random, FaultKind.ROLL, begin, seconds, entries)
    beside = [
        _draw_details(
            random,
            random.choice(_BESIDE_ROLL),
            begin + random.uniform(-2.0, 6.0),
            seconds,
            entries,
        )
        for _ in range(random.randint(1, _MOST_BESIDE_ROLL))
    ]
    return [roll, *beside]


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
    random: Random,
    at: float,
    seconds: float,
    entries: int,
    weights: Mapping[FaultKind, int] = _WEIGHTS,
) -> Fault:
    kinds = tuple(weights)
    (kind,) = random.choices(kinds, tuple(weights.values()))
    return _draw_details(random, kind, at, seconds, entries)


def _draw_details(
    random: Random, kind: FaultKind, at: float, seconds: float, entries: int
) -> Fault:
    duration = 0.0
    count = 1
    if kind in _LASTING:
        duration = random.uniform(0.5, min(12.0, seconds / 3))
    if kind in _SERIES:
        count = random.randint(1, _LONGEST_SERIES)
        duration = random.uniform(0.2, 3.0)
    if kind in _DURATIONS:
        duration = random.uniform(*_DURATIONS[kind])
    if kind in _COUNTS:
        count = random.randint(*_COUNTS[kind])
    return Fault(at, kind, random.randrange(entries), duration, count)
