"""Hold the page of draws against the day files and the soak."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

from tools.soak.plan import FaultKind

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / 'docs' / 'draws.md').read_text()
_NEAR_SECONDS = 2.0
_NONE = 'none'


def _read_days():
    paths = (ROOT / 'deploy' / 'days').glob('*.toml')
    days = {path.stem: tomllib.loads(path.read_text()) for path in paths}
    return {name: [*day['plan'], *day['faults']] for name, day in days.items()}


DAYS = _read_days()
PLAYED = {entry['kind'] for entries in DAYS.values() for entry in entries}


def _read_rows():
    """Return the cells of each row on a kind of disruption, by kind."""
    table = PAGE.split('## Disruptions')[1].split('Disruptions of the')[0]
    rows = re.findall(r'^\| `(\w+)` \| (.*) \|$', table, re.MULTILINE)
    return {kind: cells.split(' | ') for kind, cells in rows}


ROWS = _read_rows()


def _list_names(cell):
    return [] if cell == _NONE else cell.replace('`', '').split(', ')


def _is_near(one, other):
    begin, end = one['at'], one['at'] + one.get('for_s', 1.0)
    after, until = other['at'], other['at'] + other.get('for_s', 1.0)
    return after <= end + _NEAR_SECONDS and begin <= until + _NEAR_SECONDS


def _find_beside(kind):
    """Return the kinds that some day plays close to this one."""
    return {
        other['kind']
        for entries in DAYS.values()
        for one in entries
        for other in entries
        if one['kind'] == kind != other['kind'] and _is_near(one, other)
    }


def test_every_kind_that_a_day_plays_has_a_row():
    assert ROWS.keys() >= PLAYED


@pytest.mark.parametrize('kind', ROWS)
def test_row_names_what_plays_its_kind(kind):
    days, beside, soak = map(_list_names, ROWS[kind])
    assert bool(days) == (kind in PLAYED)
    for day in days:
        assert kind in {entry['kind'] for entry in DAYS[day]}
    near = _find_beside(kind)
    assert set(beside) <= near
    assert bool(beside) == bool(near)
    assert set(soak) <= {fault.value for fault in FaultKind}


def test_named_tests_exist():
    names = set(re.findall(r'tests/test_\w+\.py', PAGE))
    assert names
    assert [name for name in names if not (ROOT / name).exists()] == []
