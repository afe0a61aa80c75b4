"""Propagation of a change to every process."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from oleanderdyke.clock import Clock, Millis, make_clock
from oleanderdyke.ctl.client import Client, make_path
from oleanderdyke.ctl.output import Progress
from oleanderdyke.errors import ErrorKind, OleanderError

_POLL_INTERVAL_S = 0.1
_MAX_NAMES = 8
_DROPPED = 'dropped'
_UNKNOWN_OFFSET = -1
_LATEST_OFFSET = -1


@dataclass(frozen=True, slots=True)
class AppliedOffsets:
    """Hold the applied offset of each process, -1 if unknown."""

    offsets: Mapping[str, int]

    def list_missing(self, offset: int) -> list[str]:
        """Return the processes that have not applied an offset."""
        return sorted(
            name for name, known in self.offsets.items() if known < offset
        )


def read_applied_offsets(client: Client) -> AppliedOffsets:
    """Read the status of every entry and merge the offsets of agents."""
    offsets: dict[str, int] = {}
    for entry in client.entries:
        try:
            status = client.get_from(entry, make_path('status'))
        except OleanderError as error:
            if error.kind not in {ErrorKind.BACKEND_LOST, ErrorKind.STOPPING}:
                raise
            offsets[entry] = _UNKNOWN_OFFSET
        else:
            _add_status(offsets, status)
    return AppliedOffsets(offsets)


def wait_in_force(
    client: Client, offset: int, wait: Millis, clock: Clock | None = None
) -> int:
    """Wait until all processes have applied an offset; return their number.

    An offset of -1 means the highest applied one now. Raise an OleanderError of
    the kind DEADLINE after `wait`.
    """
    clock = clock or make_clock()
    limit = clock.now() + wait
    progress = Progress()
    try:
        while True:
            applied = read_applied_offsets(client)
            if offset == _LATEST_OFFSET:
                offset = max(applied.offsets.values())
            missing = applied.list_missing(offset)
            count = len(applied.offsets)
            applied_count = count - len(missing)
            progress.show(f'in force in {applied_count} of {count} processes')
            if not missing:
                return count
            if clock.now() >= limit:
                raise _make_deadline_error(applied_count, count, missing)
            time.sleep(_POLL_INTERVAL_S)
    finally:
        progress.end()


def _add_status(offsets: dict[str, int], status: Any) -> None:
    offsets[status['process']] = status['offset']
    for agent in status['agents']:
        if agent['condition'] != _DROPPED:
            known = offsets.get(agent['agent'], _UNKNOWN_OFFSET)
            offsets[agent['agent']] = max(known, agent['offset'])


def _make_deadline_error(
    applied_count: int, count: int, missing: list[str]
) -> OleanderError:
    rest = len(missing) - _MAX_NAMES
    names = ', '.join(missing[:_MAX_NAMES])
    more = f' and {rest} more' if rest > 0 else ''
    return OleanderError(
        ErrorKind.DEADLINE,
        f'accepted, but in force in {applied_count} of {count} processes only; '
        f'without it: {names}{more}',
    )
