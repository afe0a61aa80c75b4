from __future__ import annotations

import enum
import re
from dataclasses import dataclass, field

import pytest

from oleanderdyke.errors import SettingsError
from oleanderdyke.kernel.objects import ServiceSpec, TeamSpec
from oleanderdyke.settings import (
    hide_field,
    parse_settings,
    show_settings,
    structure_document,
)


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


_GOOD = 'name: a\nlog:\n  address: 127.0.0.1:1\n'


def _faults(text: str) -> tuple[str, ...]:
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, _Settings, 'a.yaml', {})
    assert caught.value.exit_code == 2
    return caught.value.faults


def test_good_settings_take_defaults() -> None:
    settings = parse_settings(_GOOD, _Settings, 'a.yaml', {})
    assert settings == _Settings('a', _Log('127.0.0.1:1'))


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
    settings = parse_settings(_GOOD, _Settings, 'a.yaml', environ)
    assert settings.log.address == '127.0.0.1:9'


def test_secrets_are_hidden_when_printed() -> None:
    settings = _Settings('a', _Log('x'), password='open sesame')
    shown = show_settings(settings)
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
