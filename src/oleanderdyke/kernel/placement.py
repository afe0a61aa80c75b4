"""Choose the backend server that a call is sent to."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import nsmallest
from operator import itemgetter

from oleanderdyke.clock import Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.backends import BackendRegistry
from oleanderdyke.kernel.ranks import find_rank
from oleanderdyke.kernel.send_limits import Obstacle
from oleanderdyke.kernel.servers import ModelDemand, ServerStart

# Tokens that a store sends in a millisecond: 18 KB each, at 58 Gbit/s.
_FETCH_TOKENS_PER_MS = 390.0
# What one more running request costs the first token, from the step of
# 3.4 ms that all requests of a batch share.
_RUN_COST: Millis = 1.0
# An engine that takes few requests has little memory beside theirs: a full
# batch costs as much as reading some thousand tokens again.
_FULL_BATCH_COST: Millis = 48.0
# A plain call takes some ten milliseconds in one of few slots.
_PLAIN_REQUEST_COST: Millis = 20.0
# What one request that waits at an engine adds, by what engines begin in a
# second.
_WAITING_COST: Millis = 10.0
# Keeps traffic within a data centre where all else is equal.
_DISTANCE_COST: Millis = 6.0
# A request on old weights loses a fifth of what it earns: as much as being
# late would lose with a probability of a quarter. If every request counted it,
# the first engines on the newest weights would get nearly all, as no entry sees
# in time what the others send: it is counted with the probability that an
# engine has the newest.
_OLD_WEIGHTS_COST: Millis = 150.0
# An engine takes new weights when its runs have ended: each token of an answer
# that is begun there delays that, and all that is sent there meanwhile.
_DRAIN_COST: Millis = 1.0
# A server that fails each request costs as much as waiting for a time-out.
_ERROR_COST: Millis = 1_000.0
# Servers silent for longer than this are skipped while others respond.
# An engine that runs anything sends a byte every few milliseconds; reading
# the longest prompts takes some hundred.
SILENCE_LIMIT: Millis = 500.0
# Servers that may keep a prompt's shared context, so that one crash or one
# crowd does not move all of it.
_CACHE_SERVERS = 2
# What may keep a call from all servers, the reason that passes first in front.
_OBSTACLES_BY_DURATION = (
    Obstacle.COLD,
    Obstacle.LIMITED,
    Obstacle.BACKOFF,
    Obstacle.OUTDATED,
    Obstacle.EVACUATED,
    Obstacle.REGION,
)
_DEFAULT_OBSTACLE = Obstacle.UNLISTED


@dataclass(frozen=True, slots=True)
class CallDemand:
    """Describe a call to be placed; `excluded` starts have failed it.

    `fetchable` tells, by the version of the weights, how many leading tokens
    of the prompt stores hold; a lower `rank` is read first. `drawn` is a number
    from 0 to 1, by which some prefer the newest weights. `memory_tokens`
    is how much each engine of the service holds. `loading` ones take new
    weights now, `draining` ones next. Nothing may begin on `outdated` weights,
    and nothing is sent to `blocked` servers.
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
    memory_tokens: int = 0
    random_value: float = 0.0


@dataclass(frozen=True, slots=True)
class Choice:
    """Name the chosen server and what decided.

    `delay` is how long requests wait there by their first bytes and `waiting`
    how many do by what it told. `fill` is the part of its memory that runs and
    those that wait likely take, `size` what the request takes against their
    mean. It `is_loading` where all servers take new weights, and refuse.
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
    """Terms of the scores of all servers for one call.

    `homes` likely keep its shared context, `older` hold older weights than the
    newest, which cost this call `old_cost`.
    """

    cache_servers: frozenset[str] = frozenset()
    older: frozenset[str] = frozenset()
    old_weights_cost: Millis = 0.0


def choose_backend(
    demand: CallDemand, registry: BackendRegistry, now: Millis
) -> Choice | None:
    """Return the server with the least expected time to the first byte."""
    return choose_among(demand, registry.list_service(demand.service, now), now)


def choose_among(
    demand: CallDemand, backends: Iterable[Backend], now: Millis
) -> Choice | None:
    """Return the best of some servers, None where none may be used."""
    unavailable = demand.excluded | demand.blocked.keys()
    listed = [
        backend
        for backend in backends
        if not (unavailable and backend.record.start in unavailable)
        and not _is_outdated(demand, backend)
    ]
    responsive = [each for each in listed if is_usable(each, now)] or listed
    usable = [
        each for each in responsive if each.record.server not in demand.loading
    ] or responsive
    if not usable:
        return None
    terms = _find_terms(demand, usable)
    scores = [_score(demand, each, terms, now) for each in usable]
    score, best = min(zip(scores, usable, strict=True), key=itemgetter(0))
    mean = _find_mean_memory(usable)
    return Choice(
        best,
        score=score,
        candidates=len(usable),
        expected=_estimate_first_byte(demand, best, now),
        delay=best.find_delay(demand.rank, now),
        waiting=best.count_waiting(now),
        fill=_estimate_memory_use(demand, best, mean, now),
        size=_find_relative_size(demand, mean),
        is_loading=_is_loading(demand, best, now),
    )


def find_obstacle(demand: CallDemand, backends: Iterable[Backend]) -> Obstacle:
    """Return why none of some servers may be used, the most passing reason."""
    found = {
        Obstacle.OUTDATED
        if _is_outdated(demand, backend)
        else demand.blocked.get(backend.record.start, Obstacle.UNLISTED)
        for backend in backends
    }
    return next(
        (each for each in _OBSTACLES_BY_DURATION if each in found),
        _DEFAULT_OBSTACLE,
    )


def is_usable(backend: Backend, now: Millis) -> bool:
    """Return whether nothing speaks against sending to a server."""
    if max(backend.out_until, backend.reload_until) > now:
        return False
    if now - backend.heard < SILENCE_LIMIT:
        return True
    return backend.find_silence(now) < SILENCE_LIMIT


def _is_loading(demand: CallDemand, backend: Backend, now: Millis) -> bool:
    return backend.record.server in demand.loading or backend.reload_until > now


def _is_outdated(demand: CallDemand, backend: Backend) -> bool:
    if demand.model is None or not demand.outdated:
        return False
    return backend.record.versions.get(demand.model.model) in demand.outdated


def _estimate_memory_use(
    demand: CallDemand, chosen: Backend, mean: float, now: Millis
) -> float:
    """Guess how full an engine is from the mix that this entry sends."""
    if not demand.memory_tokens:
        return 0.0
    return chosen.count_present(now) * mean / demand.memory_tokens


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
    """Return the expected time to the first byte of a model's answer."""
    if demand.model is None:
        return 0.0
    fetched, missing = _split_prompt(demand, demand.model, backend)
    estimate_time = backend.reading.estimate_time
    owed_time = estimate_time(backend.count_owed_tokens(demand.rank))
    delay = max(backend.find_delay(demand.rank, now), owed_time)
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
    version = backend.record.versions.get(model.model)
    score = backend.running * _find_run_cost(backend)
    score += backend.count_waiting(now) * _WAITING_COST
    is_fetchable = version is not None and demand.fetchable.get(version, 0)
    if backend.record.server not in terms.cache_servers and not is_fetchable:
        shared = backend.reading.estimate_time(_find_shared_tokens(model))
        score += shared / _CACHE_SERVERS
    return score


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
    """Find what is the same for all servers, or known only beside others."""
    if demand.model is None:
        return _Terms()
    older = _find_older(demand, demand.model, usable)
    share = 1 - len(older) / len(usable)
    return _Terms(
        cache_servers=_find_cache_servers(demand.model, usable),
        older=older,
        old_weights_cost=_OLD_WEIGHTS_COST
        if demand.random_value < share
        else 0.0,
    )


def _find_older(
    demand: CallDemand, model: ModelDemand, usable: Iterable[Backend]
) -> frozenset[str]:
    """Return the servers on older weights than the newest."""
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
    """Return how many tokens are fetched and how many are read."""
    version = backend.record.versions.get(model.model)
    kept = _count_kept(demand, backend)
    fetchable = 0 if version is None else demand.fetchable.get(version, 0)
    fetched = max(fetchable - kept, 0)
    return fetched, max(model.prompt_tokens - kept - fetched, 0)


def _count_kept(demand: CallDemand, backend: Backend) -> int:
    if demand.model is None:
        return 0
    return backend.count_kept(demand.model.parts)


def _find_shared_tokens(model: ModelDemand) -> int:
    # The last part belongs to the request alone.
    return sum(part.tokens for part in model.parts[:-1])


def _find_cache_servers(
    model: ModelDemand, usable: Iterable[Backend]
) -> frozenset[str]:
    """Return where every entry would look for the shared context first."""
    if len(model.parts) < _CACHE_SERVERS:
        return frozenset()
    shared = model.parts[-2].name
    first = nsmallest(
        _CACHE_SERVERS,
        (each.record.server for each in usable),
        key=lambda server: find_rank(shared, server),
    )
    return frozenset(first)
