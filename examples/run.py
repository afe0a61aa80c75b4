"""Run one example deployment on loopback until Ctrl-C."""

from __future__ import annotations

import argparse
import signal
import sys
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import anyio
import yaml

from examples import hosted
from examples.demo import (
    AGENCY,
    COUNCIL,
    DemoCase,
    make_token,
    publish,
    wait_served,
)
from tests.deployment import (
    EXAMPLES,
    OPERATOR_TOKEN,
    Deployment,
    load_layout,
)
from tests.processes import ROOT, NotMet

BUILD = ROOT / 'build' / 'run'
_CASES = {case.layout: case for case in (AGENCY, COUNCIL)}
_PLATFORM = 'platform'
_POLL_SECONDS = 0.2
_VARIABLES = 'env.sh'


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a deployment; return 0 when every process stopped gracefully."""
    options = _make_parser().parse_args(arguments)
    if options.layout == _PLATFORM:
        anyio.run(hosted.hold)
        return 0
    # Handle SIGTERM like Ctrl-C. Set SIGINT explicitly: a background process
    # of a non-interactive shell starts with it ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    case = _CASES[options.layout]
    directory = BUILD / case.layout
    print_line(
        f'starting {case.layout}, logs in {directory.relative_to(ROOT)}/'
    )
    layout = load_layout(case.layout)
    try:
        with Deployment(layout, directory) as deployment:
            _prepare(deployment, case)
            _print_overview(deployment, case)
            return _wait_for_interrupt(deployment)
    except NotMet as error:
        print_line(f'error: {error}')
        return 1
    except KeyboardInterrupt:
        print_line('stopped before it was up')
        return 1


def print_line(text: str) -> None:
    """Print one line without buffering."""
    print(text, flush=True)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m examples.run', description=__doc__
    )
    parser.add_argument(
        'layout',
        nargs='?',
        choices=[*sorted(_CASES), _PLATFORM],
        default='agency',
        help="%(default)s unless named; platform: as on the users' platform",
    )
    return parser


def _prepare(deployment: Deployment, case: DemoCase) -> None:
    publish(deployment)
    deployment.wait_ready()
    wait_served(deployment, case.model_service, case.team)


def _print_overview(deployment: Deployment, case: DemoCase) -> None:
    path = _write_variables(deployment)
    print_line('\nentries, for callers and operators:')
    for entry in deployment.entries:
        print_line(
            f'  http://{entry.address}  {entry.name}, pid {entry.child.pid}'
        )
    print_line('\nbackend servers, each behind its agent:')
    for server in deployment.servers:
        print_line(
            f'  {server.name:<20} agent pid {server.agent.pid}, '
            f'server pid {server.backend.pid}'
        )
    teams = ', '.join(map(make_token, _list_teams(case)))
    print_line(f'\ntokens of teams: {teams}')
    print_line(f'token of the operator: {OPERATOR_TOKEN}')
    print_line('\nin another terminal:')
    for line in _list_commands(deployment, case, path):
        print_line(f'  {line}')
    print_line('\nCtrl-C stops everything gracefully')


def _write_variables(deployment: Deployment) -> Path:
    entries = ','.join(f'http://{each.address}' for each in deployment.entries)
    lines = (
        f'export OLEANDER_ENTRY={entries}',
        f'export OLEANDER_TOKEN={OPERATOR_TOKEN}',
        f'export PATH={Path(sys.executable).parent}:$PATH',
    )
    path = deployment.directory / _VARIABLES
    path.write_text('\n'.join((*lines, '')), encoding='utf-8')
    return path.relative_to(ROOT)


def _list_teams(case: DemoCase) -> Iterator[str]:
    text = (EXAMPLES / case.layout / 'configuration.yaml').read_text()
    for document in yaml.safe_load_all(text):
        if document['kind'] == 'team':
            yield document['name']


def _list_commands(
    deployment: Deployment, case: DemoCase, path: Path
) -> Iterator[str]:
    token, address = make_token(case.team), deployment.entries[0].address
    logs = path.parent / '*.log'
    yield f'. {path}'
    yield (
        f'curl -N http://{address}/v1/chat/completions '
        f"-H 'authorization: Bearer {token}' "
        f'-d \'{{"model": "{case.model_service}", "stream": true, '
        '"max_tokens": 8, "messages": '
        f'[{{"role": "user", "content": "{case.question}"}}]}}\''
    )
    yield (
        f'curl http://{address}/v1/services/{case.plain_service}'
        f"{case.post_path} -H 'authorization: Bearer {token}' "
        f"-H 'idempotency-key: first-try' -d '{case.post_body}'"
    )
    yield 'oleanderctl status'
    yield f'oleanderctl timeline {logs}'


def _wait_for_interrupt(deployment: Deployment) -> int:
    try:
        while True:
            time.sleep(_POLL_SECONDS)
    except KeyboardInterrupt:
        print_line('\nstopping')
    # A second Ctrl-C interrupts the graceful stop; leaving the context of the
    # deployment then kills the remaining processes.
    codes = deployment.stop()
    for name, code in codes.items():
        if code:
            print_line(f'{name} ended with {code}')
    return 1 if any(codes.values()) else 0


if __name__ == '__main__':
    sys.exit(main())
