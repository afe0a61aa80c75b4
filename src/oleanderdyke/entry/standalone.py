"""Run an entry in standalone mode, with settings from a YAML file."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from pathlib import Path

from oleanderdyke.daemon import Mode
from oleanderdyke.entry.settings import EntrySettings, find_faults
from oleanderdyke.entry.shell import run_entry
from oleanderdyke.errors import SettingsError
from oleanderdyke.logs import EventLog, make_event_log
from oleanderdyke.policies.registries import ADMISSIONS, ROUTERS
from oleanderdyke.settings import load_settings, require_file


def make_mode() -> Mode[EntrySettings]:
    """Return the standalone mode for the entry daemon."""
    return Mode(load=_load, make_log=_make_log, serve=run_entry)


def _load(path: Path | None, environ: Mapping[str, str]) -> EntrySettings:
    return load_settings(
        require_file(path), EntrySettings, environ, _find_faults
    )


def _make_log(settings: EntrySettings) -> EventLog:
    return make_event_log(settings.process, settings.log_level)


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
