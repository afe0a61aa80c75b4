"""Views of the context stores, and plans to fetch and save context."""

from __future__ import annotations

import hashlib
import math
import re
from collections.abc import (
    Collection,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from dataclasses import dataclass, field

from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.kernel.deployment import StoreTraits
from oleanderdyke.kernel.servers import PromptPart

# A fetch must end within this time after the view of the store that it is based
# on was read. Writes to a store that restarted empty, and frees of parts, are
# delayed by the same time, so that no fetch meets a part that is being written
# or freed. Views are read every second; this tolerates two failed reads.
VIEW_MAX_AGE: Millis = 4 * SECOND
# Time that a fetch needs at least. Fetching the longest prompts takes about
# 20 ms, after waiting in a queue behind others.
_MIN_FETCH_TIME: Millis = 500.0
# A save that the store has not reported as complete by then has failed.
_SAVE_TIMEOUT: Millis = 5 * SECOND
# A weight version in a salt.
_VERSION_PATTERN = re.compile('0|[1-9][0-9]{0,15}')
# Stores are filled to this fraction at most: they allocate space in blocks, and
# other entries save at the same time.
_MAX_FILL_SHARE = 0.97


@dataclass(frozen=True, slots=True)
class Salt:
    """Identify the scope within which stored context may be shared.

    `team` is empty for teams that share context with others.
    """

    model: str
    version: int
    team: str = ''

    def encode(self) -> str:
        """Return the text form that engines and stores use."""
        return f'{self.version}/{self.model}/{self.team}'


def decode_salt(text: str) -> Salt | None:
    """Parse the text form of a salt, None if it has another form."""
    version, *rest = text.split('/', 2)
    if len(rest) != 2 or not _VERSION_PATTERN.fullmatch(version):
        return None
    return Salt(rest[0], int(version), rest[1])


@dataclass(frozen=True, slots=True)
class ContextEvent:
    """Report that a part was saved completely or removed from a store.

    `number` counts the events of one start of the store.
    """

    is_added: bool
    salt: str
    part: str
    tokens: int
    number: int = 0


@dataclass(frozen=True, slots=True)
class ContextEvents:
    """Hold a page of a store's events.

    `boot` changes when the store restarts, empty. `next` is the position to
    read from next. `has_gap` is set if events before these were lost. `clock`
    is a reading of the engines' clock in ms.
    """

    boot: int
    next: int
    has_gap: bool
    clock: Millis
    events: tuple[ContextEvent, ...]


@dataclass(frozen=True, slots=True)
class Source:
    """Name the store to fetch a part from, and how many of its tokens."""

    address: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ContextPlan:
    """Hold for each part of a prompt its source and where to save it.

    `sinks` are addresses of stores, '' for parts that are not saved. `until` is
    the deadline of the fetches on the engines' clock in ms.
    """

    sources: tuple[Source | None, ...] = ()
    sinks: tuple[str, ...] = ()
    until: Millis = 0.0

    @property
    def fetched_tokens(self) -> int:
        """Return the number of tokens to fetch."""
        return sum(source.tokens for source in self.sources if source)


NO_CONTEXTS = ContextPlan()


class StoreView:
    """Track the content of one store by its events."""

    def __init__(self, traits: StoreTraits) -> None:
        self.traits = traits
        self.position = 0
        self.parts: dict[tuple[str, str], int] = {}
        self._boot: int | None = None
        self._pending_tokens = 0
        self._used_tokens = 0
        self._asked_at: Millis | None = None
        self._clock_offset: Millis = 0.0
        self._saves_allowed_from: Millis = 0.0
        self._pending_saves: dict[tuple[str, str], _PendingSave] = {}

    def apply_events(
        self, page: ContextEvents, asked_at: Millis, now: Millis
    ) -> None:
        """Apply events that were requested at `asked_at` (local clock)."""
        if page.boot != self._boot:
            self._restart(page.boot, now)
        for event in page.events:
            self._apply(event)
        self.position = page.next
        self._asked_at = asked_at
        # A lower bound, as the reading is older than the arrival of the page.
        self._clock_offset = page.clock - now

    def apply_shared_events(
        self, page: ContextEvents, asked_at: Millis, now: Millis
    ) -> bool:
        """Apply events that a neighbour read; return whether they were newer.

        `asked_at` is at most the time of the neighbour's read. Events of
        another start of the store are applied only if that read was certainly
        later than the one here.
        """
        known_at = self._asked_at
        is_later = known_at is None or asked_at > known_at
        if page.boot != self._boot:
            if self._boot is not None and not is_later:
                return False
        elif page.next < self.position:
            return False
        if known_at is not None and not is_later:
            asked_at = known_at
        self.apply_events(page, asked_at, now)
        return True

    def invalidate(self) -> None:
        """Use nothing of this view until the store has been read again."""
        self._asked_at = None

    def find(self, salt: str, part: PromptPart, now: Millis) -> int:
        """Return how many tokens of a part can be fetched, 0 if none."""
        if not self.is_fresh(now):
            return 0
        return min(self.parts.get((salt, part.name), 0), part.tokens)

    def is_fresh(self, now: Millis) -> bool:
        """Return whether a fetch based on this view has enough time."""
        asked_at = self._asked_at
        if asked_at is None:
            return False
        return asked_at + VIEW_MAX_AGE - now > _MIN_FETCH_TIME

    def find_deadline(self, other_read_at: Millis) -> Millis:
        """Return the deadline of a fetch on the engines' clock.

        `other_read_at` is when the other data that the fetch needs was read.
        """
        asked_at = self._asked_at
        if asked_at is None:
            return 0.0
        return min(asked_at, other_read_at) + VIEW_MAX_AGE + self._clock_offset

    def can_save(self, salt: str, part: PromptPart, now: Millis) -> bool:
        """Return whether a part fits and is neither stored nor being saved."""
        if not self.is_fresh(now) or now < self._saves_allowed_from:
            return False
        key = (salt, part.name)
        self._expire_saves(now)
        if key in self.parts or key in self._pending_saves:
            return False
        room = self.traits.capacity_tokens * _MAX_FILL_SHARE - self._used_tokens
        return part.tokens + self._pending_tokens < room

    def record_save(self, salt: str, part: PromptPart, now: Millis) -> None:
        """Record that an engine was asked to save a part here."""
        save = _PendingSave(part.tokens, now + _SAVE_TIMEOUT)
        self._pending_saves[(salt, part.name)] = save
        self._pending_tokens += save.tokens

    def list_outdated(
        self, versions: Mapping[str, int]
    ) -> Iterator[tuple[str, str]]:
        """Yield the parts of weights older than `versions` has by model."""
        for salt_text, part in self.parts:
            salt = decode_salt(salt_text)
            if salt is not None and salt.version < versions.get(salt.model, 0):
                yield salt_text, part

    @property
    def boot(self) -> int | None:
        """Return the store start that this view shows, None before a read."""
        return self._boot

    def find_clock(self, now: Millis) -> Millis:
        """Convert a local time to a lower bound on the engines' clock."""
        return now + self._clock_offset

    def _restart(self, boot: int, now: Millis) -> None:
        """Reset the view of a store that restarted empty.

        Other entries may still fetch by views of the previous start.
        """
        self._saves_allowed_from = now + VIEW_MAX_AGE
        self._boot = boot
        self.parts.clear()
        self._pending_saves.clear()
        self._pending_tokens = 0
        self._used_tokens = 0

    def _apply(self, event: ContextEvent) -> None:
        key = (event.salt, event.part)
        self._used_tokens -= self.parts.pop(key, 0)
        self._remove_save(key)
        if event.is_added:
            self.parts[key] = event.tokens
            self._used_tokens += event.tokens

    def _expire_saves(self, now: Millis) -> None:
        """Drop saves that timed out; the oldest come first."""
        while self._pending_saves:
            key, save = next(iter(self._pending_saves.items()))
            if save.until > now:
                return
            self._remove_save(key)

    def _remove_save(self, key: tuple[str, str]) -> None:
        save = self._pending_saves.pop(key, None)
        if save is not None:
            self._pending_tokens -= save.tokens


@dataclass(frozen=True, slots=True)
class _PendingSave:
    """Hold the size of a save and the time at which it counts as failed."""

    tokens: int
    until: Millis


@dataclass
class ContextStores:
    """Hold the views of the configured stores by address."""

    views: dict[str, StoreView] = field(default_factory=dict)

    def configure(self, stores: Iterable[StoreTraits]) -> None:
        """Track these stores alone; keep the views of known ones."""
        listed = {traits.address: traits for traits in stores}
        for address in set(self.views) - set(listed):
            del self.views[address]
        for address, traits in listed.items():
            if address not in self.views:
                self.views[address] = StoreView(traits)

    def are_read(self, stores: Iterable[StoreTraits]) -> bool:
        """Return whether each of these stores has been read once."""
        views = (self.views.get(traits.address) for traits in stores)
        return all(view is not None and view.boot is not None for view in views)

    def restrict(self, data_centres: Collection[str]) -> ContextStores:
        """Return the views of the stores in the given data centres."""
        found = {
            address: view
            for address, view in self.views.items()
            if view.traits.data_centre in data_centres
        }
        return ContextStores(found)

    def count_available(
        self, salt: str, parts: Sequence[PromptPart], now: Millis
    ) -> int:
        """Count the leading tokens of a prompt that can be fetched."""
        count = 0
        for part in parts:
            found = max(
                (view.find(salt, part, now) for view in self.views.values()),
                default=0,
            )
            count += found
            if found < part.tokens:
                break
        return count

    def plan(
        self,
        salt: str,
        parts: Sequence[PromptPart],
        *,
        data_centre: str,
        versions_read_at: Millis,
        may_save: bool,
        now: Millis,
    ) -> ContextPlan:
        """Plan the fetches and saves of one run.

        `versions_read_at` is when the read of the newest versions was
        requested. The last part belongs to the request alone and is not saved.
        An engine fetches only what it lacks, and can't use a part that follows
        a missing one.
        """
        shared = parts[:-1]
        sources: list[Source | None] = []
        sinks: list[str] = []
        until = float('inf')
        for part in shared:
            found = self._find_source(salt, part, data_centre, now)
            should_save = may_save and found is None
            sinks.append(
                self._find_sink(salt, part, now) if should_save else ''
            )
            if found is None:
                sources.append(None)
                continue
            view, tokens = found
            sources.append(Source(view.traits.address, tokens))
            until = min(until, view.find_deadline(versions_read_at))
        if not any(sources):
            until = 0.0
        sources += [None] * (len(parts) - len(shared))
        sinks += [''] * (len(parts) - len(shared))
        return ContextPlan(tuple(sources), tuple(sinks), until)

    def record_saves(
        self,
        salt: str,
        parts: Sequence[PromptPart],
        plan: ContextPlan,
        now: Millis,
    ) -> None:
        """Record the saves that an engine was asked for by a plan."""
        for part, sink in zip(parts, plan.sinks, strict=False):
            if sink in self.views:
                self.views[sink].record_save(salt, part, now)

    def _find_source(
        self, salt: str, part: PromptPart, data_centre: str, now: Millis
    ) -> tuple[StoreView, int] | None:
        found = [
            (view, tokens)
            for view in self.views.values()
            if (tokens := view.find(salt, part, now))
        ]
        if not found:
            return None
        return min(
            found,
            key=lambda each: (
                each[0].traits.data_centre != data_centre,
                -each[0].traits.link_mbps,
            ),
        )

    def _find_sink(self, salt: str, part: PromptPart, now: Millis) -> str:
        """Return the first store with room, in the order all entries use."""
        ranked = sorted(
            self.views.values(),
            key=lambda view: _score_store(salt, part.name, view.traits),
        )
        for view in ranked:
            if view.can_save(salt, part, now):
                return view.traits.address
            if (salt, part.name) in view.parts:
                return ''
        return ''


def _score_store(salt: str, part: str, traits: StoreTraits) -> float:
    """Return a sort key by weighted rendezvous hashing on the capacity."""
    text = f'{salt}/{part}/{traits.address}'.encode()
    hashed = int.from_bytes(hashlib.blake2b(text, digest_size=6).digest())
    return -math.log((hashed + 1) / 2**48) / max(traits.capacity_tokens, 1)
