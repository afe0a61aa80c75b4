"""Check the system's invariants on a world that has become idle."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import TypeAlias

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.catalog import Applied, Catalog
from tests import safety_model as model
from tests.matrix.callers import POISON, Caller
from tests.matrix.faults import LOSING, Kind
from tests.matrix.world import World
from tests.safety_model import Violation

_LEAVE: Millis = 3 * SECOND
_CRASHES = 2
_SERVED = frozenset({'whole', 'gone', 'refused'})

Kinds: TypeAlias = frozenset[Kind]
Check: TypeAlias = Callable[[World, Kinds], None]


def check_blocks(world: World, _: Kinds) -> None:
    """Check that loaded segments were fully written in their namespace."""
    kv = world.kv
    if kv is None:
        return
    for use in kv.uses:
        if kv.owners[use.segment] != use.namespace:
            raise Violation('foreign blocks', use)
        if use.data not in kv.written[use.segment]:
            raise Violation('cached blocks', use)
    if not kv.uses:
        raise Violation('cached blocks', 'nothing was ever used')


def check_weights(world: World, _: Kinds) -> None:
    """Check that each run started on the weights it was bound to."""
    for start in world.starts:
        if start.wanted != start.loaded:
            raise Violation('weights', start)


def check_leaving(world: World, _: Kinds) -> None:
    """Check that no run starts long after an agent decided to leave."""
    for start in world.starts:
        left_at = world.leaving_since.get((start.agent, start.incarnation))
        if left_at is not None and start.at > left_at + _LEAVE:
            raise Violation('leaving', start)


def check_stops(world: World, kinds: Kinds) -> None:
    """Check that a planned stop interrupts no run."""
    if any(world.cuts) and not kinds & LOSING:
        raise Violation('planned stop', world.cuts)


def check_served(world: World, kinds: Kinds) -> None:
    """Check that callers finish, and succeed unless faults allow loss."""
    for caller in world.callers:
        if not caller.done:
            raise Violation('answered', caller.name)
        if not isinstance(caller, Caller) or caller.text == POISON:
            continue
        may_fail = kinds & LOSING and caller.key
        if caller.outcome not in _SERVED and not may_fail:
            detail = (caller.name, caller.outcome, caller.refusals[-3:])
            raise Violation('served', detail)


def check_poison(world: World, _: Kinds) -> None:
    """Check that a request crashes at most two backend servers."""
    counts = Counter(
        digest
        for backend in world.backends.values()
        for crash in backend.crashes
        for digest in crash & world.poison
    )
    if counts and max(counts.values()) > _CRASHES:
        raise Violation('poison', counts)


def check_configuration(world: World, _: Kinds) -> None:
    """Check that configurations follow the log in time and never regress."""
    if world.regressions:
        raise Violation('going back', world.regressions)
    if world.late:
        raise Violation('in time', world.late)
    expected = _apply_log(world)
    digest = expected.digest()
    for name, catalog in world.list_catalogs():
        if catalog.offset != expected.offset:
            raise Violation('in force', (name, catalog.offset, expected.offset))
        if catalog.digest() != digest:
            raise Violation('configuration', name)


def check_races(world: World, _: Kinds) -> None:
    """Check that at most one racing operator wins and results are correct."""
    if not world.operators:
        return
    expected = _apply_log(world)
    for operator in world.operators:
        found = expected.find_outcome(operator.change.record_id)
        if found is None or type(found) is not type(operator.found):
            raise Violation('told', (operator.name, found, operator.found))
    winners = [o for o in world.operators if isinstance(o.found, Applied)]
    if len(winners) > 1:
        raise Violation('race', [o.name for o in winners])


def _apply_log(world: World) -> Catalog:
    catalog = Catalog()
    for record in world.log.logs['configuration']:
        catalog.apply_record(record.offset, record.data)
    return catalog


def check_orders(world: World, _: Kinds) -> None:
    """Check that engines reach the state that the configuration requests."""
    for agent in world.agents.values():
        if agent.orders is None or agent.departure.is_leaving:
            continue
        service = agent.configuration.find_service(agent.service)
        loaded = agent.backend.loaded.version
        if service is not None and service.version != loaded:
            raise Violation('orders', (agent.name, loaded))


def _reuse(check: Callable[[model.World], None]) -> Check:
    def run(world: World, _: Kinds) -> None:
        check(world)  # type: ignore[arg-type]  # reads only runs and calls

    return run


PROMISES: Mapping[int, Sequence[Check]] = {
    1: (check_blocks,),
    2: (_reuse(model.check_teams),),
    3: (check_weights, check_orders),
    4: (_reuse(model.check_whole_answer), check_served),
    5: (_reuse(model.check_not_run),),
    6: (
        _reuse(model.check_one_run),
        _reuse(model.check_same_answer),
        check_poison,
    ),
    7: (check_leaving,),
    8: (check_stops,),
    9: (check_configuration, check_races),
}


def check_all(world: World, kinds: Kinds) -> None:
    """Raise Violation for the first invariant that does not hold."""
    for checks in PROMISES.values():
        for check in checks:
            check(world, kinds)
