"""Heartbeats of an agent to its peers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from weakref import WeakKeyDictionary

from oleanderdyke.agent.configuration import Configuration
from oleanderdyke.agent.outbox import Outbox
from oleanderdyke.agent.roles import Role
from oleanderdyke.clock import Clock
from oleanderdyke.kernel.gate import Gate
from oleanderdyke.kernel.quarantine import Quarantine
from oleanderdyke.links.messages import AgentPhase, Heartbeat, Load
from oleanderdyke.links.messages import Role as PeerRole
from oleanderdyke.links.messages.segments import SegmentEvents

_NO_LOAD = Load()


class HeartbeatSender:
    """Send heartbeats and segment events to all connected peers."""

    def __init__(
        self,
        incarnation: str,
        outboxes: Mapping[str, Outbox],
        *,
        gate: Gate,
        quarantine: Quarantine,
        configuration: Configuration,
        role: Role,
        clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._outboxes = outboxes
        self._gate = gate
        self._quarantine = quarantine
        self._configuration = configuration
        self._role = role
        self._clock = clock
        self._sequence = 0
        self._last_sent: WeakKeyDictionary[Outbox, Heartbeat] = (
            WeakKeyDictionary()
        )
        self.phase = AgentPhase.STARTING

    def set_phase(self, phase: AgentPhase) -> None:
        """Set the phase in heartbeats and in the gate.

        The phase in heartbeats never changes again after LEAVING.
        """
        if self.phase is not AgentPhase.LEAVING:
            self.phase = phase
        self._gate.set_phase(phase)

    def send(self) -> None:
        """Queue a heartbeat for all peers and segment events for entries."""
        heartbeat = self._make_heartbeat()
        events = self._role.segments.drain()
        for outbox in self._outboxes.values():
            self._put_heartbeat(outbox, heartbeat)
            if outbox.peer.role is PeerRole.ENTRY:
                _put_all(outbox, events)

    def send_initial_state(self, outbox: Outbox) -> None:
        """Queue the first messages for a newly connected peer."""
        self._put_heartbeat(outbox, self._make_heartbeat())
        if outbox.peer.role is PeerRole.ENTRY:
            # The entry compares this number with its own and requests the
            # events that it is missing.
            outbox.put(SegmentEvents(self._role.segments.next_number))

    def send_segments(self, outbox: Outbox, after: int = -1) -> None:
        """Queue the segment events from number `after` on.

        Queues the complete set of segments if `after` is -1, or if those
        events are no longer available.
        """
        _put_all(outbox, self._role.segments.list_after(after))

    def _put_heartbeat(self, outbox: Outbox, heartbeat: Heartbeat) -> None:
        """Queue a heartbeat, without unchanged parts if the peer allows it."""
        previous, self._last_sent[outbox] = (
            self._last_sent.get(outbox),
            heartbeat,
        )
        if previous is None or not outbox.peer.takes_short_beats:
            outbox.put(heartbeat)
            return
        outbox.put(omit_unchanged(heartbeat, previous))

    def _make_heartbeat(self) -> Heartbeat:
        self._sequence += 1
        self._gate.record_heartbeat(self._sequence)
        now = self._clock.now()
        loaded = self._role.loaded
        return Heartbeat(
            incarnation=self._incarnation,
            sequence=self._sequence,
            offset=self._configuration.offset,
            phase=self.phase,
            load=self._role.measure(),
            model=loaded.model,
            weight_version=loaded.version,
            weight_digest=loaded.digest,
            adapter=loaded.adapter,
            quarantined=self._quarantine.list_quarantined(now),
            suspects=self._quarantine.list_suspects(now),
        )


def omit_unchanged(heartbeat: Heartbeat, previous: Heartbeat) -> Heartbeat:
    """Return the heartbeat without a load and weights equal to the previous.

    The flags `same_load` and `same_weights` tell the peer to reuse them.
    """
    if heartbeat.load == previous.load:
        heartbeat = replace(heartbeat, load=_NO_LOAD, same_load=True)
    if _get_weights(heartbeat) != _get_weights(previous):
        return heartbeat
    return replace(
        heartbeat,
        model='',
        weight_version='',
        weight_digest='',
        adapter='',
        same_weights=True,
    )


def _get_weights(heartbeat: Heartbeat) -> tuple[str, ...]:
    return (
        heartbeat.model,
        heartbeat.weight_version,
        heartbeat.weight_digest,
        heartbeat.adapter,
    )


def _put_all(outbox: Outbox, events: Iterable[SegmentEvents]) -> None:
    for event in events:
        outbox.put(event)
