from __future__ import annotations

from itertools import islice

import pytest

from test_drain import ExitsEarly
from test_request_safety import (
    DeafMachine,
    ForgivingGate,
    HopefulMachine,
    ImpatientMachine,
    LastWinsTable,
    MixingMachine,
)
from test_spread import UncheckedCatalog
from test_store_index_safety import ForgetsNamespace, ReusesUnderPin
from tests.matrix import unsafe
from tests.matrix.cells import (
    State,
    list_cells,
    list_pairs,
    list_racing,
    run_cells,
)
from tests.matrix.faults import INJECTORS, Kind
from tests.matrix.points import Point
from tests.matrix.world import Variants


def find_broken(cells, variants=None):
    results = run_cells(list(cells), variants)
    assert results
    return [
        f'{each.cell}: {each.detail}'
        for each in results
        if each.state is State.BROKEN
    ]


@pytest.mark.parametrize('kind', INJECTORS)
def test_promises_hold_under_a_fault_at_every_step(kind):
    cells = [cell for cell in list_cells() if cell.kinds == (kind,)]
    assert find_broken(cells) == []


@pytest.mark.parametrize('list_some', [list_racing, list_pairs])
def test_promises_hold_under_two_faults_together(list_some):
    assert find_broken(list_some()) == []


def test_the_matrix_is_deterministic():
    cells = list(islice(list_cells(), 0, None, 97))
    assert run_cells(cells) == run_cells(cells)


def choose(*kinds, at=None):
    cells = list_racing() if len(kinds) > 1 else list_cells()
    return [
        cell
        for cell in cells
        if cell.kinds == kinds and at in {None, cell.point}
    ]


def test_an_entry_that_never_learns_who_leaves_does_no_harm():
    cells = choose(Kind.CUT, at=Point.LEAVING)
    assert find_broken(cells, Variants(fleet=unsafe.LeaveIgnoringFleet)) == []


@pytest.mark.parametrize(
    ('variants', 'cells', 'promise'),
    [
        (
            Variants(
                store=ReusesUnderPin,
                copy=unsafe.UnverifiedCopy,
                is_whole=unsafe.accept_any_segment,
            ),
            choose(Kind.STORE_KILLED, at=Point.KV_COPY),
            'cached blocks',
        ),
        (
            Variants(store=ForgetsNamespace),
            choose(Kind.WEIGHTS, at=Point.KV_PIN),
            'foreign blocks',
        ),
        (
            Variants(streams=unsafe.SharedStreams),
            choose(Kind.CUT, at=Point.MID_STREAM),
            'teams apart',
        ),
        (
            Variants(gate=unsafe.UncheckedWeightsGate),
            choose(Kind.LINK_SLOW, Kind.WEIGHTS),
            'weights',
        ),
        (
            Variants(catalog=UncheckedCatalog),
            choose(Kind.RACE, at=Point.CONFIGURATION_APPEND),
            'configuration',
        ),
        (
            Variants(machine=ImpatientMachine),
            choose(Kind.FROZEN, at=Point.MID_STREAM),
            'whole answer',
        ),
        (
            Variants(machine=HopefulMachine),
            choose(Kind.AGENT_KILLED, at=Point.FIRST_CHUNK),
            'not run',
        ),
        (
            Variants(machine=ImpatientMachine),
            choose(Kind.FROZEN, at=Point.FIRST_CHUNK),
            'at most once',
        ),
        (
            Variants(table=LastWinsTable),
            choose(Kind.DUPLICATE, at=Point.CLAIM_APPEND),
            'at most once',
        ),
        (
            Variants(gate=ForgivingGate),
            choose(Kind.LINK_SLOW, Kind.DUPLICATE),
            'at most once',
        ),
        (
            Variants(machine=MixingMachine),
            choose(Kind.ENTRY_KILLED, at=Point.RECORDED),
            'whole answer',
        ),
        (
            Variants(
                fleet=unsafe.LeaveIgnoringFleet, gate=unsafe.LeaveIgnoringGate
            ),
            choose(Kind.CUT, at=Point.LEAVING),
            'leaving',
        ),
        (
            Variants(drain=ExitsEarly),
            choose(Kind.CUT, at=Point.LEAVING),
            'planned stop',
        ),
        (
            Variants(catalog=unsafe.WithholdingCatalog),
            choose(Kind.CUT, at=Point.SNAPSHOT),
            'in time',
        ),
        (
            Variants(machine=DeafMachine),
            choose(Kind.VM_REPLACED, at=Point.ADMISSION),
            'answered',
        ),
        (
            Variants(quarantine=unsafe.LenientQuarantine),
            choose(Kind.POISON, at=Point.LEAVING),
            'poison',
        ),
    ],
)
def test_the_matrix_catches_an_unsafe_variant(variants, cells, promise):
    found = find_broken(cells, variants)
    assert any(f'): {promise}: ' in each for each in found)
