"""Add up the work in flight that all entries report.

The load it answers: entries that see one request in twenty, and so send their
long prompts to engines that others have just filled.
"""

from __future__ import annotations

import math
import statistics
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from typing import TypeAlias

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.scheduling.demand_meter import DemandMeter
from oleanderdyke.kernel.scheduling.work import Demand, ServerWork
from oleanderdyke.kernel.scheduling.work_account import WorkAccount
from oleanderdyke.kernel.servers import ServerStart
from oleanderdyke.links.messages.news import RATES_PER_KIND, WorkReport

# An entry with work reports every 250 ms, and may take a second to find another
# reader once the one that passes its reports on has frozen.
REPORT_LIFETIME: Millis = 1.5 * SECOND
_CHECK_PERIOD: Millis = 50.0
# Reports of an entry that fell silent longer ago can't arrive any more.
_ORIGIN_LIFETIME: Millis = 60 * SECOND
_RATE_DIGITS = 2

# The fields of `ServerWork` in order.
_Amounts: TypeAlias = tuple[int, int, int, int, int]
_NO_AMOUNTS: _Amounts = (0, 0, 0, 0, 0)


@dataclass(slots=True)
class _Origin:
    """The state of another entry as of its report `sequence`.

    Changes may be missing since `gap_at`, None if none are.
    """

    incarnation: int
    sequence: int
    data_centre: str
    reported_at: Millis
    gap_at: Millis | None = None
    rows: dict[ServerStart, _Amounts] = field(default_factory=dict)
    demand: tuple[Demand, ...] = ()

    def is_current(self, now: Millis) -> bool:
        """Return whether the rows still count."""
        if now - self.reported_at > REPORT_LIFETIME:
            return False
        return self.gap_at is None or now - self.gap_at <= REPORT_LIFETIME


class WorkTable:
    """Hold the reports of other entries and add this entry's own account."""

    def __init__(
        self, own: str, account: WorkAccount, meter: DemandMeter
    ) -> None:
        self._own = own
        self._account = account
        self._meter = meter
        self._origins: dict[str, _Origin] = {}
        self._totals: defaultdict[ServerStart, list[int]] = defaultdict(
            lambda: [*_NO_AMOUNTS]
        )
        self._checked_at: Millis = -math.inf
        self._heard_at: Millis = -math.inf

    def apply(self, report: WorkReport, now: Millis) -> bool:
        """Apply a report that arrived; return whether it was news.

        Reports of this entry, repeated, older and malformed ones change
        nothing.
        """
        self._expire_if_due(now)
        if report.entry == self._own or not report.is_valid:
            return False
        reported_at = now - max(report.age, 0.0)
        origin = self._origins.get(report.entry)
        if origin is not None:
            self._check(origin, now)
        if origin is None or _replaces(report, origin, now):
            self._drop_rows(origin)
            origin = _Origin(
                report.incarnation, -1, report.data_centre, reported_at
            )
            self._origins[report.entry] = origin
        elif not _is_newer(report, origin):
            return False
        self._update(origin, report, reported_at)
        self._check(origin, now)
        return True

    def record_heard(self, now: Millis) -> None:
        """Record a message of any entry, which may report no change."""
        self._heard_at = now

    def find_work(self, start: ServerStart, now: Millis) -> ServerWork:
        """Return the work in flight at one start of a server."""
        self._expire_if_due(now)
        own = self._account.find(start)
        total = self._totals.get(start)
        return own if total is None else ServerWork(*total) + own

    def list_demand(self, service: str, now: Millis) -> Sequence[Demand]:
        """Return the demand for a service by route and team."""
        self._expire(now)
        sums: defaultdict[tuple[str, str], list[float]] = defaultdict(
            lambda: [0.0] * RATES_PER_KIND
        )
        for each in self._list_rows(now):
            if each.service == service:
                _add_demand(sums[each.route, each.team], each)
        return tuple(Demand(service, *key, *sums[key]) for key in sums)

    def find_age(self, now: Millis) -> Millis:
        """Return the median age of other entries' work, infinite if none.

        Entries without work report nothing; if all are idle, the age is that of
        the latest message.
        """
        ages = [
            now - origin.reported_at
            for origin in self._origins.values()
            if origin.rows and origin.is_current(now)
        ]
        return statistics.median(ages) if ages else now - self._heard_at

    def list_reports(self, now: Millis) -> Iterator[WorkReport]:
        """Yield the state of each other entry, for a process that joins."""
        self._expire(now)
        for entry, origin in self._origins.items():
            if origin.is_current(now) and origin.gap_at is None:
                source = WorkReport(
                    entry,
                    origin.incarnation,
                    origin.sequence,
                    origin.data_centre,
                    now - origin.reported_at,
                    is_whole=True,
                )
                work = (
                    (start, ServerWork(*amounts))
                    for start, amounts in origin.rows.items()
                )
                yield make_report(source, work, origin.demand)

    def _list_rows(self, now: Millis) -> Iterator[Demand]:
        yield from self._meter.list_demand(now)
        for origin in self._origins.values():
            yield from origin.demand

    def _update(
        self, origin: _Origin, report: WorkReport, reported_at: Millis
    ) -> None:
        is_next = report.sequence == origin.sequence + 1
        origin.sequence = report.sequence
        origin.reported_at = max(origin.reported_at, reported_at)
        if report.is_whole:
            self._drop_rows(origin)
            origin.gap_at = None
            origin.demand = tuple(_list_demand(report))
        elif not is_next and origin.gap_at is None:
            origin.gap_at = reported_at
        for start, amounts in _list_work(report):
            self._set_row(origin, start, amounts)

    def _check(self, origin: _Origin, now: Millis) -> None:
        """Drop the rows of a silent entry; only a whole report restores it."""
        if not origin.is_current(now):
            self._drop_rows(origin)
            if origin.gap_at is None:
                origin.gap_at = origin.reported_at

    def _set_row(
        self, origin: _Origin, start: ServerStart, amounts: _Amounts
    ) -> None:
        known = origin.rows.pop(start, _NO_AMOUNTS)
        if amounts != _NO_AMOUNTS:
            origin.rows[start] = amounts
        if amounts == known:
            return
        total = self._totals[start]
        for index, amount in enumerate(amounts):
            total[index] += amount - known[index]
        if not any(total):
            del self._totals[start]

    def _drop_rows(self, origin: _Origin | None) -> None:
        if origin is None:
            return
        for start in tuple(origin.rows):
            self._set_row(origin, start, _NO_AMOUNTS)
        origin.demand = ()

    def _expire_if_due(self, now: Millis) -> None:
        if now - self._checked_at >= _CHECK_PERIOD:
            self._expire(now)

    def _expire(self, now: Millis) -> None:
        self._checked_at = now
        for entry, origin in tuple(self._origins.items()):
            self._check(origin, now)
            if now - origin.reported_at > _ORIGIN_LIFETIME:
                del self._origins[entry]


def make_report(
    source: WorkReport,
    work: Iterable[tuple[ServerStart, ServerWork]],
    demand: Iterable[Demand] = (),
) -> WorkReport:
    """Return a report with the columns of so much work and demand."""
    starts = tuple(work)
    kinds = tuple(demand)
    return replace(
        source,
        servers=tuple(start.server for start, _ in starts),
        born=tuple(start.born for start, _ in starts),
        amounts=tuple(
            round(amount) for _, each in starts for amount in each.amounts
        ),
        kinds=tuple(
            text
            for each in kinds
            for text in (each.service, each.route, each.team)
        ),
        rates=tuple(
            round(rate, _RATE_DIGITS) for each in kinds for rate in each.rates
        ),
    )


def _list_work(report: WorkReport) -> Iterator[tuple[ServerStart, _Amounts]]:
    amounts = iter(report.amounts)
    rows = zip(amounts, amounts, amounts, amounts, amounts, strict=True)
    starts = map(ServerStart, report.servers, report.born)
    return zip(starts, rows, strict=True)


def _list_demand(report: WorkReport) -> Iterator[Demand]:
    kinds, rates = iter(report.kinds), iter(report.rates)
    names = zip(kinds, kinds, kinds, strict=True)
    rows = zip(rates, rates, rates, rates, rates, strict=True)
    for texts, numbers in zip(names, rows, strict=True):
        yield Demand(*texts, *numbers)


def _add_demand(total: list[float], demand: Demand) -> None:
    """Add the rates in order, as copies of `Demand` per row are slow."""
    total[0] += demand.arrived
    total[1] += demand.admitted
    total[2] += demand.unread
    total[3] += demand.output
    total[4] += demand.reading


def _replaces(report: WorkReport, origin: _Origin, now: Millis) -> bool:
    """Return whether the report is of a newer start of the entry.

    Incarnations come from a clock that may have been set back, so any other one
    replaces an entry that is no longer heard.
    """
    if report.incarnation == origin.incarnation:
        return False
    is_silent = now - origin.reported_at > REPORT_LIFETIME
    return report.incarnation > origin.incarnation or is_silent


def _is_newer(report: WorkReport, origin: _Origin) -> bool:
    if report.incarnation != origin.incarnation:
        return False
    if report.sequence == origin.sequence:
        return report.is_whole and origin.gap_at is not None
    return report.sequence > origin.sequence
