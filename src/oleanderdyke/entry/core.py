"""Build the state that the requests and tasks of an entry share."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol, TypeAlias

from oleanderdyke.clock import Clock
from oleanderdyke.entry.settings import EntrySettings
from oleanderdyke.events import EventName
from oleanderdyke.kernel.attempts import AttemptSettings
from oleanderdyke.kernel.catalog import Catalog
from oleanderdyke.kernel.claims import ClaimTable
from oleanderdyke.kernel.configuration import (
    ConfigurationReader,
    ReaderSettings,
)
from oleanderdyke.kernel.demand import Admission, Admitted, Refusal, Router
from oleanderdyke.kernel.drain import Drain
from oleanderdyke.kernel.membership import FleetState
from oleanderdyke.kernel.objects import ObjectKind, TeamSpec
from oleanderdyke.kernel.quarantine import (
    Quarantine,
    QuarantineSettings,
    make_quarantine,
)
from oleanderdyke.kernel.retries import (
    RetryBudget,
    RetrySettings,
    make_retry_budget,
)
from oleanderdyke.kernel.targets import TargetMonitors
from oleanderdyke.links.link import Link
from oleanderdyke.links.messages import PROTOCOL_VERSION, Hello, Message, Role
from oleanderdyke.logs import EventLog, make_event_log
from oleanderdyke.metrics import Metrics
from oleanderdyke.policies.exports import ExportPolicy
from oleanderdyke.policies.registries import ADMISSIONS, ROUTERS, TeamTerms

_INCARNATION_BYTES = 8
_NOTHING_PUBLISHED = 'no configuration published yet'
# Time for a change to arrive through the log before peers are asked.
_PEER_REQUEST_DELAY_MS = 250.0

FindLink: TypeAlias = Callable[[str], Link | None]
Spawn: TypeAlias = Callable[..., object]


class RunningRequest(Protocol):
    """Receive events of one running request without blocking."""

    def take(self, message: Message) -> None:
        """Handle a message of an agent about this request."""

    def handle_link_down(self, link: Link) -> None:
        """Handle the loss of a link."""

    def handle_link_up(self, link: Link) -> None:
        """Handle a new link."""

    def end_incarnation(self, agent: str, incarnation: str) -> None:
        """Handle the permanent end of an incarnation of an agent."""

    def release(self, decision: Admitted | Refusal) -> None:
        """Handle the admission decision on the queued request."""

    def hand_over(self) -> None:
        """Direct the caller to resume its stream through another entry."""

    def stop(self, *, immediate: bool) -> None:
        """Handle the stop of the entry; `immediate` cuts the request off."""


def _find_no_link(_: str) -> Link | None:
    return None


def _spawn_nothing(*_: object) -> None:
    raise RuntimeError('spawn called before the entry was started')


@dataclass(slots=True)
class Core:
    """Hold the shared state of one entry."""

    settings: EntrySettings
    clock: Clock
    random: Random
    incarnation: str
    log: EventLog
    metrics: Metrics
    reader: ConfigurationReader
    fleet: FleetState
    claims: ClaimTable
    quarantine: Quarantine
    budget: RetryBudget
    router: Router
    admission: Admission
    exports: ExportPolicy
    drain: Drain
    attempt_settings: AttemptSettings
    running: dict[str, RunningRequest] = field(default_factory=dict)
    targets: TargetMonitors = field(default_factory=TargetMonitors)
    find_link: FindLink = _find_no_link
    # False while a new entry opens its first links to agents.
    links_ready: bool = True
    spawn: Spawn = _spawn_nothing

    @property
    def catalog(self) -> Catalog:
        """Return the configuration that has been applied."""
        return self.reader.catalog

    def make_hello(self) -> Hello:
        """Build the first message that this entry sends on a link."""
        return Hello(
            PROTOCOL_VERSION,
            Role.ENTRY,
            self.settings.process,
            self.incarnation,
            self.settings.data_centre,
            self.reader.offset,
            takes_short_beats=True,
        )

    def find_configuration_fault(self) -> str:
        """Return why the configuration is not usable, or an empty string."""
        readiness = self.reader.readiness(self.clock.now())
        if not readiness.ready:
            return readiness.reason
        return _NOTHING_PUBLISHED if self.reader.offset < 0 else ''

    def find_fault(self) -> str:
        """Return why this entry is not ready, or an empty string."""
        if self.drain.is_leaving:
            return 'stopping'
        fault = self.find_configuration_fault()
        if fault:
            return fault
        return '' if self.links_ready else 'connecting to agents'


def make_core(
    settings: EntrySettings, clock: Clock, log: EventLog | None = None
) -> Core:
    """Build the shared state of an entry from its settings."""
    random = Random(settings.seed)
    reader = ConfigurationReader(
        random,
        ReaderSettings(
            ask_after=_PEER_REQUEST_DELAY_MS,
            snapshot_age=settings.log.retention / 2,
        ),
    )
    catalog = reader.catalog

    def find_terms(team: str) -> TeamTerms:
        found = catalog.get(ObjectKind.TEAM, team)
        if found is None or not isinstance(found.spec, TeamSpec):
            return TeamTerms()
        return TeamTerms(found.spec.weight, found.spec.limits)

    return Core(
        settings=settings,
        clock=clock,
        random=random,
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
        log=log or make_event_log(settings.process, settings.log_level, clock),
        metrics=Metrics(),
        reader=reader,
        fleet=FleetState(catalog),
        claims=ClaimTable(),
        quarantine=make_quarantine(QuarantineSettings()),
        budget=make_retry_budget(RetrySettings(), random),
        router=ROUTERS.find(settings.plugins.router)(settings.policies),
        admission=ADMISSIONS.find(settings.plugins.admission)(
            settings.policies, find_terms
        ),
        exports=ExportPolicy(settings.policies),
        drain=Drain(settings.drain),
        attempt_settings=AttemptSettings(
            claim_timeout=settings.claims.wait,
            max_attempts=settings.requests.attempts,
            replica_wait=settings.requests.replica_wait,
        ),
    )


def log_readiness(core: Core, before: str) -> str:
    """Log a change of readiness; return the current reason, if not ready."""
    fault = core.find_fault()
    if fault == before:
        return fault
    if fault:
        core.log.write(EventName.PROCESS_NOT_READY, reason=fault)
    else:
        core.log.write(EventName.PROCESS_READY, offset=core.reader.offset)
    return fault
