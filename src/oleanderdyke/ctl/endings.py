"""Find how processes ended while a request was unfinished."""

from __future__ import annotations

from collections.abc import Sequence

from oleanderdyke.ctl.event_order import Ordered
from oleanderdyke.events import EventName

_REQUEST_ENDS = frozenset(
    {
        EventName.REQUEST_FINISHED,
        EventName.REQUEST_REFUSED,
        EventName.REQUEST_CANCELLED,
        EventName.REQUEST_CUT,
    }
)
_PROCESS_EVENTS = frozenset(
    {
        EventName.PROCESS_STARTED,
        EventName.PROCESS_STOPPING,
        EventName.PROCESS_STOPPED,
        EventName.PROCESS_FAILED,
    }
)


def find_endings(ordered: Sequence[Ordered], kept: Sequence[int]) -> list[int]:
    """Return the next life-cycle event of the processes of an open request.

    `kept` are the indexes of the events of one request. If none of them ends
    the request, the next life-cycle event of its processes gives the reason: a
    start without a stop before it means that the process was lost, with all
    requests that it ran.
    """
    if any(ordered[index].event.name in _REQUEST_ENDS for index in kept):
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
        if event.process == process and event.name in _PROCESS_EVENTS:
            return index
    return None
