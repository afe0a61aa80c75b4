"""An agent's copy of the configuration, kept up to date by its peers."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from random import Random

import anyio

from oleanderdyke.agent.outbox import Outbox
from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.events import EventName
from oleanderdyke.kernel.configuration import ConfigurationReader
from oleanderdyke.kernel.objects import (
    ModelVersionSpec,
    ObjectKind,
    ServiceSpec,
    TeamSpec,
    matches_selector,
)
from oleanderdyke.links.messages import (
    ConfigurationDifference,
    ConfigurationRequest,
)
from oleanderdyke.logs import EventLog

_CONFIRM_TIMEOUT: Millis = 200.0
# A peer that does not answer is sent about one request a second until its link
# closes; requests beyond this number are counted together.
_MAX_TRACKED_REQUESTS = 16


@dataclass(slots=True)
class _PendingRequests:
    """Count unanswered requests to one peer, the earliest sent at `sent_at`."""

    sent_at: Millis
    count: int = 1


class Configuration:
    """Synchronize a copy of the configuration with the connected peers.

    Agents have no access to the configuration log: they request what they are
    missing from peers and answer such requests of other peers.
    """

    def __init__(
        self, *, clock: Clock, random: Random, events: EventLog
    ) -> None:
        self._clock = clock
        self._events = events
        self._reader = ConfigurationReader(random)
        self._changed = anyio.Event()
        self._pending_requests: dict[str, deque[_PendingRequests]] = {}
        self._confirmed = anyio.Event()
        self._entries: dict[str, Outbox] = {}
        self.highest_offset = -1
        self.confirmed_at: Millis = -math.inf

    @property
    def offset(self) -> int:
        """Return the log offset of the last applied record, -1 before any."""
        return self._reader.offset

    async def wait_changed(self) -> None:
        """Wait until records have been applied."""
        await self._changed.wait()

    def add_entry(self, outbox: Outbox) -> None:
        """Add an entry that `confirm` may ask for the newest offset."""
        self._entries[outbox.name] = outbox

    def on_peer_offset(self, outbox: Outbox, offset: int) -> None:
        """Record the offset of a peer and request the records missing here."""
        self.highest_offset = max(self.highest_offset, offset)
        now = self._clock.now()
        request = self._reader.on_peer_offset(outbox.name, offset, now)
        if request is not None:
            self._send_request(outbox, request)

    async def confirm(self) -> bool:
        """Ask the entries one by one whether this copy is up to date.

        Returns False if none answers in time. Otherwise `confirmed_at` is the
        time at which the answered request was sent.
        """
        for outbox in tuple(self._entries.values()):
            self._send_request(outbox, ConfigurationRequest(self.offset))
            with anyio.move_on_after(_CONFIRM_TIMEOUT / SECOND):
                await self._confirmed.wait()
                return True
        return False

    def on_difference(
        self, outbox: Outbox, message: ConfigurationDifference
    ) -> None:
        """Apply the records in a peer's answer."""
        now = self._clock.now()
        self.highest_offset = max(self.highest_offset, message.through)
        advanced = self._reader.on_difference(outbox.name, message, now)
        if message.last:
            self._record_answer(outbox)
        if not advanced:
            return
        self._events.write(
            EventName.CONFIGURATION_APPLIED,
            offset=self.offset,
            peer=outbox.peer.process,
        )
        self._changed.set()
        self._changed = anyio.Event()

    async def answer(
        self, outbox: Outbox, request: ConfigurationRequest
    ) -> None:
        """Send a peer the records that it requests; raise LinkClosed."""
        for message in self._reader.answer(request):
            await outbox.send(message)
            # Building a message takes time and sending may not suspend, so let
            # other tasks run in between.
            await anyio.sleep(0)

    def drop_link(self, link: str) -> None:
        """Discard the state of a peer whose link has closed."""
        self._reader.on_peer_disconnected(link)
        self._pending_requests.pop(link, None)
        self._entries.pop(link, None)

    def find_service(self, name: str) -> ServiceSpec | None:
        """Return the spec of a service, None if there is no such service."""
        found = self._reader.catalog.get(ObjectKind.SERVICE, name)
        spec = None if found is None else found.spec
        return spec if isinstance(spec, ServiceSpec) else None

    def list_versions(self) -> tuple[ModelVersionSpec, ...]:
        """Return the specs of all model versions."""
        return tuple(
            found.spec
            for found in self._reader.catalog.list(ObjectKind.MODEL_VERSION)
            if isinstance(found.spec, ModelVersionSpec)
        )

    def allows(self, team: str, service: str) -> bool | None:
        """Return whether a team may use a service.

        None as long as no configuration has been received.
        """
        if self.offset < 0:
            return None
        spec = self.find_service(service)
        found = self._reader.catalog.get(ObjectKind.TEAM, team)
        if spec is None or found is None:
            return False
        if not isinstance(found.spec, TeamSpec):
            return False
        return matches_selector(spec.teams, found.spec.labels)

    def _send_request(
        self, outbox: Outbox, request: ConfigurationRequest
    ) -> None:
        pending = self._pending_requests.setdefault(outbox.name, deque())
        if len(pending) < _MAX_TRACKED_REQUESTS:
            pending.append(_PendingRequests(self._clock.now()))
        else:
            # Every request must be counted: otherwise later answers would be
            # matched to requests sent after their own, and `confirmed_at` would
            # be too recent.
            pending[-1].count += 1
        outbox.put(request)

    def _record_answer(self, outbox: Outbox) -> None:
        pending = self._pending_requests.get(outbox.name)
        if not pending or outbox.name not in self._entries:
            return
        self.confirmed_at = max(self.confirmed_at, pending[0].sent_at)
        pending[0].count -= 1
        if not pending[0].count:
            pending.popleft()
        self._confirmed.set()
        self._confirmed = anyio.Event()
