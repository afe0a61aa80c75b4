"""Find how processes ended that left a request without an end."""

from __future__ import annotations

from collections.abc import Sequence

from oleanderdyke.ctl.event_order import Ordered
from oleanderdyke.events import EventName

_ENDS = frozenset(
    {
        EventName.REQUEST_FINISHED,
        EventName.REQUEST_REFUSED,
        EventName.REQUEST_CANCELLED,
        EventName.REQUEST_CUT,
    }
)
_OF_PROCESS = frozenset(
    {
        EventName.PROCESS_STARTED,
        EventName.PROCESS_STOPPING,
        EventName.PROCESS_STOPPED,
        EventName.PROCESS_FAILED,
    }
)


def find_endings(ordered: Sequence[Ordered], kept: Sequence[int]) -> list[int]:
    """Return what became of each process that accepted a request in vain.

    `kept` are the events of one request. Where it has no end, the next line
    that a process wrote of itself tells why: a start without a stop before it
    means that the process was lost, with all that it ran.
    """
    if any(ordered[index].event.name in _ENDS for index in kept):
        return []
    last = {ordered[index].event.process: index for index in kept}
    return sorted(
        ending
        for process, index in last.items()
        if (ending := _find_next(ordered, process, index)) is not None
    )


def _find_next(
    ordered: Sequence[Ordered], process: str, after: int
) -> int | None:
    for index in range(after + 1, len(ordered)):
        event = ordered[index].event
        if event.process == process and event.name in _OF_PROCESS:
            return index
    return None
