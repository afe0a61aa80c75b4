"""Entry point of the daemons: command line, settings and exit code."""

from __future__ import annotations

import argparse
import gc
import os
import signal
import sys
from collections.abc import (
    Awaitable,
    Callable,
    Mapping,
    Sequence,
)
from dataclasses import dataclass
from importlib import import_module
from pathlib import Path
from typing import Generic, Protocol, TypeVar

import anyio

from oleanderdyke import __version__
from oleanderdyke.clock import make_clock
from oleanderdyke.errors import (
    SettingsError,
    describe_error,
    find_reason,
    list_causes,
)
from oleanderdyke.events import EventName
from oleanderdyke.logs import EventLog, make_pipe_log

_FAILED = 1


class NamedSettings(Protocol):
    """Settings that all daemons have in common."""

    @property
    def process(self) -> str:
        """Return the name of the process."""


SettingsT = TypeVar('SettingsT', bound=NamedSettings)


@dataclass(frozen=True, slots=True)
class Mode(Generic[SettingsT]):
    """How a daemon runs in one of its modes.

    `load` reads the settings from a file or from where the environment points.
    """

    load: Callable[[Path | None, Mapping[str, str]], SettingsT]
    make_log: Callable[[SettingsT], EventLog]
    serve: Callable[[SettingsT, EventLog], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Daemon:
    """A daemon, with the names of the modules that define its modes.

    Each of these modules has a function `make_mode`. Only the module of the
    selected mode is imported: on the platform all daemons start at the same
    time on small CPU shares and serve no requests until they are loaded.
    """

    name: str
    description: str
    standalone: str
    hosted: str

    def run(self, arguments: Sequence[str] | None = None) -> int:
        """Run until the daemon is stopped; return its exit code."""
        parser = make_parser(self.name, self.description)
        options = parser.parse_args(arguments)
        if options.settings is None and not options.platform:
            parser.error('--settings FILE is needed without --platform')
        module = self.hosted if options.platform else self.standalone
        if options.platform:
            # It reports changed settings, which are about to be read anyway.
            signal.signal(signal.SIGHUP, signal.SIG_IGN)
        mode = _load_mode(module)
        try:
            settings = mode.load(options.settings, os.environ)
        except SettingsError as error:
            error.show()
            return error.exit_code
        if options.print_settings:
            sys.stdout.write(_show_settings(settings))
            return 0
        if options.check:
            file = '' if options.platform else f'{options.settings}: '
            sys.stdout.write(f'{file}no faults\n')
            return 0
        log = mode.make_log(settings)
        return _run(log, mode.serve, settings, log)


def _load_mode(module: str) -> Mode[NamedSettings]:
    """Import a mode without garbage collection, as all of it stays in use."""
    gc.disable()
    mode: Mode[NamedSettings] = import_module(module).make_mode()
    gc.freeze()
    gc.enable()
    return mode


def _show_settings(settings: NamedSettings) -> str:
    """Render settings; imports lazily, as loading the module is slow."""
    return str(import_module('oleanderdyke.settings').show_settings(settings))


def make_hosted_log(settings: NamedSettings) -> EventLog:
    """Create the event log of a daemon on the platform."""
    return make_pipe_log(settings.process, make_clock(), sys.stdout.fileno())


def _run(
    log: EventLog, serve: Callable[..., Awaitable[None]], *arguments: object
) -> int:
    """Run an event loop and log the exceptions that end it."""
    code = 0
    try:
        anyio.run(serve, *arguments)
    except* Exception as group:
        code = _FAILED
        for error in list_causes(group):
            log.write(
                EventName.PROCESS_FAILED,
                reason=find_reason(error),
                detail=describe_error(error),
            )
    return code


def make_parser(name: str, description: str) -> argparse.ArgumentParser:
    """Create the command line parser of a daemon."""
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
