"""Define unsafe variants, each of which disables one safety check."""

from __future__ import annotations

from dataclasses import replace

from oleanderdyke.agent.segment_assembler import SegmentAssembler
from oleanderdyke.kernel.catalog import Catalog
from oleanderdyke.kernel.gate import Gate
from oleanderdyke.kernel.membership import FleetState
from oleanderdyke.kernel.quarantine import Quarantine, QuarantineStatus
from oleanderdyke.kernel.stream_table import StreamTable
from oleanderdyke.links.messages import AgentPhase
from tests.matrix.world import TEAMS


class LeaveIgnoringFleet(FleetState):
    """Treat leaving agents as serving; harmless without a second fault."""

    def on_heartbeat(self, agent, beat, now):
        phase = beat.phase
        if phase is AgentPhase.LEAVING:
            phase = AgentPhase.SERVING
        return super().on_heartbeat(agent, replace(beat, phase=phase), now)


class LeaveIgnoringGate(Gate):
    """Start runs although the agent is leaving."""

    def set_phase(self, phase):
        if phase is not AgentPhase.LEAVING:
            super().set_phase(phase)


class UncheckedWeightsGate(Gate):
    """Start runs without checking the loaded weights."""

    def _check_weights(self, _dispatch, _now):
        return None


class SharedStreams(StreamTable):
    """Resume a stream for any team that presents its token."""

    def resume(self, resume, link, now):
        return super().resume(replace(resume, team=TEAMS[0]), link, now)


class LenientQuarantine(Quarantine):
    """Report every request as clean."""

    def get_status(self, digest, now):
        return QuarantineStatus.CLEAN


class WithholdingCatalog(Catalog):
    """Send peers an empty configuration difference."""

    def difference(self, after):
        return () if after >= 0 else super().difference(after)


class UnverifiedCopy(SegmentAssembler):
    """Accept the received data as the requested segment unverified."""

    def finish(self):
        return bytes(self._data)


def accept_any_segment(_data, _length, _digest):
    return True
