"""The settings of an agent."""

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
    """The address on which an agent accepts links.

    Port 0 lets the system choose one. `plain_text` allows links without TLS on
    an address that is not loopback.
    """

    host: str = '127.0.0.1'
    port: int = 0
    tls: TlsPaths | None = None
    plain_text: bool = False


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """The backend server that an agent runs beside.

    `address` is `ip:port`; `service` is the name of the service, or for a store
    that of its configured object. `checks_fencing` states that the engine
    refuses orders with an outdated fencing token. `missed_probes` failed probes
    in a row mark the server as lost. `body_limit` is in bytes.
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
    """Limits on runs.

    Responses are forwarded in chunks of at most `chunk_size` bytes. The
    response of a run with a claim is recorded if it has at most `record_bytes`.
    `limit` is the longest time of a run, also without a deadline. Above
    `body_bytes` for the bodies of all runs, those that stand still are refused,
    and above one and a half times that others too.
    """

    chunk_size: int = 16 * 1024
    record_bytes: int = 256 * 1024
    limit: Millis = 10 * MINUTE
    body_bytes: int = 64 * _MEBIBYTE


@dataclass(frozen=True, slots=True)
class CacheSettings:
    """Limits on fetches and exports of cached context.

    A fetch is abandoned once a segment takes more than `patience` times the
    time to compute it, or the fetch more than `fetch_timeout`, which also
    bounds each export and each write to a store. `segment_limit` and
    `part_size` are in bytes; `export_queue` counts segments. A store serves up
    to `readers` reads and `writes` writes at once.
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
    """All settings of an agent, read at its start.

    `beat` is the interval between heartbeats. `keeper` names the eviction
    plug-in of a store's agent, `policies` its parameters.
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
    """Return contradictions between settings, each with the keys involved."""
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
