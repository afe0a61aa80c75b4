"""Hold the settings of an agent."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from oleanderdyke.clock import MINUTE, SECOND, Millis
from oleanderdyke.events import Level
from oleanderdyke.kernel.drain import DrainSettings
from oleanderdyke.kernel.stream_buffer import StreamLimits
from oleanderdyke.links.link import LinkSettings
from oleanderdyke.links.messages import BackendKind
from oleanderdyke.links.tls import TlsPaths
from oleanderdyke.policies.settings import PolicySettings
from oleanderdyke.settings_checks import is_loopback

_MEBIBYTE = 1024 * 1024


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Say where an agent takes links; port 0 lets the system choose.

    `plain_text` allows links in plain text on an address that is not loopback.
    """

    host: str = '127.0.0.1'
    port: int = 0
    tls: TlsPaths | None = None
    plain_text: bool = False


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """Describe the backend server that an agent guards.

    `address` is `ip:port`; `service` names the service, or for a store its
    configured object. `checks_fencing` says that the engine refuses an order
    with an old fencing number.
    """

    kind: BackendKind
    address: str
    service: str
    checks_fencing: bool = False
    slots: int = 8
    connect_timeout: Millis = SECOND
    probe_interval: Millis = 500.0
    probe_timeout: Millis = 2 * SECOND
    missed_probes: int = 3
    body_limit: int = 8 * _MEBIBYTE


@dataclass(frozen=True, slots=True)
class RunSettings:
    """Bound the answers of runs.

    An answer up to `record_bytes` is kept for the key that claimed its run;
    `limit` ends a run that has no other bound.
    """

    chunk_size: int = 16 * 1024
    record_bytes: int = 256 * 1024
    limit: Millis = 10 * MINUTE
    body_bytes: int = 64 * _MEBIBYTE


@dataclass(frozen=True, slots=True)
class CacheSettings:
    """Bound what fetches and exports of cached context may use.

    A fetch is given up once its segments come more slowly than `patience` times
    the time that computing each would take.
    """

    patience: float = 2.0
    fetch_timeout: Millis = 10 * SECOND
    segment_limit: int = 32 * _MEBIBYTE
    part_size: int = 64 * 1024
    export_queue: int = 256
    readers: int = 16
    writes: int = 16


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Hold everything that an agent reads at its start.

    `keeper` names the plug-in by which a store's agent evicts, `policies` says
    what it weighs.
    """

    process: str
    data_centre: str
    backend: BackendSettings
    listen: ListenSettings = field(default_factory=ListenSettings)
    links: LinkSettings = field(default_factory=LinkSettings)
    beat: Millis = 500.0
    drain: DrainSettings = field(default_factory=DrainSettings)
    streams: StreamLimits = field(default_factory=StreamLimits)
    runs: RunSettings = field(default_factory=RunSettings)
    cache: CacheSettings = field(default_factory=CacheSettings)
    keeper: str = 'expected-saving'
    policies: PolicySettings = field(default_factory=PolicySettings)
    log_level: Level = Level.INFO


def find_faults(settings: AgentSettings) -> tuple[str, ...]:
    """Return what contradicts itself, each fault naming its keys."""
    return tuple(_find_listen_faults(settings.listen))


def _find_listen_faults(listen: ListenSettings) -> Iterator[str]:
    paths = listen.tls
    if paths is not None and not (paths.certificate and paths.key):
        yield (
            'listen.tls: found a certificate or key missing; '
            'allowed: both listen.tls.certificate and listen.tls.key'
        )
    if paths is not None or listen.plain_text or is_loopback(listen.host):
        return
    yield (
        f'listen.host: found {listen.host!r} in plain text; allowed: a '
        'loopback address, or listen.tls, or listen.plain_text: true'
    )
