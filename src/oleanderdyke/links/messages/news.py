"""Messages by which entries share what they read, run and have begun.

They hold ages instead of timestamps because the clocks of two processes differ;
`sent_at` is the sender's monotonic clock, by which a receiver knows how long
the message was on its way, 0 if it doesn't tell (`links/dating.py`).
`held` is how long a request waited at the neighbour; with it the requester can
bound the time on its own clock at which the answer was sent.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from oleanderdyke.clock import Millis


class NewsOutcome(enum.StrEnum):
    """Whether a neighbour has the requested records."""

    TOLD = 'told'
    # It does not read this topic itself, or has not done so recently.
    UNREAD = 'unread'
    # It no longer has the requested records.
    DROPPED = 'dropped'


@dataclass(frozen=True, slots=True)
class NewsRequest:
    """Request the records of a topic from an offset on.

    The answer is sent with the first record, after `wait`, or when the data of
    the neighbour gets older than `limit`. `is_urgent` requests an immediate
    read. `start` is an offset of `era`, which is None while it is unknown.
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
    """Records of `era`; they were the newest ones `age` ms ago.

    `is_complete` tells that no record known at that time is missing.
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
    """The number of the next event to read from a context store.

    `boot` is None if nothing was read from the store yet.
    """

    store: str
    next: int
    boot: int | None = None


@dataclass(frozen=True, slots=True)
class LoadNews:
    """Load that one start of a backend server reported `age` ms ago.

    While `is_limited`, the server accepts `rate_limit` requests per second;
    None if the report says nothing about a limit. Work takes `slowdown` times
    as long as usual on its machine.
    """

    age: Millis
    server: str
    running: int
    waiting: int
    slots: int
    born: int | None = None
    is_limited: bool | None = None
    rate_limit: float = 0.0
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class ContextRequest:
    """Request the changes of context stores; answered like NewsRequest.

    `loads` are the loads reported to the requester since its last request.
    """

    number: int
    positions: tuple[StorePosition, ...]
    wait: Millis
    limit: Millis
    loads: tuple[LoadNews, ...] = ()
    sent_at: Millis = 0.0


@dataclass(frozen=True, slots=True)
class StoreEvent:
    """A complete part was added to a store or removed from it."""

    number: int
    is_added: bool
    salt: str
    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class StoreNews:
    """Events after a position, from one start of a store.

    They were requested `age` ms ago. The engines' clock now shows at least
    `clock` and at most `spread` ms more.
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
    """Changes of the context stores that the neighbour reads itself.

    `loads` are those that it received since its last answer on the link.
    """

    number: int
    held: Millis
    stores: tuple[StoreNews, ...] = ()
    loads: tuple[LoadNews, ...] = ()


# Numbers per server in `WorkReport.amounts`, texts and numbers per kind of
# request in `WorkReport.kinds` and `WorkReport.rates`.
AMOUNTS_PER_SERVER = 5
TEXTS_PER_KIND = 3
RATES_PER_KIND = 5
# Sums over all entries stay exact, also as floats.
_MAX_NUMBER = 2**40


@dataclass(frozen=True, slots=True)
class WorkReport:
    """Work that changed since the previous report of an entry, `age` ms ago.

    A report that `is_whole` lists all work and all demand of the entry.
    `incarnation` grows with each start of the entry, `sequence` with each of
    its reports.

    Columns are decoded faster than rows. The start `born` of each of
    the `servers` has five amounts: unread prompt tokens, tokens of memory,
    runs, long runs, tokens of copied runs; all zero if the entry has no
    work there. Each kind of request has its service, route and team, and five
    rates per second: requests that arrived and that were admitted, prompt
    tokens to prefill, output tokens, and the time to prefill in milliseconds.
    """

    entry: str
    incarnation: int
    sequence: int
    data_centre: str
    age: Millis = 0.0
    is_whole: bool = False
    servers: tuple[str, ...] = ()
    born: tuple[int | None, ...] = ()
    amounts: tuple[int, ...] = ()
    kinds: tuple[str, ...] = ()
    rates: tuple[float, ...] = ()

    @property
    def is_valid(self) -> bool:
        """Return whether the columns describe rows of possible numbers."""
        return (
            self._has_equal_columns()
            and _are_possible(self.amounts)
            and _are_possible(self.rates)
        )

    def _has_equal_columns(self) -> bool:
        servers, kinds = len(self.servers), len(self.kinds)
        return (
            len(self.born) == servers
            and len(self.amounts) == servers * AMOUNTS_PER_SERVER
            and kinds % TEXTS_PER_KIND == 0
            and len(self.rates) * TEXTS_PER_KIND == kinds * RATES_PER_KIND
        )


def _are_possible(numbers: Sequence[float]) -> bool:
    return not numbers or (min(numbers) >= 0 and max(numbers) <= _MAX_NUMBER)


@dataclass(frozen=True, slots=True)
class WorkNews:
    """Reports of any number of entries; none if nothing changed."""

    reports: tuple[WorkReport, ...] = ()
    sent_at: Millis = 0.0


@dataclass(frozen=True, slots=True)
class SoftwareNews:
    """Only `software` served a service from `age` to `read_age` ms ago."""

    service: str
    software: str
    age: Millis
    read_age: Millis


@dataclass(frozen=True, slots=True)
class StreamNews:
    """Streams that have begun, and what is known of their services.

    `services` and `softwares` are columns of the origins that streams refer to.
    `digests` holds eight bytes for each stream; its origin and the tenths of a
    second for which callers may take it up are at the same place of `origins`
    and `remaining`. `written_at` is the wall time of a message that is left in
    the store, for which ages don't do. `is_asking` requests what the receiver
    knows of services.
    """

    services: tuple[str, ...] = ()
    softwares: tuple[str, ...] = ()
    digests: bytes = b''
    origins: tuple[int, ...] = ()
    remaining: tuple[int, ...] = ()
    claims: tuple[SoftwareNews, ...] = ()
    is_asking: bool = False
    written_at: Millis = 0.0
    sent_at: Millis = 0.0


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A server ended `age` ms ago, maybe on one of some requests.

    Each request is the tuple of its parts.
    """

    name: str
    age: Millis
    requests: tuple[tuple[str, ...], ...] = ()


@dataclass(frozen=True, slots=True)
class QuarantineReport:
    """Requests that hold all of some parts are kept from servers.

    They are since `age` ms ago, and last crashed one `crash_age` ms ago.
    """

    parts: tuple[str, ...]
    age: Millis
    crash_age: Millis
    trials: int = 0


@dataclass(frozen=True, slots=True)
class LostRunReport:
    """Runs of one request broke off, at each of `servers` `ages` ms ago.

    It was tried at `trial_servers`, `trial_ages` ms ago. A run that began
    `sound_age` ms ago went on; None if none has.
    """

    name: str
    servers: tuple[str, ...] = ()
    ages: tuple[Millis, ...] = ()
    trial_servers: tuple[str, ...] = ()
    trial_ages: tuple[Millis, ...] = ()
    sound_age: Millis | None = None


@dataclass(frozen=True, slots=True)
class PoisonReport:
    """Evidence of requests, and parts of them, that crash servers.

    Runs with the parts in `sound` began `sound_ages` ms ago and went on.
    `written_at` is the wall time of a message that is left in the store.
    """

    crashes: tuple[CrashReport, ...] = ()
    sound: tuple[str, ...] = ()
    sound_ages: tuple[Millis, ...] = ()
    quarantined: tuple[QuarantineReport, ...] = ()
    lost_runs: tuple[LostRunReport, ...] = ()
    written_at: Millis = 0.0
    sent_at: Millis = 0.0
