"""Wait until a change is in force in every process."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from oleanderdyke.clock import Clock, Millis, make_clock
from oleanderdyke.ctl.client import Client, make_path
from oleanderdyke.ctl.output import Progress
from oleanderdyke.errors import ErrorKind, OleanderError

_POLL = 0.1
_NAMED = 8
_DROPPED = 'dropped'
_UNREACHED = -1
_LATEST = -1


@dataclass(frozen=True, slots=True)
class Spread:
    """Hold the offset of each known process, -1 where it is not known."""

    offsets: Mapping[str, int]

    def list_missing(self, offset: int) -> list[str]:
        """Return the processes that lack an offset."""
        return sorted(
            name for name, has in self.offsets.items() if has < offset
        )


def read_spread(client: Client) -> Spread:
    """Ask every entry, and combine what they know of the agents."""
    offsets: dict[str, int] = {}
    for entry in client.entries:
        try:
            status = client.get_from(entry, make_path('status'))
        except OleanderError as error:
            if error.kind not in {ErrorKind.BACKEND_LOST, ErrorKind.STOPPING}:
                raise
            offsets[entry] = _UNREACHED
        else:
            _add_status(offsets, status)
    return Spread(offsets)


def wait_in_force(
    client: Client, offset: int, wait: Millis, clock: Clock | None = None
) -> int:
    """Return how many processes have the offset; raise DEADLINE.

    An offset of -1 stands for the highest one now.
    """
    clock = clock or make_clock()
    limit = clock.now() + wait
    progress = Progress()
    try:
        while True:
            spread = read_spread(client)
            if offset == _LATEST:
                offset = max(spread.offsets.values())
            missing = spread.list_missing(offset)
            count = len(spread.offsets)
            have = count - len(missing)
            progress.show(f'in force in {have} of {count} processes')
            if not missing:
                return count
            if clock.now() >= limit:
                raise _make_late(have, count, missing)
            time.sleep(_POLL)
    finally:
        progress.end()


def _add_status(offsets: dict[str, int], status: Any) -> None:
    offsets[status['process']] = status['offset']
    for agent in status['agents']:
        if agent['condition'] != _DROPPED:
            known = offsets.get(agent['agent'], _UNREACHED)
            offsets[agent['agent']] = max(known, agent['offset'])


def _make_late(have: int, count: int, missing: list[str]) -> OleanderError:
    rest = len(missing) - _NAMED
    names = ', '.join(missing[:_NAMED])
    more = f' and {rest} more' if rest > 0 else ''
    return OleanderError(
        ErrorKind.DEADLINE,
        f'accepted, but in force in {have} of {count} processes only; '
        f'without it: {names}{more}',
    )
