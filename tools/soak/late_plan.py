"""Draw plans in which servers stand still and links fail, in series."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

from tools.soak.plan import Fault, FaultKind, Plan, make_slack

# Faults of servers and links; each disturbs one server unless it says all.
_LATE_WEIGHTS: Mapping[FaultKind, int] = {
    FaultKind.SERVER_PAUSED: 5,
    FaultKind.SERVERS_PAUSED: 2,
    FaultKind.SERVER_KILLED: 3,
    FaultKind.LINK_SILENT: 3,
    FaultKind.LINK_CUT_FORTH: 3,
    FaultKind.LINK_CUT_BACK: 2,
    FaultKind.LINK_DELAYED: 2,
    FaultKind.LINK_RESET: 3,
    FaultKind.LINKS_SILENT: 2,
    FaultKind.LINK_PARTLY_SILENT: 3,
    FaultKind.LINKS_PARTLY_SILENT: 2,
    FaultKind.LINK_CLOSES_EARLY: 2,
    FaultKind.LINKS_CLOSE_EARLY: 2,
    FaultKind.MACHINE_BUSY: 1,
    FaultKind.STORE_LINK_SILENT: 2,
    FaultKind.STORE_LINK_RESET: 1,
    FaultKind.SERVERS_REFUSE: 3,
    FaultKind.SERVERS_RESET: 2,
    FaultKind.KILL: 3,
    FaultKind.REPLACE: 3,
    FaultKind.FREEZE: 3,
    FaultKind.RESTART: 1,
    FaultKind.RELOAD: 1,
    FaultKind.ADD: 1,
    FaultKind.HERD: 4,
}
_SECONDS: Mapping[FaultKind, tuple[float, float]] = {
    FaultKind.SERVER_KILLED: (0.2, 2.0),
    FaultKind.LINK_DELAYED: (1.0, 8.0),
    FaultKind.STORE_LINK_SILENT: (0.5, 6.0),
    FaultKind.MACHINE_BUSY: (2.0, 8.0),
    FaultKind.KILL: (0.3, 2.5),
    FaultKind.REPLACE: (0.3, 2.5),
}
_USUAL_SECONDS = (0.5, 13.0)
_HERDS = (10, 60)
_TENTHS = (3, 9)
_BUSY_PROCESSES = (8, 24)
_PARTLY_SILENT = frozenset(
    {FaultKind.LINK_PARTLY_SILENT, FaultKind.LINKS_PARTLY_SILENT}
)
_SERIES = 4
_RATES = (30.0, 60.0, 90.0)
_SERVERS = 6
_CALLERS_PER_RATE = 1.5
_FIRST_FAULT = 8.0
_LAST_SHARE = 0.8
_FAULTS_PER_SECOND = 0.6
_STANDSTILLS = (
    FaultKind.SERVERS_PAUSED,
    FaultKind.LINKS_SILENT,
    FaultKind.LINKS_PARTLY_SILENT,
    FaultKind.LINKS_CLOSE_EARLY,
)
# All servers stand still for most of a window, while entries start in series.
_STANDSTILL_SECONDS = (6.0, 13.0)
_STANDSTILL_RATE = 0.5
_STARTS = (FaultKind.KILL, FaultKind.REPLACE, FaultKind.FREEZE)
_OF_ENTRIES = frozenset({*_STARTS, FaultKind.RESTART, FaultKind.RELOAD})


def make_late_plan(seed: int, seconds: float, *, entries: int) -> Plan:
    """Draw a plan with server processes; equal arguments give equal plans."""
    random = Random(seed)
    rate = random.choice(_RATES)
    last = seconds * _LAST_SHARE
    count = round((last - _FIRST_FAULT) * _FAULTS_PER_SECOND)
    faults = [
        _draw_fault(random, random.uniform(_FIRST_FAULT, last), entries)
        for _ in range(count)
    ]
    faults += _draw_standstill(random, last, entries)
    return Plan(
        seed=seed,
        seconds=seconds,
        entries=entries,
        servers=_SERVERS,
        rate=rate,
        has_links=random.random() < 0.8,
        slack=make_slack(entries),
        faults=tuple(sorted(faults, key=lambda fault: fault.at)),
        callers=round(rate * _CALLERS_PER_RATE),
        has_backends=True,
        lapses=random.random() < 0.5,
    )


def make_standstill_plan(seed: int, *, entries: int) -> Plan:
    """Plan the standstill of all servers, which refuse after it."""
    still = Fault(10.0, FaultKind.SERVERS_PAUSED, duration=12.0)
    refusal = Fault(10.0, FaultKind.SERVERS_REFUSE, duration=24.0)
    herds = (
        Fault(10.5 + number / 2, FaultKind.HERD, count=45)
        for number in range(40)
    )
    faults = (still, refusal, *herds)
    return _make_fixed_plan(seed, 36.0, entries=entries, faults=faults)


def make_unread_plan(kind: FaultKind, *, entries: int) -> Plan:
    """Plan a spell in which links leave half of the requests unread.

    Or in which they close all connections before they deliver. After it the
    servers refuse all requests.
    """
    unread = Fault(10.0, kind, duration=25.0, count=5)
    refusal = Fault(34.5, FaultKind.SERVERS_REFUSE, duration=11.0)
    return _make_fixed_plan(1, 46.0, entries=entries, faults=(unread, refusal))


def _make_fixed_plan(
    seed: int, seconds: float, *, entries: int, faults: tuple[Fault, ...]
) -> Plan:
    """Return a plan with server processes at the highest rate."""
    return Plan(
        seed=seed,
        seconds=seconds,
        entries=entries,
        servers=_SERVERS,
        rate=_RATES[-1],
        has_links=True,
        slack=make_slack(entries),
        faults=faults,
        callers=round(_RATES[-1] * _CALLERS_PER_RATE),
        has_backends=True,
    )


def _draw_fault(random: Random, at: float, entries: int) -> Fault:
    kinds = tuple(_LATE_WEIGHTS)
    (kind,) = random.choices(kinds, tuple(_LATE_WEIGHTS.values()))
    return _draw_details(random, kind, at, entries)


def _draw_details(
    random: Random, kind: FaultKind, at: float, entries: int
) -> Fault:
    duration = random.uniform(*_SECONDS.get(kind, _USUAL_SECONDS))
    count = 1
    if kind is FaultKind.HERD:
        count = random.randint(*_HERDS)
    if kind in {FaultKind.KILL, FaultKind.REPLACE, FaultKind.LINK_RESET}:
        count = random.randint(1, _SERIES)
    if kind in _PARTLY_SILENT:
        count = random.randint(*_TENTHS)
    if kind is FaultKind.MACHINE_BUSY:
        count = random.randint(*_BUSY_PROCESSES)
    slots = entries if kind in _OF_ENTRIES else _SERVERS
    return Fault(at, kind, random.randrange(slots), duration, count)


def _draw_standstill(random: Random, last: float, entries: int) -> list[Fault]:
    """Draw a standstill of all servers, with starts and herds in it."""
    begin = random.uniform(_FIRST_FAULT, max(last - _FIRST_FAULT, _FIRST_FAULT))
    duration = random.uniform(*_STANDSTILL_SECONDS)
    kind = random.choice(_STANDSTILLS)
    count = random.randint(*_TENTHS) if kind in _PARTLY_SILENT else 1
    faults = [Fault(begin, kind, duration=duration, count=count)]
    if random.random() < 0.7:
        refusal = random.uniform(3.0, 10.0)
        faults.append(
            Fault(begin, FaultKind.SERVERS_REFUSE, duration=duration + refusal)
        )
    for slot in range(entries if random.random() < 0.6 else 0):
        start = random.choice(_STARTS)
        at = begin + random.uniform(0.5, duration / 2)
        faults.append(_draw_details(random, start, at, entries))
        faults.append(Fault(at, start, slot, 1.5, random.randint(1, _SERIES)))
    herds = int((duration + 4.0) / _STANDSTILL_RATE)
    faults += [
        Fault(
            begin + number * _STANDSTILL_RATE,
            FaultKind.HERD,
            count=random.randint(5, 30),
        )
        for number in range(herds)
    ]
    return faults
