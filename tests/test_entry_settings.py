from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from oleanderdyke.entry.main import main
from oleanderdyke.entry.settings import EntrySettings, find_faults
from tests.edges import Edge

VALID_SETTINGS = """
process: entry-1
data_centre: here
log: {address: '127.0.0.1:1'}
vms: {address: '127.0.0.1:2'}
"""


@pytest.mark.parametrize(
    ('extra', 'word'),
    [
        ('http: {host: 0.0.0.0}', 'plain text'),
        ('http: {certificate: /nowhere.pem}', 'both or neither'),
        ('plugins: {router: fastest}', 'plugins.router'),
        ('http: {hots: x}', "did you mean 'host'"),
        ('beat: soon', 'a number'),
    ],
)
def test_settings_fault_is_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], extra: str, word: str
):
    path = tmp_path / 'entry.yaml'
    path.write_text(VALID_SETTINGS + extra)
    assert main(['--settings', str(path), '--check']) == 2
    text = capsys.readouterr().err
    assert word in text
    assert str(path) in text


def test_prints_settings_that_load_again(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
):
    path = tmp_path / 'entry.yaml'
    path.write_text(VALID_SETTINGS)
    assert main(['--settings', str(path), '--print-settings']) == 0
    path.write_text(capsys.readouterr().out)
    assert main(['--settings', str(path), '--check']) == 0


def test_plain_text_beyond_loopback_must_be_enabled():
    settings = Edge().core.settings
    assert isinstance(settings, EntrySettings)
    exposed = replace(settings.http, host='10.0.0.1')
    assert find_faults(replace(settings, http=exposed))
    allowed = replace(exposed, plain_text=True)
    assert not find_faults(replace(settings, http=allowed))
