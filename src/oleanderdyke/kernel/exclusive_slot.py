"""Exclusive runs of suspect requests on a backend server."""

from __future__ import annotations


class ExclusiveSlot:
    """Reserve a server for one request that is suspected of crashing it.

    Each attempt of the suspect renews its reservation, which lapses after
    `reserve_beats` heartbeats without one. A suspect that ran elsewhere or was
    quarantined meanwhile thus blocks no other request.
    """

    def __init__(self, *, reserve_beats: int) -> None:
        self._reserve_beats = reserve_beats
        self._heartbeat = 0
        self._reserved_for = ''
        self._reserved_until = 0
        self._occupant = ''

    def record_heartbeat(self, sequence: int) -> None:
        """Record the sequence number of the agent's latest heartbeat."""
        self._heartbeat = max(self._heartbeat, sequence)

    def is_closed(self) -> bool:
        """Return whether other requests must wait."""
        return bool(self._occupant) or self._is_reserved()

    def request(self, digest: str, running: int) -> bool:
        """Return whether a suspect may start now; reserve the server if not."""
        if not self._is_reserved():
            self._reserved_for = digest
        if self._reserved_for == digest:
            self._reserved_until = self._heartbeat + self._reserve_beats
        return running == 0 and self._reserved_for == digest

    def enter(self, digest: str) -> None:
        """Record that a suspect starts to run."""
        self._occupant = digest
        self._reserved_for = ''

    def leave(self, digest: str) -> bool:
        """Record the end of a run; return whether it was the suspect's."""
        if not digest or self._occupant != digest:
            return False
        self._occupant = ''
        return True

    def _is_reserved(self) -> bool:
        return (
            bool(self._reserved_for) and self._heartbeat < self._reserved_until
        )
