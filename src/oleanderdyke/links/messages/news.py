"""Define the messages by which neighbours pass on what one of them read.

Ages are told, not moments: the clocks of two processes differ. `held` is how
long a request waited at the neighbour, so that its asker can bound on its own
clock when the answer was sent.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from oleanderdyke.clock import Millis


class NewsOutcome(enum.StrEnum):
    """Say whether a neighbour can tell what it was asked for."""

    TOLD = 'told'
    # It reads this topic nowhere itself, or not lately.
    UNREAD = 'unread'
    # It no longer keeps the records that were asked for.
    DROPPED = 'dropped'


@dataclass(frozen=True, slots=True)
class NewsRequest:
    """Ask for the records of a topic from an offset on.

    The answer comes with the first record, after `wait`, or as soon as what
    is known gets older than `limit`. `is_urgent` asks for a read right now.
    `start` is an offset of `era`, None while no era is known.
    """

    number: int
    topic: str
    start: int
    wait: Millis
    limit: Millis
    is_urgent: bool = False
    era: int | None = None


@dataclass(frozen=True, slots=True)
class NewsAnswer:
    """Records of `era`; `age` ago no others followed them.

    `is_complete` tells that all that were known then are here.
    """

    number: int
    outcome: NewsOutcome
    held: Millis = 0.0
    age: Millis = 0.0
    records: tuple[bytes, ...] = ()
    is_complete: bool = True
    era: int | None = None


@dataclass(frozen=True, slots=True)
class StorePosition:
    """Say up to which event a store of context is known.

    `boot` is None where nothing of it was read yet.
    """

    store: str
    next: int
    boot: int | None = None


@dataclass(frozen=True, slots=True)
class LoadNews:
    """Load that a start of a backend server reported `age` ago.

    A server that has named a limit `is_limited` while that holds, and accepts
    `rate_limit` requests a second.
    """

    age: Millis
    server: str
    running: int
    waiting: int
    slots: int
    born: int | None = None
    is_limited: bool | None = None
    rate_limit: float = 0.0


@dataclass(frozen=True, slots=True)
class ContextRequest:
    """Ask what changed at stores of context; answered like NewsRequest.

    `loads` are those that the asker was told since its last request.
    """

    number: int
    positions: tuple[StorePosition, ...]
    wait: Millis
    limit: Millis
    loads: tuple[LoadNews, ...] = ()


@dataclass(frozen=True, slots=True)
class StoreEvent:
    """A part was kept whole, or is gone from a store."""

    number: int
    is_added: bool
    salt: str
    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class StoreNews:
    """What follows a position at one start of a store.

    It was asked for `age` ago. `clock` is the least that the engines' clock
    can show now, and `spread` how much more it may show, in ms.
    """

    store: str
    boot: int
    next: int
    clock: Millis
    spread: Millis
    age: Millis
    events: tuple[StoreEvent, ...] = ()


@dataclass(frozen=True, slots=True)
class ContextAnswer:
    """What is new at the stores that the neighbour follows itself.

    `loads` are those that it has learned since its last answer on the link.
    """

    number: int
    held: Millis
    stores: tuple[StoreNews, ...] = ()
    loads: tuple[LoadNews, ...] = ()
