"""Decide when this entry reports its work, and what it reports.

The load it answers: hundreds of entries whose reports all reach one another.
"""

from __future__ import annotations

import math
from dataclasses import replace
from heapq import nlargest
from itertools import count
from operator import attrgetter

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.scheduling.demand_meter import DemandMeter
from oleanderdyke.kernel.scheduling.work_account import WorkAccount
from oleanderdyke.kernel.scheduling.work_table import make_report
from oleanderdyke.links.messages.news import WorkReport

# A new long run is reported sooner than other changes: no other may follow it.
_MIN_PERIOD: Millis = 40.0
_OTHER_PERIOD_FACTOR = 3.0
# Bounds what each entry receives: 500 reports per second from all others.
_PERIOD_PER_ENTRY: Millis = 2.0
# Bounds the length of a report of changes; the rest follows with the next one.
_MAX_CHANGES = 32
# An unchanged entry reports this often to show that it is alive.
_BEAT_PERIOD: Millis = 250.0
_WHOLE_PERIOD: Millis = 1 * SECOND
_PERIODS_PER_WHOLE = 18
_MAX_DEMAND_ROWS = 64


class ReportSource:
    """Make the reports of this entry, numbered in order."""

    def __init__(
        self,
        entry: str,
        data_centre: str,
        incarnation: int,
        *,
        account: WorkAccount,
        meter: DemandMeter,
    ) -> None:
        self._entry = entry
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._account = account
        self._meter = meter
        self._numbers = count()
        self._reported_at: Millis = -math.inf
        self._whole_at: Millis = -math.inf
        # Nothing was in flight at the last whole report.
        self._is_idle = True

    def make_report(
        self, now: Millis, *, entries: int, is_whole: bool = False
    ) -> WorkReport | None:
        """Return a report if one is due to `entries`, or a whole one."""
        period = max(_MIN_PERIOD, entries * _PERIOD_PER_ENTRY)
        if is_whole:
            return self._make_whole(now)
        if not self._account.has_long_news:
            period *= _OTHER_PERIOD_FACTOR
        if now - self._reported_at < period:
            return None
        whole_period = max(
            _WHOLE_PERIOD, entries * _PERIOD_PER_ENTRY * _PERIODS_PER_WHOLE
        )
        if now - self._whole_at >= whole_period:
            return self._make_whole(now)
        return self._make_difference(now)

    def _make_whole(self, now: Millis) -> WorkReport | None:
        self._whole_at = now
        self._account.clear_changes()
        work = tuple(self._account.list_all())
        demand = nlargest(
            _MAX_DEMAND_ROWS,
            self._meter.list_demand(now),
            key=attrgetter('arrived'),
        )
        was_idle, self._is_idle = self._is_idle, not work and not demand
        if was_idle and self._is_idle:
            return None
        report = replace(self._make_empty(now), is_whole=True)
        return make_report(report, work, demand)

    def _make_difference(self, now: Millis) -> WorkReport | None:
        changes = self._account.take_changes(_MAX_CHANGES)
        is_beat_due = now - self._reported_at >= _BEAT_PERIOD
        if not changes and (self._is_idle or not is_beat_due):
            return None
        self._is_idle = False
        return make_report(self._make_empty(now), changes.items())

    def _make_empty(self, now: Millis) -> WorkReport:
        self._reported_at = now
        return WorkReport(
            self._entry,
            self._incarnation,
            next(self._numbers),
            self._data_centre,
        )
