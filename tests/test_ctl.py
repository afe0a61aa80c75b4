from __future__ import annotations

import json
import re
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
import yaml

from oleanderdyke.ctl import main as ctl
from oleanderdyke.ctl.exits import MEANINGS, ExitCode
from oleanderdyke.ctl.output import show_table
from oleanderdyke.links.messages import BackendKind
from tests.deployment import EXAMPLES, Backends, Deployment, Layout
from tests.processes import ROOT, wait_until

# One worker runs the whole file, so that its tests share a deployment.
pytestmark = pytest.mark.xdist_group('ctl')

LAYOUT = Layout(
    'agency',
    'sierra-norte',
    ('sala-quito', 'sala-ibarra'),
    (Backends(BackendKind.PLAIN, 'taquilla', 2),),
)
TEAM = {'kind': 'team', 'name': 'owls', 'spec': {'weight': 2}}


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    directory = tmp_path_factory.mktemp('ctl')
    first = directory / 'first.yaml'
    first.write_text(yaml.safe_dump({**TEAM, 'name': 'first'}))
    with Deployment(LAYOUT, directory, entries=2, shared=True) as running:

        def publish() -> bool:
            return not running.run_ctl('apply', '-f', str(first)).returncode

        # An entry is not ready before the first object was published.
        wait_until(publish, 'the first object is published')
        running.wait_ready()
        yield running


class Terminal:
    """Run commands in this process and capture their output."""

    def __init__(self, capsys: pytest.CaptureFixture[str], path: Path) -> None:
        self._capsys = capsys
        self._path = path
        self.out = ''
        self.err = ''

    def run(self, *arguments: str) -> ExitCode:
        self._capsys.readouterr()
        code = ctl.main(arguments)
        self.out, self.err = self._capsys.readouterr()
        return ExitCode(code)

    def write(self, *documents: object) -> str:
        text = yaml.safe_dump_all(documents, sort_keys=False)
        self._path.write_text(text)
        return str(self._path)

    def apply(self, *documents: object) -> ExitCode:
        return self.run('apply', '-f', self.write(*documents))


@pytest.fixture
def offline(capsys, tmp_path, monkeypatch) -> Terminal:
    monkeypatch.setenv('OLEANDER_TOKEN', 'example-admin')
    monkeypatch.setenv('OLEANDER_ENTRY', '127.0.0.1:1')
    return Terminal(capsys, tmp_path / 'objects.yaml')


@pytest.fixture
def terminal(offline, deployment, monkeypatch) -> Terminal:
    entries = ','.join(entry.address for entry in deployment.entries)
    monkeypatch.setenv('OLEANDER_ENTRY', entries)
    return offline


def test_apply_shows_the_result_for_each_object(terminal):
    path = str(EXAMPLES / 'agency' / 'configuration.yaml')
    assert terminal.run('apply', '-f', path, '--wait') is ExitCode.OK
    assert re.search(r'service/taquilla +created +1', terminal.out)
    assert 'in force in all 4 processes' in terminal.out
    assert terminal.err == ''
    assert terminal.run('diff', '-f', path) is ExitCode.OK
    assert terminal.run('apply', '-f', path) is ExitCode.OK
    assert re.search(r'service/taquilla +unchanged +1', terminal.out)
    assert 'created' not in terminal.out


def test_object_is_created_changed_and_deleted(terminal):
    assert terminal.apply(TEAM) is ExitCode.OK
    changed = {**TEAM, 'spec': {'weight': 3}}
    assert terminal.run('diff', '-f', terminal.write(changed)) is (
        ExitCode.DIFFERS
    )
    assert '-weight: 2.0\n+weight: 3.0' in terminal.out
    assert terminal.apply(changed) is ExitCode.OK
    assert terminal.run('get', 'team', 'owls', '-o', 'yaml') is ExitCode.OK
    (shown,) = yaml.safe_load_all(terminal.out)
    assert (shown['generation'], shown['spec']['weight']) == (2, 3)
    assert terminal.run('delete', 'team', 'owls') is ExitCode.OK
    assert terminal.run('get', 'team', 'owls') is ExitCode.NOT_FOUND
    assert terminal.run('history', 'team', 'owls', '-o', 'json') is ExitCode.OK
    results = [item['result'] for item in json.loads(terminal.out)]
    assert results == ['applied', 'applied', 'applied']


def test_conflict_names_the_winner_and_the_differences(terminal):
    terminal.apply({**TEAM, 'name': 'race'})
    terminal.run('get', 'team', 'race', '-o', 'json')
    (read,) = json.loads(terminal.out)
    terminal.apply({**TEAM, 'name': 'race', 'spec': {'weight': 5}})
    stale = {**read, 'spec': {'weight': 6}}
    assert terminal.run('diff', '-f', terminal.write(stale)) is ExitCode.DIFFERS
    assert re.search(r'expects generation \d+, found \d+', terminal.out)
    assert terminal.apply(stale) is ExitCode.CONFLICT
    lost = r'team/race +conflict +\d+ +.*by example; weight is 5.0, not 6.0'
    assert re.search(lost, terminal.out)
    generation = str(read['generation'])
    stale = ('delete', 'team', 'race', '--generation', generation)
    assert terminal.run(*stale) is ExitCode.CONFLICT


def test_object_refused_by_the_log_is_named(terminal):
    hashes = ['ab' * 32]
    owner = {'kind': 'team', 'name': 'owner', 'spec': {'token_hashes': hashes}}
    assert terminal.apply(owner) is ExitCode.OK
    assert terminal.apply({**owner, 'name': 'thief'}) is ExitCode.CONFLICT
    assert 'a token hash belongs to another team' in terminal.out
    assert hashes[0] not in terminal.out


def test_outcome_is_read_after_the_answer_of_an_append_is_lost(
    terminal, deployment
):
    address = deployment.platform['log']
    deployment.set_faults(address, lose_answers=1)
    try:
        assert terminal.apply({**TEAM, 'name': 'settled'}) is ExitCode.OK
    finally:
        deployment.set_faults(address)
    assert re.search(r'team/settled +created', terminal.out)


def test_unavailable_log_changes_nothing(terminal, deployment):
    address = deployment.platform['log']
    deployment.set_faults(address, down=True)
    try:
        code = terminal.apply({**TEAM, 'name': 'unwritten'})
        assert code is ExitCode.UNAVAILABLE
        assert terminal.run('get', 'team') is ExitCode.OK
    finally:
        deployment.set_faults(address)
    assert terminal.run('get', 'team', 'unwritten') is ExitCode.NOT_FOUND


def test_entry_started_while_the_log_is_down_reads_from_agents(
    terminal, deployment, monkeypatch
):
    path = terminal.write({**TEAM, 'name': 'remembered'})
    assert terminal.run('apply', '-f', path, '--wait') is ExitCode.OK
    address = deployment.platform['log']
    deployment.set_faults(address, down=True)
    try:
        deployment._add_entry(len(deployment.entries))
        entry = deployment.entries.pop()
        entry.child.start()
        wait_until(lambda: deployment.is_ready(entry), 'the new entry is ready')
        monkeypatch.setenv('OLEANDER_ENTRY', entry.address)
        assert terminal.run('get', 'team', 'remembered') is ExitCode.OK
        assert terminal.apply(TEAM) is ExitCode.UNAVAILABLE
    finally:
        deployment.set_faults(address)
    wait_until(
        lambda: terminal.apply(TEAM) is ExitCode.OK, 'the new entry publishes'
    )
    entry.child.terminate()
    assert entry.child.wait() == 0


def test_next_entry_is_asked_and_wait_names_the_silent_one(
    terminal, deployment, monkeypatch
):
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        gone = f'127.0.0.1:{unused.getsockname()[1]}'
        entry = deployment.entries[1].address
        monkeypatch.setenv('OLEANDER_ENTRY', f'{gone},{entry}')
        path = terminal.write({**TEAM, 'name': 'next'})
        code = terminal.run('apply', '-f', path, '--wait', '--timeout', '0.5')
        assert code is ExitCode.TIMED_OUT
        assert re.search(r'team/next +created', terminal.out)
        assert f'without it: http://{gone}' in terminal.err
        assert terminal.run('status') is ExitCode.OK
        assert 'unreachable' in terminal.out


def test_watch_prints_changes_after_an_offset(terminal):
    terminal.apply({**TEAM, 'name': 'seen'})
    terminal.run('get', 'team', 'seen', '-o', 'json')
    terminal.run('history', 'team', 'seen', '-o', 'json')
    offset = json.loads(terminal.out)[0]['offset']
    arguments = ('watch', '--after', str(offset - 1), '--count', '1')
    assert terminal.run(*arguments) is ExitCode.OK
    assert re.search(r'team/seen +applied +\d+ +example', terminal.out)


def test_drained_agent_leaves(terminal, deployment):
    def is_leaving() -> bool:
        terminal.run('status', '-o', 'json')
        agents = [
            agent
            for entry in json.loads(terminal.out)['entries']
            for agent in entry['agents']
            if agent['agent'] == 'taquilla-1'
        ]
        return not any(
            agent['phase'] == 'serving' and agent['condition'] == 'heard'
            for agent in agents
        )

    assert not is_leaving()
    assert terminal.run('drain', 'taquilla-1') is ExitCode.OK
    wait_until(is_leaving, 'the drained agent leaves')
    assert terminal.run('drain', 'nobody') is ExitCode.NOT_FOUND


@pytest.mark.parametrize('token', ['wrong', 'example-visitantes'])
def test_tokens_without_rights_are_refused(terminal, monkeypatch, token):
    monkeypatch.setenv('OLEANDER_TOKEN', token)
    assert terminal.run('get', 'team') is ExitCode.REFUSED
    assert token not in terminal.err


def test_unreachable_entries_have_their_own_code(offline):
    assert offline.run('status') is ExitCode.UNAVAILABLE
    assert offline.apply(TEAM) is ExitCode.UNAVAILABLE


FAULTY = """\
kind: team
name: Not Good
spec:
  weight: -1
---
kind: servise
name: desk
---
kind: service
name: Desk
spec:
  kind: plain
  deadlin: 5
  methods: GET
---
- 1
"""


def test_all_faults_of_a_file_are_reported_with_their_lines(offline, tmp_path):
    path = tmp_path / 'faulty.yaml'
    path.write_text(FAULTY)
    assert offline.run('check', '-f', str(path), '-f', 'none.yaml') is (
        ExitCode.USAGE
    )
    for expected in (
        ":2: name: found 'Not Good'",
        ':4: spec.weight: found -1.0; allowed: above 0',
        ":6: kind: found 'servise'; allowed: one of",
        ":10: name: found 'Desk'",
        ":13: spec.deadlin: unknown key 'deadlin', did you mean 'deadline'?",
        ":14: spec.methods: found 'GET'; allowed: a list",
        ':16: found list; allowed: a mapping',
        'none.yaml: cannot be read',
    ):
        assert expected in offline.err


def test_objects_and_tokens_come_once_in_files(offline):
    hashes = {'token_hashes': ['ab' * 32]}
    teams = [{**TEAM, 'name': name, 'spec': hashes} for name in ('a', 'b')]
    path = offline.write(*teams, teams[0])
    assert offline.run('check', '-f', path) is ExitCode.USAGE
    assert "found 'a' again" in offline.err
    assert "found a token hash of team 'a'" in offline.err
    assert 'abab' not in offline.err


@pytest.mark.parametrize('name', ['agency', 'council'])
def test_example_configurations_have_no_fault(offline, name):
    path = str(EXAMPLES / name / 'configuration.yaml')
    assert offline.run('check', '-f', path) is ExitCode.OK


def test_token_file_is_read_and_a_missing_token_is_reported(
    offline, tmp_path, monkeypatch
):
    monkeypatch.delenv('OLEANDER_TOKEN')
    assert offline.run('status') is ExitCode.USAGE
    assert 'a token is needed' in offline.err
    path = tmp_path / 'token'
    path.write_text('example-admin\n')
    arguments = ('status', '--token-file', str(path))
    assert offline.run(*arguments) is ExitCode.UNAVAILABLE


def test_every_exit_code_is_explained(offline):
    assert set(MEANINGS) == set(ExitCode)
    with pytest.raises(SystemExit):
        offline.run('--help')
    text = ctl.make_parser().format_help()
    page = (ROOT / 'docs' / 'operate' / 'configure.md').read_text()
    for code, meaning in MEANINGS.items():
        assert meaning in text
        assert f'| {code.value} | {meaning} |' in page.replace('`', '')


def test_table_fits_a_terminal(capsys, monkeypatch):
    monkeypatch.setattr('sys.stdout.isatty', lambda: True)
    monkeypatch.setenv('COLUMNS', '40')
    show_table(('A', 'B'), [('x' * 100, 'short'), ('\x1b[31m', 'y')])
    lines = capsys.readouterr().out.splitlines()
    assert max(map(len, lines)) <= 40
    assert '\x1b' not in ''.join(lines)
