"""Let suspects run alone on a backend server."""

from __future__ import annotations


class ExclusiveSlot:
    """Keep a server for one suspect, from its first try until its end.

    Each try of the suspect renews its reservation, which lapses after some
    heartbeats without one: a suspect that ran elsewhere, or was quarantined
    meanwhile, keeps nobody out.
    """

    def __init__(self, *, reserve_beats: int) -> None:
        self._reserve_beats = reserve_beats
        self._heartbeat = 0
        self._reserved_for = ''
        self._reserved_until = 0
        self._occupant = ''

    def record_heartbeat(self, sequence: int) -> None:
        """Learn the sequence number of the agent's latest heartbeat."""
        self._heartbeat = max(self._heartbeat, sequence)

    def is_closed(self) -> bool:
        """Return whether ordinary work has to stay out."""
        return bool(self._occupant) or self._is_reserved()

    def request(self, digest: str, running: int) -> bool:
        """Return whether a suspect may enter now; else reserve for it."""
        if not self._is_reserved():
            self._reserved_for = digest
        if self._reserved_for == digest:
            self._reserved_until = self._heartbeat + self._reserve_beats
        return running == 0 and self._reserved_for == digest

    def enter(self, digest: str) -> None:
        """Begin the run of a suspect."""
        self._occupant = digest
        self._reserved_for = ''

    def leave(self, digest: str) -> bool:
        """End a run; tell whether it was that of the suspect."""
        if not digest or self._occupant != digest:
            return False
        self._occupant = ''
        return True

    def _is_reserved(self) -> bool:
        return (
            bool(self._reserved_for) and self._heartbeat < self._reserved_until
        )
