"""Handle the links to agents and their messages."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import anyio

from oleanderdyke.clock import SECOND
from oleanderdyke.entry.configuration import ConfigurationFeed
from oleanderdyke.entry.core import Core
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.links.link import Link
from oleanderdyke.links.messages import (
    AgentPhase,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    ConfigurationDifference,
    ConfigurationRequest,
    EntryBeat,
    Failed,
    Heartbeat,
    Message,
    Refused,
    Superseded,
)
from oleanderdyke.links.messages.claims import ClaimAnswer
from oleanderdyke.links.messages.segments import SegmentEvents
from oleanderdyke.metrics import Count, Gauge


class AgentLinks:
    """Dispatch messages and state changes of the links to agents."""

    def __init__(self, core: Core, feed: ConfigurationFeed) -> None:
        self._core = core
        self._feed = feed
        self._incarnations: dict[str, str] = {}
        self._processes: dict[str, str] = {}
        self._phases: dict[str, AgentPhase] = {}
        self._beat_number = 0
        self._beat_due = anyio.Event()
        self._handlers: Mapping[type[Message], Callable[[Link, Any], None]] = {
            AnswerHead: self._forward_to_request,
            AnswerChunk: self._forward_to_request,
            AnswerEnd: self._forward_to_request,
            Failed: self._forward_to_request,
            ClaimAnswer: self._forward_to_request,
            Heartbeat: self._handle_heartbeat,
            SegmentEvents: self._handle_segments,
            ConfigurationRequest: feed.answer,
            ConfigurationDifference: feed.apply_difference,
            Refused: self._log_refused,
        }

    async def on_up(self, link: Link) -> None:
        """Register a new link, or close that of a superseded incarnation."""
        core, peer = self._core, link.peer
        known = core.fleet.on_hello(peer, link.address, core.clock.now())
        if not known:
            core.log.write(
                EventName.LINK_REFUSED,
                peer=peer.process,
                incarnation=peer.incarnation,
            )
            await _send(link, Superseded(peer.process, peer.incarnation))
            await link.close()
            return
        core.log.write(
            EventName.LINK_UP,
            peer=peer.process,
            incarnation=peer.incarnation,
            address=link.address,
        )
        self._replace_incarnations(link)
        for running in tuple(core.running.values()):
            running.handle_link_up(link)
        self._feed.add_link(link)
        core.spawn(self._send_beats, link)

    async def on_message(self, link: Link, message: Message) -> None:
        """Handle one message that the link could not hand to `take`."""
        self.take(link, message)

    def take(self, link: Link, message: Message) -> None:
        """Handle one message without blocking."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self._core.log.write(
                EventName.MESSAGE_REFUSED,
                peer=link.peer.process,
                kind=type(message).__name__,
            )
            return
        handler(link, message)

    async def on_down(self, link: Link) -> None:
        """Notify the fleet, the feed and running requests of a lost link."""
        core, peer = self._core, link.peer
        counters = link.counters
        core.metrics.add(
            Count.CONTROL_BYTES, counters.control_in + counters.control_out
        )
        core.metrics.add(Count.DATA_BYTES, counters.data_in + counters.data_out)
        core.log.write(
            EventName.LINK_DOWN,
            peer=peer.process,
            incarnation=peer.incarnation,
        )
        if core.find_link(peer.process) is None:
            core.fleet.on_link_down(peer.process, peer.incarnation)
        self._feed.drop_link(link)
        for running in tuple(core.running.values()):
            running.handle_link_down(link)

    def _replace_incarnations(self, link: Link) -> None:
        """End earlier incarnations with the same process name or address."""
        process, incarnation = link.peer.process, link.peer.incarnation
        former = self._processes.get(link.address, process)
        self._processes[link.address] = process
        for name in {former, process}:
            old = self._incarnations.pop(name, incarnation)
            if old != incarnation:
                self._phases.pop(name, None)
                for running in tuple(self._core.running.values()):
                    running.end_incarnation(name, old)
        self._incarnations[process] = incarnation

    def _forward_to_request(
        self,
        _: Link,
        message: AnswerHead | AnswerChunk | AnswerEnd | Failed | ClaimAnswer,
    ) -> None:
        running = self._core.running.get(message.request)
        if running is not None:
            running.take(message)

    def _handle_heartbeat(self, link: Link, beat: Heartbeat) -> None:
        core, agent = self._core, link.peer.process
        now = core.clock.now()
        self._merge_quarantine(beat)
        if not core.fleet.on_heartbeat(agent, beat, now):
            self._notify_superseded(link, beat)
            return
        self._update_phase(agent, beat.phase)
        self._feed.handle_peer_offset(link, beat.offset)

    def _notify_superseded(self, link: Link, beat: Heartbeat) -> None:
        """Notify an agent that a newer incarnation has replaced it."""
        agent = link.peer.process
        latest = self._incarnations.get(agent, beat.incarnation)
        if latest != beat.incarnation:
            notice = Superseded(agent, beat.incarnation)
            self._core.spawn(_send, link, notice)

    def _update_phase(self, agent: str, phase: AgentPhase) -> None:
        if self._phases.get(agent) is phase:
            return
        self._phases[agent] = phase
        event = (
            EventName.AGENT_LEAVING
            if phase is AgentPhase.LEAVING
            else EventName.AGENT_JOINED
        )
        self._core.log.write(event, agent=agent, phase=phase.value)

    def _handle_segments(self, link: Link, events: SegmentEvents) -> None:
        core, peer = self._core, link.peer
        request = core.fleet.on_segments(
            peer.process, peer.incarnation, events, core.clock.now()
        )
        if events.full:
            core.router.record_segments_listed(peer.process, events.added)
        core.router.record_segments_removed(peer.process, events.removed)
        if request is not None:
            core.log.write(EventName.SEGMENT_EVENTS_LOST, agent=peer.process)
            core.spawn(_send, link, request)

    def _log_refused(self, link: Link, refused: Refused) -> None:
        self._core.log.write(
            EventName.MESSAGE_REFUSED,
            peer=link.peer.process,
            kind=refused.kind.value,
            detail=refused.detail,
        )

    async def _send_beats(self, link: Link) -> None:
        """Send heartbeats periodically, and at once on quarantine changes."""
        core = self._core
        while not link.closed:
            await _send(link, self._make_beat())
            core.metrics.set_gauge(Gauge.LINKS, len(self._incarnations))
            with anyio.move_on_after(core.settings.beat / SECOND):
                await self._beat_due.wait()

    def _make_beat(self) -> EntryBeat:
        core = self._core
        self._beat_number += 1
        quarantined, suspects = self._list_quarantine()
        return EntryBeat(
            core.incarnation,
            self._beat_number,
            core.reader.offset,
            quarantined,
            suspects,
        )

    def _merge_quarantine(self, beat: Heartbeat) -> None:
        """Merge quarantined and suspect requests; announce new ones."""
        if not beat.quarantined and not beat.suspects:
            return
        before = self._list_quarantine()
        self._core.quarantine.merge(
            beat.quarantined, beat.suspects, self._core.clock.now()
        )
        if self._list_quarantine() != before:
            self._beat_due.set()
            self._beat_due = anyio.Event()

    def _list_quarantine(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        now = self._core.clock.now()
        quarantine = self._core.quarantine
        return quarantine.list_quarantined(now), quarantine.list_suspects(now)


async def _send(link: Link, message: Message) -> None:
    try:
        await link.send(message)
    except OleanderError:
        return
