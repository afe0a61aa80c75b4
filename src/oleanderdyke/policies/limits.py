"""Rate and concurrency limits of teams."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import ErrorKind
from oleanderdyke.kernel.admission import TokenBucket, hash_to_fraction
from oleanderdyke.kernel.demand import Demand, Refusal
from oleanderdyke.kernel.objects import Limits
from oleanderdyke.policies.registries import FindTerms

_CHECKS_PER_SWEEP = 1_000
_JITTER = 0.5
_BUSY_RETRY: Millis = SECOND


@dataclass(slots=True)
class _TeamUse:
    limits: Limits
    started: int = 0
    requests: TokenBucket | None = None
    tokens: TokenBucket | None = None


class TeamLimits:
    """Track the use of teams that have limits.

    Teams without recent requests take no memory.
    """

    def __init__(self, find_terms: FindTerms) -> None:
        self._find_terms = find_terms
        self._team_uses: dict[str, _TeamUse] = {}
        self._checks = 0

    def __len__(self) -> int:
        return len(self._team_uses)

    def check(self, demand: Demand, now: Millis) -> Refusal | None:
        """Return the refusal for a team beyond its limits, None within."""
        limits = self._find_terms(demand.team).limits
        if limits == Limits():
            return None
        use = self._find_use(demand.team, limits, now)
        if limits.concurrency and use.started >= limits.concurrency:
            return _refuse(demand, 'concurrency limit', _BUSY_RETRY)
        wait = use.requests.wait(now) if use.requests else 0.0
        if wait:
            return _refuse(demand, 'request rate limit', wait)
        wait = use.tokens.wait(now) if use.tokens else 0.0
        if wait:
            return _refuse(demand, 'token rate limit', wait)
        return None

    def record_started(self, demand: Demand, now: Millis) -> None:
        """Count a request that was admitted or queued."""
        use = self._team_uses.get(demand.team)
        if use is None:
            return
        use.started += 1
        if use.requests:
            use.requests.take(1, now)
        if use.tokens:
            use.tokens.take(demand.tokens + demand.answer_tokens, now)

    def record_finished(self, team: str, now: Millis) -> None:
        """Count the end of a request that was admitted or queued."""
        use = self._team_uses.get(team)
        if use is not None:
            use.started = max(0, use.started - 1)

    def _find_use(self, team: str, limits: Limits, now: Millis) -> _TeamUse:
        self._sweep(now)
        use = self._team_uses.get(team)
        if use is None or use.limits != limits:
            started = use.started if use else 0
            use = self._team_uses[team] = _make_use(limits, started, now)
        return use

    def _sweep(self, now: Millis) -> None:
        self._checks += 1
        if self._checks % _CHECKS_PER_SWEEP:
            return
        idle = [
            team for team, use in self._team_uses.items() if _is_idle(use, now)
        ]
        for team in idle:
            del self._team_uses[team]


def _make_use(limits: Limits, started: int, now: Millis) -> _TeamUse:
    use = _TeamUse(limits, started)
    if limits.requests_per_second:
        use.requests = TokenBucket(limits.requests_per_second, now)
    if limits.tokens_per_second:
        use.tokens = TokenBucket(limits.tokens_per_second, now)
    return use


def _is_idle(use: _TeamUse, now: Millis) -> bool:
    if use.started:
        return False
    buckets = (use.requests, use.tokens)
    return all(each is None or each.is_full(now) for each in buckets)


def _refuse(demand: Demand, reason: str, wait: Millis) -> Refusal:
    after = wait * (1 + _JITTER * hash_to_fraction(demand.request))
    return Refusal(ErrorKind.RATE_LIMITED, reason, after)
