from __future__ import annotations

import re
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest

from tools.days import Play, list_words

DAYS = sorted((Path(__file__).parents[1] / 'deploy' / 'days').glob('*.toml'))
SECONDS = 34.0


@pytest.mark.parametrize('path', DAYS, ids=lambda path: path.stem)
def test_a_day_says_what_it_is_for_and_fits_any_deployment(path):
    text = path.read_text()
    assert re.match(r'# \w[^\n]{20,80}\.\n[^#]', text)
    day = tomllib.loads(text)
    assert day['name'] == path.stem
    assert day['slot'] in {'trouble', 'scale'}
    for entry in (*day['plan'], *day['faults']):
        assert 0 <= entry['at'] < SECONDS
        assert entry['kind']
        places = {'service', 'class', 'zone', 'to_zone', 'region'}
        assert all(entry[key][0] == '@' for key in places & entry.keys())


def test_the_small_twin_of_a_site_is_played_where_that_is_asked_for():
    play = Play(Path('bench'), Path('large.toml'), Path('day.toml'))
    whole = ['bench', 'run', 'large.toml', 'day.toml']
    assert list_words(play) == whole
    assert list_words(replace(play, is_small=True)) == [*whole, '--small']
