"""Routing of messages from peers to the parts of an agent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

from anyio.abc import TaskGroup

from oleanderdyke.agent.configuration import Configuration
from oleanderdyke.agent.heartbeats import HeartbeatSender
from oleanderdyke.agent.outbox import Outbox
from oleanderdyke.agent.readers import Readers
from oleanderdyke.agent.roles import Role
from oleanderdyke.agent.runs import Runs
from oleanderdyke.agent.stop_requests import StopRequests
from oleanderdyke.clock import Clock
from oleanderdyke.errors import ErrorKind
from oleanderdyke.events import EventName
from oleanderdyke.kernel.gate import Gate
from oleanderdyke.kernel.quarantine import Quarantine
from oleanderdyke.links.link import LinkClosed
from oleanderdyke.links.messages import (
    BodyChunk,
    Cancel,
    ConfigurationDifference,
    ConfigurationRequest,
    Credit,
    Dispatch,
    DrainRequest,
    EntryBeat,
    Message,
    Refused,
    Resume,
    Superseded,
)
from oleanderdyke.links.messages.claims import ClaimQuery
from oleanderdyke.links.messages.segments import (
    SegmentListRequest,
    SegmentPart,
    SegmentRead,
    SegmentWrite,
)
from oleanderdyke.logs import EventLog

_Handler: TypeAlias = Callable[[Outbox, Any], None]


class Router:
    """Call the handler for each message; refuse types without a handler."""

    def __init__(
        self,
        *,
        runs: Runs,
        readers: Readers,
        role: Role,
        heartbeats: HeartbeatSender,
        gate: Gate,
        configuration: Configuration,
        quarantine: Quarantine,
        stop_requests: StopRequests,
        clock: Clock,
        events: EventLog,
        tasks: TaskGroup,
    ) -> None:
        self._runs = runs
        self._role = role
        self._heartbeats = heartbeats
        self._gate = gate
        self._configuration = configuration
        self._quarantine = quarantine
        self._clock = clock
        self._events = events
        self._tasks = tasks
        self._handlers: dict[type[Any], _Handler] = {
            EntryBeat: self._on_entry_beat,
            ConfigurationRequest: self._on_configuration_request,
            ConfigurationDifference: configuration.on_difference,
            SegmentListRequest: self._on_list_request,
            Dispatch: runs.dispatch,
            BodyChunk: runs.add_body,
            Cancel: self._on_cancel,
            Credit: readers.grant,
            Resume: readers.resume,
            ClaimQuery: self._on_claim_query,
            SegmentRead: role.on_read,
            SegmentWrite: role.on_write,
            SegmentPart: role.on_part,
            DrainRequest: stop_requests.on_drain_request,
            Superseded: stop_requests.on_superseded,
        }

    def route(self, outbox: Outbox, message: Message) -> None:
        """Handle a message received on the link of an outbox."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(outbox, message)
            return
        if isinstance(message, Refused):
            return
        self._events.write(
            EventName.MESSAGE_REFUSED,
            peer=outbox.peer.process,
            kind=type(message).__name__,
        )
        outbox.put(
            Refused(
                ErrorKind.PROTOCOL,
                f'agents do not accept {type(message).__name__}',
            )
        )

    def _on_entry_beat(self, outbox: Outbox, message: EntryBeat) -> None:
        self._configuration.on_peer_offset(outbox, message.offset)
        self._quarantine.merge(
            message.quarantined, message.suspects, self._clock.now()
        )

    def _on_configuration_request(
        self, outbox: Outbox, message: ConfigurationRequest
    ) -> None:
        self._tasks.start_soon(self._send_configuration, outbox, message)

    async def _send_configuration(
        self, outbox: Outbox, message: ConfigurationRequest
    ) -> None:
        try:
            await self._configuration.answer(outbox, message)
        except LinkClosed:
            return

    def _on_list_request(
        self, outbox: Outbox, message: SegmentListRequest
    ) -> None:
        self._heartbeats.send_segments(outbox, message.after)

    def _on_cancel(self, outbox: Outbox, message: Cancel) -> None:
        self._role.stop_read(outbox, message.request)
        if message.attempt:
            self._runs.cancel(outbox, message)

    def _on_claim_query(self, outbox: Outbox, message: ClaimQuery) -> None:
        outbox.put(self._gate.answer_query(message))
