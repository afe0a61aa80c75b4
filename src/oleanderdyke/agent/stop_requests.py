"""Messages of peers that ask an agent to stop."""

from __future__ import annotations

from oleanderdyke.agent.drain_runner import DrainRunner
from oleanderdyke.agent.outbox import Outbox
from oleanderdyke.events import EventName
from oleanderdyke.links.messages import DrainRequest, Role, Superseded
from oleanderdyke.logs import EventLog


class StopRequests:
    """Start the drain of this incarnation of the agent on request."""

    def __init__(
        self,
        process: str,
        incarnation: str,
        drain_runner: DrainRunner,
        *,
        events: EventLog,
    ) -> None:
        self._process = process
        self._incarnation = incarnation
        self._drain_runner = drain_runner
        self._events = events
        self._superseded = False

    def is_superseded(self) -> bool:
        """Return whether a newer incarnation of this agent has taken over."""
        return self._superseded

    def on_drain_request(self, _outbox: Outbox, message: DrainRequest) -> None:
        """Start the drain that an operator has requested."""
        if self._drain_runner.is_leaving:
            return
        self._events.write(EventName.DRAIN_STARTED, operator=message.operator)
        self._drain_runner.signal()

    def on_superseded(self, outbox: Outbox, message: Superseded) -> None:
        """Start the drain because a newer incarnation has taken over.

        Ignores messages for other incarnations, and those not from an entry.
        """
        own = (self._process, self._incarnation)
        if (message.process, message.incarnation) != own:
            return
        if outbox.peer.role is not Role.ENTRY:
            return
        self._superseded = True
        if self._drain_runner.is_leaving:
            return
        self._events.write(
            EventName.DRAIN_STARTED,
            peer=outbox.peer.process,
            reason='superseded',
        )
        self._drain_runner.signal()
