"""Define and check the settings of an entry."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from oleanderdyke.clock import MINUTE, SECOND, Millis
from oleanderdyke.entry.http_settings import HttpSettings
from oleanderdyke.events import Level
from oleanderdyke.kernel.claim_records import CLAIMS_LOG
from oleanderdyke.kernel.drain import ENTRY_DRAIN, DrainSettings
from oleanderdyke.kernel.records import CONFIGURATION_LOG
from oleanderdyke.links.pool import PoolSettings
from oleanderdyke.links.tls import TlsPaths
from oleanderdyke.policies.settings import PolicySettings
from oleanderdyke.settings import hide_field
from oleanderdyke.settings_checks import is_loopback

_KIB = 1024
_MIB = 1024 * _KIB
_TOKEN_HASH = re.compile(r'[0-9a-f]{64}')


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Configure the address of the log service and how it is read."""

    address: str
    configuration: str = CONFIGURATION_LOG
    claims: str = CLAIMS_LOG
    page: int = 500
    wait: Millis = 5 * SECOND
    timeout: Millis = 2 * SECOND
    retry: Millis = 250.0
    retention: Millis = 60 * MINUTE


@dataclass(frozen=True, slots=True)
class VmSettings:
    """Configure the address of the VM list and how it is polled.

    Links are opened only to agents in `data_centres`, to all if it is empty.
    """

    address: str
    period: Millis = SECOND
    timeout: Millis = 2 * SECOND
    data_centres: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Configure the group commit of claim records.

    `wait` limits the time from the append of a record to reading it back.
    """

    delay: Millis = 3.0
    batch: int = 64
    wait: Millis = 2 * SECOND


@dataclass(frozen=True, slots=True)
class RequestSettings:
    """Configure the limits of one request; `credit` counts chunks.

    `replica_wait` limits the wait for another replica after a lost run.
    """

    attempts: int = 3
    replica_wait: Millis = 5 * SECOND
    credit: int = 32
    deadline: Millis = 60 * SECOND
    queue_period: Millis = 20.0


@dataclass(frozen=True, slots=True)
class PluginSettings:
    """Select the plug-ins by name."""

    router: str = 'predicted'
    admission: str = 'fair'


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Identify an operator by the hex SHA-256 of the bearer token."""

    name: str
    token_hash: str = hide_field()


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Configure an entry process.

    `beat` is the longest time between heartbeats to an agent. `links_tls`
    secures the links to agents; without it they are plain text, and for
    addresses other than loopback `links_plain_text` has to allow that.
    """

    process: str
    data_centre: str
    log: LogSettings
    vms: VmSettings
    http: HttpSettings = field(default_factory=HttpSettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    requests: RequestSettings = field(default_factory=RequestSettings)
    plugins: PluginSettings = field(default_factory=PluginSettings)
    policies: PolicySettings = field(default_factory=PolicySettings)
    drain: DrainSettings = ENTRY_DRAIN
    links: PoolSettings = field(default_factory=PoolSettings)
    links_tls: TlsPaths = field(default_factory=TlsPaths)
    links_plain_text: bool = False
    operators: tuple[OperatorSettings, ...] = ()
    beat: Millis = 2 * SECOND
    log_level: Level = Level.INFO
    seed: int | None = None


def find_faults(settings: EntrySettings) -> tuple[str, ...]:
    """Return the inconsistencies of the settings, each with its keys."""
    return (
        *_find_http_faults(settings.http),
        *_find_operator_faults(settings.operators),
        *_find_log_faults(settings.log),
        *_find_policy_faults(settings.policies),
    )


def _find_http_faults(http: HttpSettings) -> Iterator[str]:
    if bool(http.certificate) != bool(http.key):
        yield (
            'http.certificate and http.key: found one without the other; '
            'allowed: both or neither'
        )
    for key, path in (('certificate', http.certificate), ('key', http.key)):
        if path and not Path(path).is_file():
            yield f'http.{key}: found {path!r}; allowed: a PEM file'
    if http.certificate or http.plain_text or is_loopback(http.host):
        return
    yield (
        f'http.host: found {http.host!r} in plain text; allowed: a loopback '
        'address, or http.certificate and http.key, or http.plain_text: true'
    )


def _find_log_faults(log: LogSettings) -> Iterator[str]:
    if log.retention <= 0:
        yield f'log.retention: found {log.retention}; allowed: above 0'


def _find_policy_faults(policies: PolicySettings) -> Iterator[str]:
    if policies.entries < 1:
        yield f'policies.entries: found {policies.entries}; allowed: above 0'


def _find_operator_faults(
    operators: tuple[OperatorSettings, ...],
) -> Iterator[str]:
    for index, operator in enumerate(operators):
        if not operator.name:
            yield f'operators.{index}.name: found nothing; allowed: a name'
        if not _TOKEN_HASH.fullmatch(operator.token_hash):
            # The value may be a token entered by mistake, so it is not shown.
            yield (
                f'operators.{index}.token_hash: found something else; '
                'allowed: the hex SHA-256 of a token'
            )
