"""Sum up the outcomes of one run."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bench.callers import Outcome
from bench.scenarios import WARM_UP, Outage, Scenario
from bench.world import World
from oleanderdyke.clock import SECOND, Millis

_RECOVERED = 0.95
_SLICE = 5
_NEVER: Millis = 120 * SECOND
_LARGE = frozenset({'t0', 't1'})


@dataclass(frozen=True, slots=True)
class Measures:
    """Hold the figures of one run."""

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
    """Return the figures of the visits after the warm-up.

    A visit that got no first token counts as one at its deadline. `link` and
    `background` were counted over the same time.
    """
    visits = [each for each in world.outcomes if each.visit.at >= WARM_UP]
    asked = [each for each in visits if not each.visit.background]
    times = sorted(_get_time(each) for each in asked)
    answered = [each for each in asked if each.first_token is not None]
    tokens = sum(each.visit.tokens for each in answered)
    computed = sum(each.computed for each in answered)
    share = computed / max(1, tokens)
    settings = world.settings
    good = [each for each in asked if each.in_time]
    seconds = (scenario.length - WARM_UP) / SECOND
    count = max(1, len(visits))
    cost = settings.w_recompute * sum(each.computed for each in visits)
    cost += settings.w_link * link
    return Measures(
        ttft_50=_pick(times, 0.5),
        ttft_95=_pick(times, 0.95),
        ttft_99=_pick(times, 0.99),
        recomputed=share,
        link_bytes=link / count,
        cost=cost / count,
        goodput=len(good) / seconds,
        in_time=len(good) / max(1, len(asked)),
        refused=sum(each.refused for each in asked) / max(1, len(asked)),
        fairness=_measure_fairness(asked),
        small_teams=_measure_small(asked),
        background=background / seconds,
        recovery=_measure_recovery(asked, scenario.outage),
    )


def _get_time(outcome: Outcome) -> Millis:
    patience = outcome.deadline - outcome.visit.at
    ttft = outcome.ttft
    return patience if ttft is None else min(ttft, patience)


def _pick(times: Sequence[Millis], share: float) -> Millis:
    if not times:
        return 0.0
    return times[min(len(times) - 1, int(len(times) * share))]


def _measure_small(asked: Sequence[Outcome]) -> float:
    """Return the share of the small teams' visits answered in time."""
    small = [each for each in asked if each.visit.team not in _LARGE]
    return sum(each.in_time for each in small) / max(1, len(small))


def _measure_fairness(asked: Sequence[Outcome]) -> float:
    """Return Jain's index of what teams got of their fair share.

    The fair share of all answers is max-min by weight, and no more than a
    team asked for.
    """
    wanted: dict[str, int] = {}
    got: dict[str, int] = {}
    for each in asked:
        team = each.visit.team
        wanted[team] = wanted.get(team, 0) + 1
        got[team] = got.get(team, 0) + each.in_time
    shares = _share(wanted, float(sum(got.values())))
    ratios = [
        min(1.0, got[team] / shares[team]) for team in wanted if shares[team]
    ]
    squares = sum(ratio * ratio for ratio in ratios)
    if not squares:
        return 0.0
    return sum(ratios) ** 2 / (len(ratios) * squares)


def _share(wanted: dict[str, int], total: float) -> dict[str, float]:
    shares: dict[str, float] = {}
    left = dict(wanted)
    while left:
        weights = sum(_get_weight(team) for team in left)
        unit = total / weights
        full = [t for t in left if left[t] <= unit * _get_weight(t)]
        if not full:
            shares |= {t: unit * _get_weight(t) for t in left}
            return shares
        for team in full:
            shares[team] = float(left.pop(team))
            total -= shares[team]
    return shares


def _get_weight(team: str) -> float:
    return 2.0 if team in _LARGE else 1.0


def _measure_recovery(
    asked: Sequence[Outcome], outage: Outage | None
) -> Millis:
    """Return how long after an outage goodput is back for good.

    Goodput of a second is the share of its arrivals answered in time; it is
    back when five seconds in a row reach 95% of what they were before.
    """
    if outage is None:
        return 0.0
    before = _count_slices(asked, WARM_UP, outage.start)
    usual = _RECOVERED * _mean(before)
    after = _count_slices(asked, outage.end, outage.end + _NEVER)
    for index in range(len(after) - _SLICE + 1):
        if _mean(after[index : index + _SLICE]) >= usual:
            return index * SECOND
    return _NEVER


def _count_slices(
    asked: Sequence[Outcome], start: Millis, end: Millis
) -> list[tuple[int, int]]:
    slices = [(0, 0)] * int((end - start) // SECOND)
    for each in asked:
        index = int((each.visit.at - start) // SECOND)
        if 0 <= index < len(slices):
            good, count = slices[index]
            slices[index] = good + each.in_time, count + 1
    return slices


def _mean(slices: Sequence[tuple[int, int]]) -> float:
    good = sum(each[0] for each in slices)
    return good / max(1, sum(each[1] for each in slices))
