"""Startup mode of an entry on the users' platform."""

from __future__ import annotations

from oleanderdyke.daemon import Mode, make_hosted_log
from oleanderdyke.entry.hosted.shell import run_hosted_entry
from oleanderdyke.platform.settings import HostSettings, find_host_settings


def make_mode() -> Mode[HostSettings]:
    """Build the mode from its settings, log and server functions."""
    return Mode(
        load=find_host_settings,
        make_log=make_hosted_log,
        serve=run_hosted_entry,
    )
