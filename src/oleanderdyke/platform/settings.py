"""Read the settings file that the platform gives each process."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import SettingsError
from oleanderdyke.platform.names import SETTINGS_VARIABLE

_DEFAULT_PATH = '/etc/oleanderdyke/boot.conf'
_REGION_PREFIX = 'zones.'
_MEGABYTE = 1024 * 1024


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Hold the settings of a process; unknown fields of the file are ignored.

    `callers`, `readiness` and `links` are the addresses to listen on for
    callers, readiness probes and other processes of the system. `server` is the
    address of the backend server beside an agent. Each is empty if not used.
    `is_first_start` is set if the system has not run before.
    `source` is the path of the settings file. `retry_share` and `retry_slack`
    limit the retries of all entries together to a service in any
    `retry_window`. Requests may start with older weights for `version_limit`
    after newer ones were published.
    `regions` maps each data centre to its region.
    A cold server accepts up to its service's rate times `cold_share` plus
    `cold_slack` requests a second.
    Servers write to their list about every `heartbeat`.
    A process that exceeds `memory` bytes is killed; it is infinite if unknown.
    `descriptors` is how many a process may have open, infinite if unknown.
    """

    process: str
    data_centre: str
    ip: str
    store: str
    source: str = ''
    is_first_start: bool = True
    callers: str = ''
    readiness: str = ''
    links: str = ''
    server: str = ''
    grace: Millis = 8 * SECOND
    retry_share: float = 0.2
    retry_slack: float = 50.0
    retry_window: Millis = 10 * SECOND
    version_limit: Millis = math.inf
    regions: Mapping[str, str] = field(default_factory=dict)
    cold_share: float = 1.0
    cold_slack: float = 0.0
    memory: float = math.inf
    descriptors: float = math.inf
    heartbeat: Millis = 1_200.0


def find_host_settings(
    path: Path | None, environ: Mapping[str, str]
) -> HostSettings:
    """Load `path`, or else the file that the environment names.

    Raise SettingsError.
    """
    named = environ.get(SETTINGS_VARIABLE) or _DEFAULT_PATH
    return load_host_settings(path or Path(named))


def load_host_settings(path: Path) -> HostSettings:
    """Load a settings file; raise SettingsError that lists every fault."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((f'{path}: cannot be read: {error}',)) from error
    return parse_host_settings(text, str(path))


def parse_host_settings(text: str, source: str) -> HostSettings:
    """Parse lines of `a.b=value`; raise SettingsError."""
    fields, faults = _split_lines(text, source)
    reader = _Reader(fields, source, faults)
    settings = HostSettings(
        source=source,
        process=reader.require('nodeName'),
        data_centre=reader.require('zone'),
        ip=reader.require('ip'),
        store=reader.require('platform.address'),
        is_first_start=fields.get('firstStart', '') != 'false',
        callers=fields.get('listen.front', ''),
        readiness=fields.get('listen.ready', ''),
        links=reader.find_links(),
        server=fields.get('app', ''),
        grace=reader.read_number('bounds.graceS', 8.0) * SECOND,
        retry_share=reader.read_number('bounds.retryBudgetRatio', 0.2),
        retry_slack=reader.read_number('bounds.retrySlack', 50.0),
        retry_window=reader.read_number('bounds.retryWindowS', 10.0) * SECOND,
        version_limit=reader.read_number('bounds.versionMs', math.inf),
        regions=reader.find_regions(),
        cold_share=reader.read_number('bounds.coldOverage', 1.0),
        cold_slack=reader.read_number('bounds.coldSlack', 0.0),
        memory=reader.read_number('limits.memoryMb', math.inf) * _MEGABYTE,
        descriptors=reader.read_number('limits.maxFds', math.inf),
        heartbeat=reader.read_number('heartbeatMs', 1_200.0),
    )
    if faults:
        raise SettingsError(tuple(faults))
    return settings


class _Reader:
    """Read typed fields, adding a line for each fault to `faults`."""

    def __init__(
        self, fields: Mapping[str, str], source: str, faults: list[str]
    ) -> None:
        self._fields = fields
        self._source = source
        self._faults = faults

    def require(self, name: str) -> str:
        found = self._fields.get(name, '')
        if not found:
            self._faults.append(f'{self._source}: {name}: is missing')
        return found

    def find_links(self) -> str:
        """Return the address for links: the first port of `portRange`."""
        first, _, _ = self._fields.get('portRange', '').partition(',')
        ip = self._fields.get('ip', '')
        return f'{ip}:{first.strip()}' if ip and first.strip().isdigit() else ''

    def find_regions(self) -> dict[str, str]:
        """Return the regions by data centre, this process's own included."""
        found = {
            name.removeprefix(_REGION_PREFIX): region
            for name, region in self._fields.items()
            if name.startswith(_REGION_PREFIX)
        }
        own, region = self._fields.get('zone'), self._fields.get('region')
        return {own: region, **found} if own and region else found

    def read_number(self, name: str, default: float) -> float:
        found = self._fields.get(name, '')
        if not found:
            return default
        try:
            number = float(found)
        except ValueError:
            number = math.nan
        if math.isfinite(number):
            return number
        fault = f'{name}: found {found!r}; allowed: a number'
        self._faults.append(f'{self._source}: {fault}')
        return default


def _split_lines(text: str, source: str) -> tuple[dict[str, str], list[str]]:
    fields: dict[str, str] = {}
    faults: list[str] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        name, mark, content = line.partition('=')
        if not mark:
            faults.append(f'{source}:{number}: found no =; allowed: a.b=value')
        fields[name.strip()] = content.strip()
    return fields, faults
