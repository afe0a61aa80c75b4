from __future__ import annotations

import re
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest

from tools.days import DayRun, make_command

DAYS = sorted((Path(__file__).parents[1] / 'deploy' / 'days').glob('*.toml'))
SECONDS = 34.0


@pytest.mark.parametrize('path', DAYS, ids=lambda path: path.stem)
def test_day_has_a_purpose_line_and_fits_any_deployment(path):
    text = path.read_text()
    assert re.match(r'# \w[^\n]{20,80}\.\n[^#]', text)
    day = tomllib.loads(text)
    assert day['name'] == path.stem
    assert day['slot'] in {'trouble', 'scale'}
    for entry in (*day['plan'], *day['faults']):
        assert 0 <= entry['at'] < day.get('length_s', SECONDS)
        assert entry['kind']
        places = {'service', 'class', 'zone', 'to_zone', 'region'}
        assert all(entry[key][0] == '@' for key in places & entry.keys())


def test_small_option_runs_the_small_variant_of_a_site():
    day_run = DayRun(Path('bench'), Path('large.toml'), Path('day.toml'))
    command = ['bench', 'run', 'large.toml', 'day.toml']
    assert make_command(day_run) == command
    assert make_command(replace(day_run, is_small=True)) == [
        *command,
        '--small',
    ]
