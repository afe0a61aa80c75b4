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

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.scheduling.demand_meter import DemandMeter
from oleanderdyke.kernel.scheduling.work import (
    NO_WORK,
    Demand,
    ServerWork,
)
from oleanderdyke.kernel.scheduling.work_account import WorkAccount
from oleanderdyke.kernel.servers import ServerStart
from oleanderdyke.links.messages.news import DemandRow, WorkReport, WorkRow

# An entry with work reports at least twice in this time.
REPORT_LIFETIME: Millis = 1.2 * SECOND
_CHECK_PERIOD: Millis = 50.0
# Reports of an entry that fell silent longer ago can't arrive any more.
_ORIGIN_LIFETIME: Millis = 60 * SECOND
_RATE_DIGITS = 2


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
    rows: dict[ServerStart, ServerWork] = field(default_factory=dict)
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
        self._totals: dict[ServerStart, ServerWork] = {}
        self._checked_at: Millis = -math.inf
        self._heard_at: Millis = -math.inf

    def apply(self, report: WorkReport, now: Millis) -> bool:
        """Apply a report that arrived; return whether it was news.

        Reports of this entry, repeated ones and older ones change nothing.
        """
        self._expire(now)
        if report.entry == self._own:
            return False
        reported_at = now - max(report.age, 0.0)
        origin = self._origins.get(report.entry)
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
        if now - self._checked_at >= _CHECK_PERIOD:
            self._expire(now)
        total = self._totals.get(start, NO_WORK)
        return total + self._account.find(start)

    def list_demand(self, service: str, now: Millis) -> Sequence[Demand]:
        """Return the demand for a service by route and team."""
        self._expire(now)
        sums: defaultdict[tuple[str, str], Demand] = defaultdict(
            lambda: Demand(service, '', '')
        )
        for each in self._list_rows(now):
            if each.service == service:
                key = (each.route, each.team)
                sums[key] = _add_demand(each, sums[key])
        return tuple(sums.values())

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
                yield WorkReport(
                    entry,
                    origin.incarnation,
                    origin.sequence,
                    origin.data_centre,
                    now - origin.reported_at,
                    is_whole=True,
                    work=encode_work(origin.rows.items()),
                    demand=encode_demand(origin.demand),
                )

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
            origin.demand = tuple(
                _decode_demand(each) for each in report.demand
            )
        elif not is_next and origin.gap_at is None:
            origin.gap_at = reported_at
        for row in report.work:
            self._set_row(origin, row)

    def _check(self, origin: _Origin, now: Millis) -> None:
        """Drop the rows of a silent entry; only a whole report restores it."""
        if not origin.is_current(now):
            self._drop_rows(origin)
            if origin.gap_at is None:
                origin.gap_at = origin.reported_at

    def _set_row(self, origin: _Origin, row: WorkRow) -> None:
        start = ServerStart(row.server, row.born)
        work = ServerWork(
            row.unread, row.memory, row.runs, row.long_runs, row.copies
        )
        self._add(start, work - origin.rows.pop(start, NO_WORK))
        if work != NO_WORK:
            origin.rows[start] = work

    def _drop_rows(self, origin: _Origin | None) -> None:
        if origin is None:
            return
        for start, work in origin.rows.items():
            self._add(start, NO_WORK - work)
        origin.rows.clear()
        origin.demand = ()

    def _add(self, start: ServerStart, work: ServerWork) -> None:
        total = self._totals.get(start, NO_WORK) + work
        if total == NO_WORK:
            self._totals.pop(start, None)
        else:
            self._totals[start] = total

    def _expire(self, now: Millis) -> None:
        self._checked_at = now
        for entry, origin in tuple(self._origins.items()):
            self._check(origin, now)
            if now - origin.reported_at > _ORIGIN_LIFETIME:
                del self._origins[entry]


def encode_work(
    rows: Iterable[tuple[ServerStart, ServerWork]],
) -> tuple[WorkRow, ...]:
    """Return the rows of a message."""
    return tuple(
        WorkRow(
            start.server,
            start.born,
            round(work.unread),
            round(work.memory),
            work.runs,
            work.long_runs,
            round(work.copies),
        )
        for start, work in rows
    )


def encode_demand(rows: Iterable[Demand]) -> tuple[DemandRow, ...]:
    """Return the rows of a message."""
    return tuple(
        DemandRow(
            each.service,
            each.route,
            each.team,
            round(each.arrived, _RATE_DIGITS),
            round(each.admitted, _RATE_DIGITS),
            float(round(each.unread)),
            float(round(each.output)),
        )
        for each in rows
    )


def _decode_demand(row: DemandRow) -> Demand:
    return Demand(
        row.service,
        row.route,
        row.team,
        row.arrived,
        row.admitted,
        row.unread,
        row.output,
    )


def _add_demand(one: Demand, other: Demand) -> Demand:
    return replace(
        one,
        arrived=one.arrived + other.arrived,
        admitted=one.admitted + other.admitted,
        unread=one.unread + other.unread,
        output=one.output + other.output,
    )


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
