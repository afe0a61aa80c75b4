"""Start an entry from the command line."""

from __future__ import annotations

import argparse
import os
import sys
import traceback
from collections.abc import Iterator, Sequence
from pathlib import Path

import anyio

from oleanderdyke import __version__
from oleanderdyke.entry.settings import EntrySettings, find_faults
from oleanderdyke.entry.shell import run_entry
from oleanderdyke.errors import OleanderError, SettingsError
from oleanderdyke.policies import admission, routing
from oleanderdyke.policies.registries import ADMISSIONS, ROUTERS
from oleanderdyke.settings import load_settings, show_settings

# Importing a module of plug-ins registers them.
PLUGINS = (admission, routing)

_FAILED = 1


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the binary; return its exit code."""
    options = make_parser().parse_args(arguments)
    try:
        settings = _load(options.settings)
    except SettingsError as error:
        error.show()
        return error.exit_code
    if options.check:
        sys.stdout.write(f'{options.settings}: no faults\n')
        return 0
    if options.print_settings:
        sys.stdout.write(show_settings(settings))
        return 0
    return _run(settings)


def make_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='oleander-entry',
        description='Take the requests of callers and operators.',
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
        help='print the settings in force, without secrets, and exit',
    )
    return parser


def _load(path: Path) -> EntrySettings:
    return load_settings(path, EntrySettings, os.environ, _find_faults)


def _find_faults(settings: EntrySettings) -> Iterator[str]:
    yield from find_faults(settings)
    for key, name, registry in (
        ('plugins.router', settings.plugins.router, ROUTERS),
        ('plugins.admission', settings.plugins.admission, ADMISSIONS),
    ):
        try:
            registry.find(name)
        except SettingsError as error:
            yield from (f'{key}: {fault}' for fault in error.faults)


def _run(settings: EntrySettings) -> int:
    code = 0
    try:
        anyio.run(run_entry, settings)
    except* Exception as group:
        code = _FAILED
        for error in _flatten(group):
            sys.stderr.write(f'error: {type(error).__name__}: {error}\n')
            if not isinstance(error, OleanderError | OSError):
                traceback.print_exception(error)
    return code


def _flatten(group: BaseExceptionGroup[Exception]) -> Iterator[Exception]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flatten(error)
        else:
            yield error


if __name__ == '__main__':
    sys.exit(main())
