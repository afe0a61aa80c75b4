"""Start `oleander-agent`, the only way to one backend server."""

from __future__ import annotations

import argparse
import signal
import ssl
import sys
from collections.abc import Iterator, Sequence
from random import Random

import anyio

from oleanderdyke import daemon
from oleanderdyke.agent.hosted.shell import run_hosted_agent
from oleanderdyke.agent.settings import AgentSettings, find_faults
from oleanderdyke.agent.shell import AgentShell
from oleanderdyke.clock import make_clock
from oleanderdyke.errors import SettingsError
from oleanderdyke.links.tls import make_client_context, make_server_context
from oleanderdyke.logs import EventLog
from oleanderdyke.platform.settings import find_host_settings
from oleanderdyke.policies.registries import KEEPERS

_NAME = 'oleander-agent'
_DESCRIPTION = 'Guard one backend server: engine, plain service or store.'


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the binary; return its exit code."""
    agent = daemon.Daemon(
        name=_NAME,
        description=_DESCRIPTION,
        settings_type=AgentSettings,
        find_faults=_find_faults,
        serve=_serve,
        hosted=daemon.Hosted(find_host_settings, run_hosted_agent),
    )
    return agent.run(arguments)


def make_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    return daemon.make_parser(_NAME, _DESCRIPTION)


def _find_faults(settings: AgentSettings) -> Iterator[str]:
    yield from find_faults(settings)
    try:
        KEEPERS.find(settings.keeper)
    except SettingsError as error:
        yield from (f'keeper: {fault}' for fault in error.faults)


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
