"""The choice of the backend server for a call."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import nsmallest
from operator import itemgetter
from typing import TYPE_CHECKING, Protocol

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.scheduling.ranks import find_rank
from oleanderdyke.kernel.send_limits import Obstacle
from oleanderdyke.kernel.servers import ModelDemand, ServerStart

if TYPE_CHECKING:
    from oleanderdyke.kernel.scheduling.costs import PricedCall

# A store sends context at 58 Gbit/s, 18 KB per token.
_FETCH_TOKENS_PER_MS = 390.0
# Delay of the first token for each running request, from the 3.4 ms step that
# all requests of a batch share.
_RUN_COST: Millis = 1.0
# An engine with few slots has little spare memory: a full batch costs as much
# as prefilling some thousand tokens again.
_FULL_BATCH_COST: Millis = 48.0
# A plain call takes some tens of milliseconds on a server with few slots.
_PLAIN_REQUEST_COST: Millis = 20.0
# Delay for each request that waits at an engine, from the number of requests
# that an engine starts per second.
_WAITING_COST: Millis = 10.0
# Keeps traffic within a data centre if all else is equal.
_DISTANCE_COST: Millis = 6.0
# A request on old weights loses a fifth of its value, as much as a 25 % chance
# of being late. Entries see each other's requests too late: if every request
# counted this cost, nearly all of them would go to the first engines with new
# weights. So it applies with the probability that an engine has the newest
# weights.
_OLD_WEIGHTS_COST: Millis = 150.0
# An engine loads new weights once its running requests have ended, so each
# token of an answer that starts there delays the load, and all requests that
# wait for it.
_DRAIN_COST: Millis = 1.0
# A server that fails every request costs as much as a time-out.
_ERROR_COST: Millis = 1_000.0
# Servers silent for longer than this are skipped while others respond. A busy
# engine sends a byte every few milliseconds; prefilling the longest prompts
# takes some hundred milliseconds.
SILENCE_LIMIT: Millis = 500.0
# Number of servers that cache the shared context of a prompt. More than one, so
# that a single crash or overload does not move all of it.
_CACHE_SERVERS = 2
# Reasons why no server can be used, those that pass soonest first.
_OBSTACLES_BY_DURATION = (
    Obstacle.COLD,
    Obstacle.SETTLING,
    Obstacle.LIMITED,
    Obstacle.BACKOFF,
    Obstacle.OUTDATED,
    Obstacle.EVACUATED,
    Obstacle.REGION,
    Obstacle.SOFTWARE,
)
_DEFAULT_OBSTACLE = Obstacle.UNLISTED


class EngineCosts(Protocol):
    """Costs of engines that replace the usual score of a call."""

    def list_homes(self, backends: Iterable[Backend]) -> list[Backend]:
        """Return the engines that may keep the context of such calls."""

    def price(
        self,
        model: ModelDemand,
        backend: Backend,
        now: Millis,
        *,
        fetched: int,
        missing: int,
    ) -> PricedCall:
        """Describe the call at a server that lacks so much of its prompt."""

    def estimate_first_byte(
        self, call: PricedCall, backend: Backend, now: Millis
    ) -> Millis:
        """Return the expected time to the first byte."""

    def find_score(
        self, call: PricedCall, backend: Backend, now: Millis
    ) -> Millis:
        """Return the score of a server; lower ones are better."""

    def choose(
        self,
        call: PricedCall,
        scores: Sequence[Millis],
        backend: Backend,
        now: Millis,
    ) -> int:
        """Return the index of a score.

        `call` is priced at the `backend` with the lowest score.
        """


@dataclass(frozen=True, slots=True)
class CallDemand:
    """Describe a call to place.

    `excluded` holds the starts that have failed this call. `fetchable` maps
    versions of the weights to the number of leading prompt tokens that stores
    hold. Requests with a lower `rank` are prefilled first. `random_value`, from
    0 to 1, decides whether the call prefers the newest weights. `memory_tokens`
    is the memory of each engine of the service. Only servers with this
    `software` may go on with a stream, and no server with one of the `settling`
    versions may begin one. Servers in `loading` are
    loading new weights, servers in `draining` are next. No call may start on
    `outdated` weights, and nothing is sent to `blocked` servers. `costs`
    replace the usual score of engines.
    """

    service: str
    data_centre: str
    model: ModelDemand | None = None
    rank: int = 0
    newest_version: int | None = None
    fetchable: Mapping[int, int] = field(default_factory=dict)
    excluded: frozenset[ServerStart] = frozenset()
    loading: frozenset[str] = frozenset()
    draining: frozenset[str] = frozenset()
    outdated: frozenset[int | None] = frozenset()
    blocked: Mapping[ServerStart, Obstacle] = field(default_factory=dict)
    software: str | None = None
    settling: frozenset[str] = frozenset()
    memory_tokens: int = 0
    random_value: float = 0.0
    costs: EngineCosts | None = None


@dataclass(frozen=True, slots=True)
class Choice:
    """Hold the chosen server and the figures behind the choice.

    `expected` is the time to the first byte. `delay` is the recent queueing
    time on the server according to first bytes, `waiting` the number of
    requests that wait there according to its reports. `fill` is the estimated
    share of its memory taken by running and waiting requests, `size` the memory
    of this request relative to their mean. `is_loading` is set if all servers
    are loading new weights and refuse requests.
    """

    backend: Backend
    score: Millis
    candidates: int
    expected: Millis
    delay: Millis = 0.0
    waiting: int = 0
    fill: float = 0.0
    size: float = 1.0
    is_loading: bool = False


@dataclass(frozen=True, slots=True)
class _Terms:
    """Terms of the score that depend on all servers together.

    `cache_servers` likely cache the shared context; `older` servers do not have
    the newest weights, which costs this call `old_weights_cost`.
    """

    cache_servers: frozenset[str] = frozenset()
    older: frozenset[str] = frozenset()
    old_weights_cost: Millis = 0.0


def choose_backend(
    demand: CallDemand, registry: BackendRegistry, now: Millis
) -> Choice | None:
    """Return the server with the lowest expected time to first byte."""
    return choose_among(demand, registry.list_service(demand.service, now), now)


def choose_among(
    demand: CallDemand, backends: Iterable[Backend], now: Millis
) -> Choice | None:
    """Return the best of the given servers, None if none may be used."""
    unavailable = demand.excluded | demand.blocked.keys()
    listed = [
        backend
        for backend in backends
        if not (unavailable and backend.record.start in unavailable)
        and not _is_outdated(demand, backend)
        and _find_software_obstacle(demand, backend) is None
    ]
    responsive = [each for each in listed if is_usable(each, now)] or listed
    usable = [
        each for each in responsive if each.record.server not in demand.loading
    ] or responsive
    if not usable:
        return None
    terms = _find_terms(demand, usable)
    scores = [_score(demand, each, terms, now) for each in usable]
    score, best = _choose_scored(demand, scores, usable, now)
    mean = _find_mean_memory(usable)
    return Choice(
        best,
        score=score,
        candidates=len(usable),
        expected=_estimate_first_byte(demand, best, now),
        delay=best.find_queue_delay(demand.rank, now),
        waiting=best.count_waiting(now),
        fill=_estimate_memory_use(demand, best, mean, now),
        size=_find_relative_size(demand, mean),
        is_loading=_is_loading(demand, best, now),
    )


def _choose_scored(
    demand: CallDemand,
    scores: Sequence[Millis],
    usable: Sequence[Backend],
    now: Millis,
) -> tuple[Millis, Backend]:
    """Return the chosen score and its server.

    Entries that know no better choose differently among the servers that would
    differ by little once the call is sent.
    """
    score, best = min(zip(scores, usable, strict=True), key=itemgetter(0))
    if demand.costs is None or demand.model is None:
        return score, best
    fetched, missing = _split_prompt(demand, demand.model, best)
    priced = demand.costs.price(
        demand.model, best, now, fetched=fetched, missing=missing
    )
    index = demand.costs.choose(priced, scores, best, now)
    return scores[index], usable[index]


def find_obstacle(demand: CallDemand, backends: Iterable[Backend]) -> Obstacle:
    """Return why no server may be used, the soonest to pass if several."""
    found = {_find_server_obstacle(demand, backend) for backend in backends}
    return next(
        (each for each in _OBSTACLES_BY_DURATION if each in found),
        _DEFAULT_OBSTACLE,
    )


def is_usable(backend: Backend, now: Millis) -> bool:
    """Return whether a server is neither ejected, loading nor silent."""
    if max(backend.excluded_until, backend.reload_until) > now:
        return False
    if now - backend.last_heard_at < SILENCE_LIMIT:
        return True
    return backend.find_overdue_time(now) < SILENCE_LIMIT


def _is_loading(demand: CallDemand, backend: Backend, now: Millis) -> bool:
    return backend.record.server in demand.loading or backend.reload_until > now


def _find_server_obstacle(demand: CallDemand, backend: Backend) -> Obstacle:
    if _is_outdated(demand, backend):
        return Obstacle.OUTDATED
    obstacle = _find_software_obstacle(demand, backend)
    if obstacle is not None:
        return obstacle
    return demand.blocked.get(backend.record.start, Obstacle.UNLISTED)


def _find_software_obstacle(
    demand: CallDemand, backend: Backend
) -> Obstacle | None:
    """Return why a server's version of the software may not stream."""
    software = backend.record.software
    if demand.software is not None:
        return None if software == demand.software else Obstacle.SOFTWARE
    return Obstacle.SETTLING if software in demand.settling else None


def _is_outdated(demand: CallDemand, backend: Backend) -> bool:
    if demand.model is None or not demand.outdated:
        return False
    return backend.record.versions.get(demand.model.model) in demand.outdated


def _estimate_memory_use(
    demand: CallDemand, chosen: Backend, mean: float, now: Millis
) -> float:
    """Estimate the memory use of an engine from this entry's requests."""
    if not demand.memory_tokens:
        return 0.0
    return chosen.count_active(now) * mean / demand.memory_tokens


def _find_relative_size(demand: CallDemand, mean: float) -> float:
    if demand.model is None or not mean:
        return 1.0
    return demand.model.memory_tokens / mean


def _find_mean_memory(usable: Sequence[Backend]) -> float:
    running = sum(backend.running for backend in usable)
    if not running:
        return 0.0
    return sum(backend.running_tokens for backend in usable) / running


def _estimate_first_byte(
    demand: CallDemand, backend: Backend, now: Millis
) -> Millis:
    """Estimate the time to the first byte of a model's answer."""
    if demand.model is None:
        return 0.0
    fetched, missing = _split_prompt(demand, demand.model, backend)
    if demand.costs is not None:
        priced = demand.costs.price(
            demand.model, backend, now, fetched=fetched, missing=missing
        )
        return demand.costs.estimate_first_byte(priced, backend, now)
    estimate_time = backend.reading.estimate_time
    pending_time = estimate_time(backend.count_pending_tokens(demand.rank))
    delay = max(backend.find_queue_delay(demand.rank, now), pending_time)
    return delay + estimate_time(missing) + fetched / _FETCH_TOKENS_PER_MS


def _score(
    demand: CallDemand,
    backend: Backend,
    terms: _Terms,
    now: Millis,
) -> Millis:
    score = backend.errors * _ERROR_COST
    if backend.record.data_centre != demand.data_centre:
        score += _DISTANCE_COST
    if demand.model is None:
        return score + _score_plain(backend)
    if demand.costs is not None:
        fetched, missing = _split_prompt(demand, demand.model, backend)
        priced = demand.costs.price(
            demand.model, backend, now, fetched=fetched, missing=missing
        )
        score += demand.costs.find_score(priced, backend, now)
        score += _score_cache(demand, demand.model, backend, terms)
        return score + _score_weights(demand, demand.model, backend, terms)
    score += _estimate_first_byte(demand, backend, now)
    score += _score_engine(demand, demand.model, backend, terms, now)
    return score + _score_weights(demand, demand.model, backend, terms)


def _score_plain(backend: Backend) -> Millis:
    load = backend.load
    busy = backend.running
    if load is not None:
        busy = max(busy, load.running + load.waiting)
    return busy * _PLAIN_REQUEST_COST


def _score_engine(
    demand: CallDemand,
    model: ModelDemand,
    backend: Backend,
    terms: _Terms,
    now: Millis,
) -> Millis:
    score = backend.running * _find_run_cost(backend)
    score += backend.count_waiting(now) * _WAITING_COST
    return score + _score_cache(demand, model, backend, terms)


def _score_cache(
    demand: CallDemand, model: ModelDemand, backend: Backend, terms: _Terms
) -> Millis:
    """Return the cost of a server that should not cache the shared context."""
    version = backend.record.versions.get(model.model)
    is_fetchable = version is not None and demand.fetchable.get(version, 0)
    if backend.record.server in terms.cache_servers or is_fetchable:
        return 0.0
    shared = backend.reading.estimate_time(_find_shared_tokens(model))
    return shared / _CACHE_SERVERS


def _score_weights(
    demand: CallDemand, model: ModelDemand, backend: Backend, terms: _Terms
) -> Millis:
    server = backend.record.server
    if server not in terms.older:
        return 0.0
    if server in demand.draining:
        return terms.old_weights_cost + model.output_tokens * _DRAIN_COST
    return terms.old_weights_cost


def _find_terms(demand: CallDemand, usable: Sequence[Backend]) -> _Terms:
    """Find the terms that depend on all servers together."""
    if demand.model is None:
        return _Terms()
    older = _find_older(demand, demand.model, usable)
    share = 1 - len(older) / len(usable)
    homes = usable
    if demand.costs is not None:
        homes = demand.costs.list_homes(usable)
    return _Terms(
        cache_servers=_find_cache_servers(demand.model, homes),
        older=older,
        old_weights_cost=_OLD_WEIGHTS_COST
        if demand.random_value < share
        else 0.0,
    )


def _find_older(
    demand: CallDemand, model: ModelDemand, usable: Iterable[Backend]
) -> frozenset[str]:
    """Return the servers that do not have the newest weights."""
    newest = demand.newest_version
    if newest is None:
        return frozenset()
    return frozenset(
        each.record.server
        for each in usable
        if each.record.versions.get(model.model, newest) < newest
    )


def _find_run_cost(backend: Backend) -> Millis:
    slots = backend.record.slots
    return max(_FULL_BATCH_COST / slots, _RUN_COST) if slots else _RUN_COST


def _split_prompt(
    demand: CallDemand, model: ModelDemand, backend: Backend
) -> tuple[int, int]:
    """Return how many tokens are fetched and how many are prefilled."""
    version = backend.record.versions.get(model.model)
    cached = _count_cached(demand, backend)
    fetchable = 0 if version is None else demand.fetchable.get(version, 0)
    fetched = max(fetchable - cached, 0)
    return fetched, max(model.prompt_tokens - cached - fetched, 0)


def _count_cached(demand: CallDemand, backend: Backend) -> int:
    if demand.model is None:
        return 0
    return backend.count_cached_tokens(demand.model.parts)


def _find_shared_tokens(model: ModelDemand) -> int:
    # The last part belongs to this request alone.
    return sum(part.tokens for part in model.parts[:-1])


def _find_cache_servers(
    model: ModelDemand, usable: Iterable[Backend]
) -> frozenset[str]:
    """Return the servers that every entry prefers for the shared context."""
    if len(model.parts) < _CACHE_SERVERS:
        return frozenset()
    shared = model.parts[-2].name
    first = nsmallest(
        _CACHE_SERVERS,
        (each.record.server for each in usable),
        key=lambda server: find_rank(shared, server),
    )
    return frozenset(first)
