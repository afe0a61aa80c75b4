"""Check that requests that were read get an answer, also beside stops."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from tools.soak.attempts import (
    Attempt,
    Outcome,
    ProcessLife,
    RunEnd,
    ServerRun,
)

# A cut that comes with the deadline, as near as two processes tell the time.
_LIMIT_MARGIN = 0.1
# What a server has finished reaches its client long before.
_DELIVERY_SECONDS = 1.0
# A server knows of the end of its connection a little later than the client.
_CLOSE_MARGIN = 0.1
_NOT_TAKEN_UP = frozenset({RunEnd.REFUSED, RunEnd.FAILED})
_FINISHED = frozenset({RunEnd.FINISHED, RunEnd.CLOSED})


@dataclass(frozen=True, slots=True)
class LossRule:
    """Set when a connection may end without a complete answer.

    A request that was sent up to `late` seconds after the SIGTERM may be cut in
    the last `share` of the grace time if its server was still at work then.
    One that reached no server may be cut up to `slack` seconds after it was
    sent. `calm` is how long ago the entry was disturbed.
    """

    late: float = 3.0
    share: float = 1 / 6
    slack: float = 0.2
    calm: float = 4.0


def list_losses(
    attempts: Iterable[Attempt],
    lives: Mapping[str, ProcessLife],
    runs: Mapping[str, Sequence[ServerRun]],
    rule: LossRule,
) -> Iterator[str]:
    """Yield a line for each request that was read and then lost."""
    for attempt in attempts:
        life = lives[attempt.process]
        found = runs.get(attempt.request, ())
        if _is_lost(attempt, life, found, rule):
            yield _describe(attempt, life, found)


def _is_lost(
    attempt: Attempt,
    life: ProcessLife,
    runs: Sequence[ServerRun],
    rule: LossRule,
) -> bool:
    if life.is_disturbed(attempt.sent - rule.calm, attempt.ended):
        return False
    if attempt.outcome is Outcome.GAVE_UP:
        return _was_forgotten(attempt, runs)
    return attempt.outcome is Outcome.CUT and not (
        attempt.ended >= attempt.limit - _LIMIT_MARGIN
        or _broke_off(attempt, runs)
        or _ended_with_server(attempt, runs)
        or not _was_read(attempt, runs, rule)
        or _may_be_cut(attempt, life, runs, rule)
    )


def _broke_off(attempt: Attempt, runs: Sequence[ServerRun]) -> bool:
    """Return whether the last server that took it up ended its answer."""
    last = _find_last(runs)
    if last is None or last.how is not RunEnd.BROKE_OFF:
        return False
    return last.ended <= attempt.ended + _CLOSE_MARGIN


def _ended_with_server(attempt: Attempt, runs: Sequence[ServerRun]) -> bool:
    """Return whether nothing could tell that an answer was whole.

    It ended with its connection, and its server before the client's.
    """
    last = _find_last(runs)
    if last is None or last.how is not RunEnd.CLOSED:
        return False
    latest = min(attempt.ended, last.ended + _DELIVERY_SECONDS)
    return last.ended <= last.stopped <= latest


def _find_last(runs: Sequence[ServerRun]) -> ServerRun | None:
    """Return the last run of a server that took the request up."""
    taken = [each for each in runs if each.how not in _NOT_TAKEN_UP]
    return taken[-1] if taken else None


def _was_forgotten(attempt: Attempt, runs: Sequence[ServerRun]) -> bool:
    """Return whether a client waited though its answer was due."""
    due = attempt.limit
    if runs:
        due = runs[-1].ended if runs[-1].how in _FINISHED else math.inf
    return attempt.ended > due + _DELIVERY_SECONDS


def _was_read(
    attempt: Attempt, runs: Sequence[ServerRun], rule: LossRule
) -> bool:
    """Return whether the entry must have read the whole request."""
    return bool(runs) or attempt.ended - attempt.sent > rule.slack


def _may_be_cut(
    attempt: Attempt,
    life: ProcessLife,
    runs: Sequence[ServerRun],
    rule: LossRule,
) -> bool:
    """Return whether the grace time is over for a request sent early enough."""
    if attempt.sent > life.stopped + rule.late:
        return False
    last_share = life.stopped + life.grace * (1 - rule.share)
    if attempt.ended < last_share:
        return False
    earliest = max(last_share, attempt.ended - _DELIVERY_SECONDS)
    return any(each.ended > earliest for each in runs)


def _describe(
    attempt: Attempt, life: ProcessLife, runs: Sequence[ServerRun]
) -> str:
    signals = ', '.join(f'{at:.2f}' for at in life.stops) or 'none'
    servers = ', '.join(
        f'{each.how.value} {each.begun:.2f} to {each.ended:.2f}'
        for each in runs
    )
    return (
        f'LOST {attempt.request} at {life.name}: sent {attempt.sent:.2f}, '
        f'{attempt.outcome.value} {attempt.ended:.2f} s, '
        f'{len(attempt.events)} events; servers: {servers or "none"}; '
        f'SIGTERM {signals}, grace {life.grace:.0f} s'
    )
