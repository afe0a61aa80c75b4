"""Start `oleander-agent`, the only way to one backend server."""

from __future__ import annotations

import argparse
import os
import signal
import ssl
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from random import Random

import anyio

from oleanderdyke import __version__
from oleanderdyke.agent.settings import AgentSettings, find_faults
from oleanderdyke.agent.shell import AgentShell
from oleanderdyke.clock import make_clock
from oleanderdyke.errors import OleanderError, SettingsError
from oleanderdyke.events import EventName
from oleanderdyke.links.tls import make_client_context, make_server_context
from oleanderdyke.logs import EventLog, make_event_log
from oleanderdyke.policies.registries import KEEPERS
from oleanderdyke.settings import load_settings, show_settings

_FAILED = 1


def main(argv: Sequence[str] | None = None) -> int:
    """Run the agent and return its exit code."""
    options = make_parser().parse_args(argv)
    try:
        settings = _load(options.settings)
    except SettingsError as error:
        error.show()
        return error.exit_code
    if options.print_settings:
        sys.stdout.write(show_settings(settings))
        return 0
    if options.check:
        sys.stdout.write(f'{options.settings}: no faults\n')
        return 0
    return _run(settings)


def make_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='oleander-agent',
        description='Guard one backend server: engine, plain service or store.',
    )
    parser.add_argument('--version', action='version', version=__version__)
    parser.add_argument(
        '--settings',
        type=Path,
        required=True,
        metavar='FILE',
        help='YAML file with the settings of this process',
    )
    parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    parser.add_argument(
        '--print-settings',
        action='store_true',
        help='print the settings in force and exit',
    )
    return parser


def _load(path: Path) -> AgentSettings:
    return load_settings(path, AgentSettings, os.environ, _find_faults)


def _find_faults(settings: AgentSettings) -> Iterator[str]:
    yield from find_faults(settings)
    try:
        KEEPERS.find(settings.keeper)
    except SettingsError as error:
        yield from (f'keeper: {fault}' for fault in error.faults)


def _run(settings: AgentSettings) -> int:
    events = make_event_log(settings.process, settings.log_level)
    # The one place where groups of exceptions end.
    try:
        anyio.run(_serve, settings, events)
    except* Exception as group:
        for error in _flatten(group):
            _log_failure(events, error)
        failed = True
    else:
        failed = False
    return _FAILED if failed else 0


def _log_failure(events: EventLog, error: Exception) -> None:
    reason = type(error).__name__
    if isinstance(error, OleanderError):
        reason = error.kind.value
    events.write(
        EventName.PROCESS_FAILED, reason=reason, detail=_find_place(error)
    )


def _flatten(group: BaseExceptionGroup[Exception]) -> list[Exception]:
    found: list[Exception] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found += _flatten(error)
        else:
            found.append(error)
    return found


def _find_place(error: Exception) -> str:
    # Messages may hold what callers sent, so only the place is told.
    place = error.__traceback__
    while place is not None and place.tb_next is not None:
        place = place.tb_next
    if place is None:
        return ''
    code = place.tb_frame.f_code
    return f'{Path(code.co_filename).name}:{place.tb_lineno}'


async def _serve(settings: AgentSettings, events: EventLog) -> None:
    tls, client_tls = _make_contexts(settings)
    async with anyio.create_task_group() as tasks:
        shell = AgentShell(
            settings,
            clock=make_clock(),
            random=Random(),
            events=events,
            tasks=tasks,
            tls=tls,
            client_tls=client_tls,
        )
        tasks.start_soon(_watch_signals, shell)
        await shell.run()
        tasks.cancel_scope.cancel()


def _make_contexts(
    settings: AgentSettings,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    paths = settings.listen.tls
    if paths is None:
        return None, None
    return make_server_context(paths), make_client_context(paths)


async def _watch_signals(shell: AgentShell) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            shell.stop(signal.Signals(number).name)


if __name__ == '__main__':
    sys.exit(main())
