"""Compute the measures of one run from its outcomes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bench.callers import Outcome
from bench.scenarios import WARM_UP, Outage, Scenario
from bench.world import World
from oleanderdyke.clock import SECOND, Millis

_RECOVERED_SHARE = 0.95
_WINDOW_SECONDS = 5
_MAX_RECOVERY: Millis = 120 * SECOND
_LARGE_TEAMS = frozenset({'t0', 't1'})


@dataclass(frozen=True, slots=True)
class Measures:
    """Hold the measures of one run.

    `recomputed`, `in_time`, `refused`, `fairness` and `small_teams` are
    shares; `goodput` is requests per second, `background` tokens per second,
    and `link_bytes` and `cost` are means per visit.
    """

    ttft_50: Millis
    ttft_95: Millis
    ttft_99: Millis
    recomputed: float
    link_bytes: float
    cost: float
    goodput: float
    in_time: float
    refused: float
    fairness: float
    small_teams: float
    background: float
    recovery: Millis


def measure(
    world: World, scenario: Scenario, link: float, background: float
) -> Measures:
    """Return the measures of the visits after the warm-up.

    A visit without a first token counts with its deadline as its time to first
    token. `link` (bytes) and `background` (tokens) are totals over the same
    period.
    """
    visits = [each for each in world.outcomes if each.visit.at >= WARM_UP]
    foreground = [each for each in visits if not each.visit.background]
    times = sorted(_get_time(each) for each in foreground)
    answered = [each for each in foreground if each.first_token is not None]
    tokens = sum(each.visit.tokens for each in answered)
    computed = sum(each.computed for each in answered)
    share = computed / max(1, tokens)
    settings = world.settings
    good = [each for each in foreground if each.in_time]
    seconds = (scenario.length - WARM_UP) / SECOND
    count = max(1, len(visits))
    cost = settings.w_recompute * sum(each.computed for each in visits)
    cost += settings.w_link * link
    return Measures(
        ttft_50=_find_quantile(times, 0.5),
        ttft_95=_find_quantile(times, 0.95),
        ttft_99=_find_quantile(times, 0.99),
        recomputed=share,
        link_bytes=link / count,
        cost=cost / count,
        goodput=len(good) / seconds,
        in_time=len(good) / max(1, len(foreground)),
        refused=sum(each.refused for each in foreground)
        / max(1, len(foreground)),
        fairness=_measure_fairness(foreground),
        small_teams=_measure_small(foreground),
        background=background / seconds,
        recovery=_measure_recovery(foreground, scenario.outage),
    )


def _get_time(outcome: Outcome) -> Millis:
    time_limit = outcome.deadline - outcome.visit.at
    ttft = outcome.ttft
    return time_limit if ttft is None else min(ttft, time_limit)


def _find_quantile(times: Sequence[Millis], share: float) -> Millis:
    if not times:
        return 0.0
    return times[min(len(times) - 1, int(len(times) * share))]


def _measure_small(foreground: Sequence[Outcome]) -> float:
    """Return the share of visits of small teams that are answered in time."""
    small = [each for each in foreground if each.visit.team not in _LARGE_TEAMS]
    return sum(each.in_time for each in small) / max(1, len(small))


def _measure_fairness(foreground: Sequence[Outcome]) -> float:
    """Return Jain's fairness index over the teams.

    It is computed over each team's ratio of answers in time to its fair share.
    The fair share is weighted max-min, capped by the team's demand.
    """
    requested: dict[str, int] = {}
    served: dict[str, int] = {}
    for each in foreground:
        team = each.visit.team
        requested[team] = requested.get(team, 0) + 1
        served[team] = served.get(team, 0) + each.in_time
    shares = _allot_fair_shares(requested, float(sum(served.values())))
    ratios = [
        min(1.0, served[team] / shares[team])
        for team in requested
        if shares[team]
    ]
    squares = sum(ratio * ratio for ratio in ratios)
    if not squares:
        return 0.0
    return sum(ratios) ** 2 / (len(ratios) * squares)


def _allot_fair_shares(
    requested: dict[str, int], total: float
) -> dict[str, float]:
    shares: dict[str, float] = {}
    unallotted = dict(requested)
    while unallotted:
        weights = sum(_get_weight(team) for team in unallotted)
        unit = total / weights
        full = [t for t in unallotted if unallotted[t] <= unit * _get_weight(t)]
        if not full:
            shares |= {t: unit * _get_weight(t) for t in unallotted}
            return shares
        for team in full:
            shares[team] = float(unallotted.pop(team))
            total -= shares[team]
    return shares


def _get_weight(team: str) -> float:
    return 2.0 if team in _LARGE_TEAMS else 1.0


def _measure_recovery(
    foreground: Sequence[Outcome], outage: Outage | None
) -> Millis:
    """Return the time from the end of an outage until goodput has recovered.

    Goodput of a second is the share of its arrivals answered in time. It has
    recovered when its mean over five seconds reaches 95% of the mean before
    the outage.
    """
    if outage is None:
        return 0.0
    before = _count_slices(foreground, WARM_UP, outage.start)
    threshold = _RECOVERED_SHARE * _mean(before)
    after = _count_slices(foreground, outage.end, outage.end + _MAX_RECOVERY)
    for index in range(len(after) - _WINDOW_SECONDS + 1):
        if _mean(after[index : index + _WINDOW_SECONDS]) >= threshold:
            return index * SECOND
    return _MAX_RECOVERY


def _count_slices(
    foreground: Sequence[Outcome], start: Millis, end: Millis
) -> list[tuple[int, int]]:
    slices = [(0, 0)] * int((end - start) // SECOND)
    for each in foreground:
        index = int((each.visit.at - start) // SECOND)
        if 0 <= index < len(slices):
            good, count = slices[index]
            slices[index] = good + each.in_time, count + 1
    return slices


def _mean(slices: Sequence[tuple[int, int]]) -> float:
    good = sum(each[0] for each in slices)
    return good / max(1, sum(each[1] for each in slices))
