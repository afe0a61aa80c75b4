"""Weaken one guard at a time, for proofs that the matrix sees it."""

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


class DeafFleet(FleetState):
    """Never learn that an agent leaves; this alone must do no harm."""

    def on_heartbeat(self, agent, beat, now):
        phase = beat.phase
        if phase is AgentPhase.LEAVING:
            phase = AgentPhase.SERVING
        return super().on_heartbeat(agent, replace(beat, phase=phase), now)


class StayingGate(Gate):
    """Let runs start although the agent leaves."""

    def set_phase(self, phase):
        if phase is not AgentPhase.LEAVING:
            super().set_phase(phase)


class WeightlessGate(Gate):
    """Run with whatever weights are loaded."""

    def _check_weights(self, _dispatch, _now):
        return None


class SharedStreams(StreamTable):
    """Give a stream to whoever has its token."""

    def resume(self, resume, link, now):
        return super().resume(replace(resume, team=TEAMS[0]), link, now)


class LenientQuarantine(Quarantine):
    """Hold nothing against a request."""

    def get_status(self, digest, now):
        return QuarantineStatus.CLEAN


class HoardingCatalog(Catalog):
    """Tell peers that there is nothing new."""

    def difference(self, after):
        return () if after >= 0 else super().difference(after)


class TrustingCopy(SegmentAssembler):
    """Take what came for the segment that was asked for."""

    def finish(self):
        return bytes(self._data)


def trust(_data, _length, _digest):
    return True
