"""The standalone mode of the agent, configured by a YAML file."""

from __future__ import annotations

import signal
import ssl
from collections.abc import Iterator, Mapping
from pathlib import Path
from random import Random

import anyio

from oleanderdyke.agent.settings import AgentSettings, find_faults
from oleanderdyke.agent.shell import AgentShell
from oleanderdyke.clock import make_clock
from oleanderdyke.daemon import Mode
from oleanderdyke.errors import SettingsError
from oleanderdyke.links.tls import make_client_context, make_server_context
from oleanderdyke.logs import EventLog, make_event_log
from oleanderdyke.policies.registries import KEEPERS
from oleanderdyke.settings import load_settings, require_file


def make_mode() -> Mode[AgentSettings]:
    """Build the standalone mode for `oleanderdyke.daemon`."""
    return Mode(load=_load, make_log=_make_log, serve=_serve)


def _load(path: Path | None, environ: Mapping[str, str]) -> AgentSettings:
    return load_settings(
        require_file(path), AgentSettings, environ, _find_faults
    )


def _make_log(settings: AgentSettings) -> EventLog:
    return make_event_log(settings.process, settings.log_level)


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
