"""The hosted mode of the agent, configured by the users' platform."""

from __future__ import annotations

from oleanderdyke.agent.hosted.shell import run_hosted_agent
from oleanderdyke.daemon import Mode, make_hosted_log
from oleanderdyke.platform.settings import HostSettings, find_host_settings


def make_mode() -> Mode[HostSettings]:
    """Build the hosted mode for `oleanderdyke.daemon`."""
    return Mode(
        load=find_host_settings,
        make_log=make_hosted_log,
        serve=run_hosted_agent,
    )
