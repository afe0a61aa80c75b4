"""Which engines of a service serve short prompts.

The load it answers: engines that crash, flap, load weights or come and go while
short and long prompts are kept apart.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.backend import Backend
from oleanderdyke.kernel.scheduling.placement import SILENCE_LIMIT
from oleanderdyke.kernel.scheduling.ranks import find_rank
from oleanderdyke.kernel.servers import ServerStart

# Keeps an engine that flaps from moving others.
_SETTLE_TIME: Millis = 2 * SECOND


def is_fit(backend: Backend, now: Millis) -> bool:
    """Return whether an engine counts: settled and working."""
    return now - backend.listed_at >= _SETTLE_TIME and is_working(backend, now)


def is_working(backend: Backend, now: Millis) -> bool:
    """Return whether an engine is neither failed, silent nor loading.

    One that only refused is working: other entries don't know of it.
    """
    if backend.reload_until > now:
        return False
    if backend.failures and backend.excluded_until > now:
        return False
    return backend.find_overdue_time(now) < SILENCE_LIMIT


def order_engines(service: str, usable: Iterable[Backend]) -> list[Backend]:
    """Return the engines in the order in which they join the short side.

    The order takes one engine of each data centre in turn. An engine that is
    lost moves those behind it in its data centre up by one place.
    """
    places = [
        (place, find_rank(service, data_centre), backend)
        for data_centre, listed in _group(usable).items()
        for place, backend in enumerate(_rank(service, listed))
    ]
    places.sort(key=lambda each: each[:2])
    return [backend for _, _, backend in places]


def find_members(
    service: str, usable: Iterable[Backend], size: int
) -> frozenset[ServerStart]:
    """Return the starts of the engines on the short side."""
    ordered = order_engines(service, usable)[:size]
    return frozenset(backend.record.start for backend in ordered)


def _group(usable: Iterable[Backend]) -> dict[str, list[Backend]]:
    groups: defaultdict[str, list[Backend]] = defaultdict(list)
    for backend in usable:
        groups[backend.record.data_centre].append(backend)
    return groups


def _rank(service: str, listed: Sequence[Backend]) -> list[Backend]:
    return sorted(
        listed, key=lambda each: find_rank(service, each.record.server)
    )
