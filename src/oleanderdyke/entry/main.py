"""Start an entry from the command line."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator, Sequence

from oleanderdyke import daemon
from oleanderdyke.entry.hosted.shell import run_hosted_entry
from oleanderdyke.entry.settings import EntrySettings, find_faults
from oleanderdyke.entry.shell import run_entry
from oleanderdyke.errors import SettingsError
from oleanderdyke.platform.settings import find_host_settings
from oleanderdyke.policies.registries import ADMISSIONS, ROUTERS

_NAME = 'oleander-entry'
_DESCRIPTION = 'Take the requests of callers and operators.'


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the binary; return its exit code."""
    entry = daemon.Daemon(
        name=_NAME,
        description=_DESCRIPTION,
        settings_type=EntrySettings,
        find_faults=_find_faults,
        serve=run_entry,
        hosted=daemon.Hosted(find_host_settings, run_hosted_entry),
    )
    return entry.run(arguments)


def make_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    return daemon.make_parser(_NAME, _DESCRIPTION)


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


if __name__ == '__main__':
    sys.exit(main())
