"""Run a daemon from its command line: settings, failures, exit code."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import (
    Awaitable,
    Callable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Generic, Protocol, TypeVar

import anyio

from oleanderdyke import __version__
from oleanderdyke.clock import make_clock
from oleanderdyke.errors import OleanderError, SettingsError
from oleanderdyke.events import EventName, Level
from oleanderdyke.logs import EventLog, make_event_log, make_pipe_log
from oleanderdyke.settings import load_settings, show_settings

_FAILED = 1


class DaemonSettings(Protocol):
    """Hold what every daemon's settings have."""

    @property
    def process(self) -> str:
        """Return the name of the process."""

    @property
    def log_level(self) -> Level:
        """Return the least level that is logged."""


SettingsT = TypeVar('SettingsT', bound=DaemonSettings)


class HostedSettings(Protocol):
    """Hold what the users' platform tells every process."""

    @property
    def process(self) -> str:
        """Return the name of the process."""


HostedT = TypeVar('HostedT', bound=HostedSettings)


@dataclass(frozen=True, slots=True)
class Hosted(Generic[HostedT]):
    """Describe how a daemon runs on the users' platform.

    `load` reads the settings that the platform gives, from a file or from
    where the environment says.
    """

    load: Callable[[Path | None, Mapping[str, str]], HostedT]
    serve: Callable[[HostedT, EventLog], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Daemon(Generic[SettingsT]):
    """Describe a daemon; `find_faults` looks for contradicting settings."""

    name: str
    description: str
    settings_type: type[SettingsT]
    find_faults: Callable[[SettingsT], Iterable[str]]
    serve: Callable[[SettingsT, EventLog], Awaitable[None]]
    hosted: Hosted[Any]

    def run(self, arguments: Sequence[str] | None = None) -> int:
        """Run until the daemon is told to stop; return its exit code."""
        parser = make_parser(self.name, self.description)
        options = parser.parse_args(arguments)
        if options.platform:
            return self._run_hosted(options)
        if options.settings is None:
            parser.error('--settings FILE is needed without --platform')
        try:
            settings = load_settings(
                options.settings,
                self.settings_type,
                os.environ,
                self.find_faults,
            )
        except SettingsError as error:
            error.show()
            return error.exit_code
        if options.print_settings:
            sys.stdout.write(show_settings(settings))
            return 0
        if options.check:
            sys.stdout.write(f'{options.settings}: no faults\n')
            return 0
        return self._serve(settings)

    def _run_hosted(self, options: argparse.Namespace) -> int:
        """Run on the users' platform, whose settings have its own format."""
        try:
            settings = self.hosted.load(options.settings, os.environ)
        except SettingsError as error:
            error.show()
            return error.exit_code
        if options.print_settings:
            sys.stdout.write(show_settings(settings))
            return 0
        if options.check:
            sys.stdout.write('no faults\n')
            return 0
        descriptor = sys.stdout.fileno()
        log = make_pipe_log(settings.process, make_clock(), descriptor)
        return _run(log, self.hosted.serve, settings, log)

    def _serve(self, settings: SettingsT) -> int:
        log = make_event_log(settings.process, settings.log_level)
        return _run(log, self.serve, settings, log)


def _run(
    log: EventLog, serve: Callable[..., Awaitable[None]], *arguments: object
) -> int:
    """Run on one loop; the one place where groups of exceptions end."""
    code = 0
    try:
        anyio.run(serve, *arguments)
    except* Exception as group:
        code = _FAILED
        for error in _flatten(group):
            log.write(
                EventName.PROCESS_FAILED,
                reason=_name_reason(error),
                detail=_describe(error),
            )
    return code


def make_parser(name: str, description: str) -> argparse.ArgumentParser:
    """Build the parser of a daemon's command line."""
    parser = argparse.ArgumentParser(prog=name, description=description)
    parser.add_argument('--version', action='version', version=__version__)
    parser.add_argument(
        '--settings',
        type=Path,
        metavar='FILE',
        help='YAML file with the settings of this process',
    )
    parser.add_argument(
        '--platform',
        action='store_true',
        help="run on the users' platform, with the settings file that it gives",
    )
    parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    parser.add_argument(
        '--print-settings',
        action='store_true',
        help='print the settings in force, without secrets, and exit',
    )
    return parser


def _flatten(group: BaseExceptionGroup[Exception]) -> Iterator[Exception]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flatten(error)
        else:
            yield error


def _name_reason(error: Exception) -> str:
    if isinstance(error, OleanderError):
        return error.kind.value
    return type(error).__name__


def _describe(error: Exception) -> str:
    # Other messages may hold what callers sent, so only the place is told.
    if isinstance(error, OleanderError | OSError):
        return str(error)
    return _find_place(error)


def _find_place(error: Exception) -> str:
    place = error.__traceback__
    while place is not None and place.tb_next is not None:
        place = place.tb_next
    if place is None:
        return ''
    code = place.tb_frame.f_code
    return f'{Path(code.co_filename).name}:{place.tb_lineno}'
