from __future__ import annotations

import enum
import re
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderdyke.entry.settings import EntrySettings, find_faults
from oleanderdyke.errors import SettingsError
from oleanderdyke.kernel.objects import ServiceSpec, TeamSpec
from oleanderdyke.settings import (
    hide_field,
    parse_settings,
    show_settings,
    structure_document,
)
from tests.deployment import Deployment, load_layout
from tests.processes import ROOT

_CORPUS = sorted((ROOT / 'tests/corpus/settings').iterdir())


class _Mode(enum.Enum):
    FAST = 'fast'
    SAFE = 'safe'


@dataclass(frozen=True, slots=True)
class _Log:
    address: str
    retries: int = 3


@dataclass(frozen=True, slots=True)
class _Settings:
    name: str
    log: _Log
    mode: _Mode = _Mode.SAFE
    share: float = 0.5
    peers: tuple[_Log, ...] = ()
    password: str = hide_field(default='')
    weights: dict[str, float] = field(default_factory=dict)
    port: int = 80


_GOOD = 'name: a\nlog:\n  address: 127.0.0.1:1\n'


def _faults(text: str) -> tuple[str, ...]:
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, _Settings, 'a.yaml', {})
    assert caught.value.exit_code == 2
    return caught.value.faults


def test_good_settings_take_defaults() -> None:
    found = parse_settings(_GOOD, _Settings, 'a.yaml', {})
    assert found == _Settings('a', _Log('127.0.0.1:1'))


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (_GOOD + 'moed: safe\n', "4: moed: unknown key 'moed', did you mean"),
        (_GOOD + 'mode: slow\n', "4: mode: found 'slow'; allowed: one of fast"),
        (_GOOD + 'share: a\n', "4: share: found 'a'; allowed: a number"),
        (_GOOD + '  retries: true\n', '4: log.retries: found True; allowed: a'),
        ('name: 3\nlog: {address: x}\n', '1: name: found 3; allowed: a string'),
        ('name: a\nlog: {}\n', "2: log.address: key 'address' is missing"),
        ('name: a\n', "1: log: key 'log' is missing"),
        ('- a\n', '1: found list; allowed: a mapping'),
        (_GOOD + 'log: [\n', ' not valid YAML'),
        (_GOOD + 'peers:\n- address: 4\n', '5: peers.0.address: found 4;'),
        (_GOOD + 'name: b\n', '4: name: found this key again; allowed: once'),
        (_GOOD.replace(':1', ''), "3: log.address: found '127.0.0.1'; allow"),
        (_GOOD + '  retries: -1\n', '4: log.retries: found -1; allowed: 0 or'),
        (_GOOD + 'share: .inf\n', '4: share: found inf; allowed: 0 or more'),
        (_GOOD + 'port: 65536\n', '4: port: found 65536; allowed: 0 to 65535'),
        (_GOOD + 'peers: [{address: a:99999}]\n', '4: peers.0.address: found'),
        (_GOOD + '3: 4\n', "4: 3: unknown key '3', allowed: name, log, mode"),
    ],
)
def test_fault_names_file_line_key_found_and_allowed(
    text: str, expected: str
) -> None:
    assert any(
        fault.startswith(f'a.yaml:{expected}') for fault in _faults(text)
    ), _faults(text)


def test_all_faults_are_reported_at_once() -> None:
    faults = _faults('name: 1\nlog:\n  address: 2\nmode: x\nfoo: 1\nbar: 2\n')
    assert len(faults) == 5


def test_environment_overrides_a_key() -> None:
    environ = {'OLEANDER__LOG__ADDRESS': '127.0.0.1:9', 'PATH': '/bin'}
    found = parse_settings(_GOOD, _Settings, 'a.yaml', environ)
    assert found.log.address == '127.0.0.1:9'


def test_variable_that_is_no_yaml_is_named_without_its_value() -> None:
    environ = {'OLEANDER__PASSWORD': '*sesame'}
    with pytest.raises(SettingsError) as caught:
        parse_settings(_GOOD, _Settings, 'a.yaml', environ)
    assert caught.value.faults == ('OLEANDER__PASSWORD: not valid YAML',)
    assert caught.value.__cause__ is None


def test_fault_that_a_check_finds_gets_its_line() -> None:
    with pytest.raises(SettingsError) as caught:
        parse_settings(
            _GOOD, _Settings, 'a.yaml', {}, lambda _: ['log.address: taken']
        )
    assert caught.value.faults == ('a.yaml:3: log.address: taken',)


def _find_read_faults(text: str) -> tuple[str, ...]:
    try:
        parse_settings(text, EntrySettings, 'a.yaml', {}, find_faults)
    except SettingsError as error:
        return error.faults or ('nothing told',)
    return ()


@pytest.mark.parametrize('path', _CORPUS, ids=lambda path: path.stem)
def test_text_that_once_escaped_the_checks_is_refused(path: Path) -> None:
    with pytest.raises(SettingsError):
        parse_settings(path.read_text(), EntrySettings, path.name, {})


_LINES = (ROOT / 'examples/agency/entry.yaml').read_text().splitlines()
_ODD = ['&a [*a]', '[]', '~', '-1', '1e999', '2026-13-45', '!!set {a}', '|']
_CHANGE = st.tuples(
    st.integers(0, len(_LINES) - 1), st.sampled_from(_ODD) | st.text(max_size=9)
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(_CHANGE, min_size=1, max_size=3) | st.text(max_size=40))
def test_any_text_is_settings_or_refused_with_its_place(changes) -> None:
    text = changes if isinstance(changes, str) else _change(changes)
    assert all(part.startswith('a.yaml') for part in _find_read_faults(text))


def _change(changes: list[tuple[int, str]]) -> str:
    lines = list(_LINES)
    for place, text in changes:
        lines[place] = lines[place].partition(':')[0] + f': {text}'
    return '\n'.join(lines)


def test_secrets_are_hidden_when_printed() -> None:
    found = _Settings('a', _Log('x'), password='open sesame')
    shown = show_settings(found)
    assert 'sesame' not in shown
    assert 'mode: safe' in shown


@pytest.mark.parametrize('hashes', ['secret-token', ['x', 123456]])
def test_token_in_the_place_of_a_hash_is_not_repeated(hashes):
    with pytest.raises(SettingsError) as caught:
        structure_document({'token_hashes': hashes}, TeamSpec, source='f')
    (fault,) = caught.value.faults
    assert re.search('token_hashes.*: found something else; allowed: a', fault)


def test_text_is_no_list_and_no_unknown_member():
    raw = {'kind': 'modell', 'methods': 'GET'}
    with pytest.raises(SettingsError) as caught:
        structure_document(raw, ServiceSpec, source='f')
    assert set(caught.value.faults) == {
        "f: kind: found 'modell'; allowed: one of model, plain",
        "f: methods: found 'GET'; allowed: a list",
    }


def test_an_entry_is_told_of_one_entry_at_least() -> None:
    text = '\n'.join(_LINES)
    assert 'entries: 3' in text
    faults = _find_read_faults(text.replace('entries: 3', 'entries: 0'))
    assert len(faults) == 1
    assert faults[0].endswith('policies.entries: found 0; allowed: above 0')


@pytest.mark.parametrize('name', ['agency', 'council'])
@pytest.mark.parametrize('count', [1, 4])
def test_entries_of_a_deployment_are_told_their_number(
    name: str, count: int, tmp_path: Path
) -> None:
    deployment = Deployment(load_layout(name), tmp_path, entries=count)
    deployment.platform = {'log': '127.0.0.1:1', 'vms': '127.0.0.1:2'}
    try:
        for number in range(count):
            deployment._add_entry(number)
    finally:
        deployment.close()
    texts = [path.read_text() for path in tmp_path.glob('entry-*.yaml')]
    assert len(texts) == count
    for text in texts:
        found = parse_settings(text, EntrySettings, 'a.yaml', {})
        assert found.policies.entries == count
