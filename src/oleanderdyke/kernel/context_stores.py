"""Know what the stores of kept context hold, and plan its use."""

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

# A fetch under a view of a store must end so long after that view was read.
# Whoever writes to a store that came back empty, or frees parts, waits as
# long, so that no fetch meets a part that is being written or freed. The view
# is read every second; this bears two failed reads.
VIEW_MAX_AGE: Millis = 4 * SECOND
# A fetch of the longest prompts takes some 20 ms, queued behind others.
_SHORTEST_FETCH: Millis = 500.0
# A save that has not been told as complete by then has failed.
_SAVE_LIMIT: Millis = 5 * SECOND
# A version of weights as this system writes it into a salt.
_VERSION = re.compile('0|[1-9][0-9]{0,15}')
# Space is given out in blocks, and other entries save at the same time.
_FILL_SHARE = 0.97


@dataclass(frozen=True, slots=True)
class Salt:
    """Name under which context is kept: never shared across any of these.

    `team` is empty for teams that share context with others.
    """

    model: str
    version: int
    team: str = ''

    def encode(self) -> str:
        """Return the text that engines and stores get."""
        return f'{self.version}/{self.model}/{self.team}'


def decode_salt(text: str) -> Salt | None:
    """Read a salt that this system made, None for any other text."""
    version, *rest = text.split('/', 2)
    if len(rest) != 2 or not _VERSION.fullmatch(version):
        return None
    return Salt(rest[0], int(version), rest[1])


@dataclass(frozen=True, slots=True)
class ContextEvent:
    """A part was kept whole, or is gone from a store.

    `number` is its place among the events of one start of the store.
    """

    is_added: bool
    salt: str
    part: str
    tokens: int
    number: int = 0


@dataclass(frozen=True, slots=True)
class ContextEvents:
    """Hold what changed at a store; `clock` is the engines' in ms.

    `boot` changes when the store restarts, empty. `has_gap` tells that events
    before these were lost.
    """

    boot: int
    next: int
    has_gap: bool
    clock: Millis
    events: tuple[ContextEvent, ...]


@dataclass(frozen=True, slots=True)
class Source:
    """Fetch so many tokens of a part from an address."""

    address: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ContextPlan:
    """Say for each part of a prompt where it comes from and is kept at.

    `until` is when a fetch must have ended, on the engines' clock in ms.
    """

    sources: tuple[Source | None, ...] = ()
    sinks: tuple[str, ...] = ()
    until: Millis = 0.0

    @property
    def fetched_tokens(self) -> int:
        """Count the tokens that are to be fetched."""
        return sum(source.tokens for source in self.sources if source)


NO_CONTEXTS = ContextPlan()


class StoreView:
    """Follow one store by its events."""

    def __init__(self, traits: StoreTraits) -> None:
        self.traits = traits
        self.position = 0
        self.parts: dict[tuple[str, str], int] = {}
        self._boot: int | None = None
        self._saving_tokens = 0
        self._used = 0
        self._asked_at: Millis | None = None
        self._clock: Millis = 0.0
        self._save_from: Millis = 0.0
        self._saving: dict[tuple[str, str], _Save] = {}

    def apply_events(
        self, found: ContextEvents, asked_at: Millis, now: Millis
    ) -> None:
        """Take events that were asked for at a moment of our clock."""
        if found.boot != self._boot:
            self._restart(found.boot, now)
        for event in found.events:
            self._apply(event)
        self.position = found.next
        self._asked_at = asked_at
        # The engines' clock was at least this when the answer came.
        self._clock = found.clock - now

    def apply_shared_events(
        self, found: ContextEvents, asked_at: Millis, now: Millis
    ) -> bool:
        """Take what a neighbour read, unless more is known here already.

        `asked_at` is when it asked, or earlier. What it read of another start
        of the store counts only where it surely asked later.
        """
        known_at = self._asked_at
        is_later = known_at is None or asked_at > known_at
        if found.boot != self._boot:
            if self._boot is not None and not is_later:
                return False
        elif found.next < self.position:
            return False
        if known_at is not None and not is_later:
            asked_at = known_at
        self.apply_events(found, asked_at, now)
        return True

    def invalidate(self) -> None:
        """Trust nothing until the store has been read again."""
        self._asked_at = None

    def find(self, salt: str, part: PromptPart, now: Millis) -> int:
        """Return how many tokens of a part can be fetched."""
        if not self.is_fresh(now):
            return 0
        return min(self.parts.get((salt, part.name), 0), part.tokens)

    def is_fresh(self, now: Millis) -> bool:
        """Return whether a fetch under the present view has time to end."""
        asked_at = self._asked_at
        if asked_at is None:
            return False
        return asked_at + VIEW_MAX_AGE - now > _SHORTEST_FETCH

    def find_deadline(self, other: Millis) -> Millis:
        """Return when a fetch has to end, on the engines' clock.

        `other` is when what else the fetch relies on was asked for.
        """
        asked_at = self._asked_at
        if asked_at is None:
            return 0.0
        return min(asked_at, other) + VIEW_MAX_AGE + self._clock

    def can_save(self, salt: str, part: PromptPart, now: Millis) -> bool:
        """Return whether a part has room and is not being saved."""
        if not self.is_fresh(now) or now < self._save_from:
            return False
        key = (salt, part.name)
        self._drop_failed(now)
        if key in self.parts or key in self._saving:
            return False
        room = self.traits.capacity_tokens * _FILL_SHARE - self._used
        return part.tokens + self._saving_tokens < room

    def record_save(self, salt: str, part: PromptPart, now: Millis) -> None:
        """Learn that a save was asked for."""
        save = _Save(part.tokens, now + _SAVE_LIMIT)
        self._saving[(salt, part.name)] = save
        self._saving_tokens += save.tokens

    def list_outdated(
        self, versions: Mapping[str, int]
    ) -> Iterator[tuple[str, str]]:
        """Yield the parts of weights older than those given by model."""
        for salt_text, part in self.parts:
            salt = decode_salt(salt_text)
            if salt is not None and salt.version < versions.get(salt.model, 0):
                yield salt_text, part

    @property
    def boot(self) -> int | None:
        """Return which start of the store the view belongs to."""
        return self._boot

    def find_clock(self, now: Millis) -> Millis:
        """Return the engines' clock, or a little less."""
        return now + self._clock

    def _restart(self, boot: int, now: Millis) -> None:
        """Begin with an empty store that others may still think full."""
        self._save_from = now + VIEW_MAX_AGE
        self._boot = boot
        self.parts.clear()
        self._saving.clear()
        self._saving_tokens = 0
        self._used = 0

    def _apply(self, event: ContextEvent) -> None:
        key = (event.salt, event.part)
        self._used -= self.parts.pop(key, 0)
        self._end_save(key)
        if event.is_added:
            self.parts[key] = event.tokens
            self._used += event.tokens

    def _drop_failed(self, now: Millis) -> None:
        """Forget saves that were never told as complete, oldest first."""
        while self._saving:
            key, save = next(iter(self._saving.items()))
            if save.until > now:
                return
            self._end_save(key)

    def _end_save(self, key: tuple[str, str]) -> None:
        save = self._saving.pop(key, None)
        if save is not None:
            self._saving_tokens -= save.tokens


@dataclass(frozen=True, slots=True)
class _Save:
    """Hold how much room a save takes, and when it must be complete."""

    tokens: int
    until: Millis


@dataclass
class ContextStores:
    """Hold the views of all stores by their addresses."""

    views: dict[str, StoreView] = field(default_factory=dict)

    def configure(self, stores: Iterable[StoreTraits]) -> None:
        """Follow just these stores."""
        listed = {traits.address: traits for traits in stores}
        for address in set(self.views) - set(listed):
            del self.views[address]
        for address, traits in listed.items():
            if address not in self.views:
                self.views[address] = StoreView(traits)

    def are_read(self, stores: Iterable[StoreTraits]) -> bool:
        """Return whether all these stores have told what they hold."""
        views = (self.views.get(traits.address) for traits in stores)
        return all(view is not None and view.boot is not None for view in views)

    def restrict(self, data_centres: Collection[str]) -> ContextStores:
        """Return the views of the stores in some data centres."""
        found = {
            address: view
            for address, view in self.views.items()
            if view.traits.data_centre in data_centres
        }
        return ContextStores(found)

    def count_available(
        self, salt: str, parts: Sequence[PromptPart], now: Millis
    ) -> int:
        """Count the leading tokens of a prompt that stores hold."""
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

        `versions_read_at` is when the newest versions were asked for. The last
        part belongs to the request alone and is not kept. An engine fetches
        only what it lacks, and can't use a part that lacks one before it.
        """
        shared = parts[:-1]
        sources: list[Source | None] = []
        sinks: list[str] = []
        until = float('inf')
        for part in shared:
            found = self._find_source(salt, part, data_centre, now)
            is_wanted = may_save and found is None
            sinks.append(self._find_sink(salt, part, now) if is_wanted else '')
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
        """Learn that a run was asked to save parts."""
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
        """Return the first store with room, in an order all entries share."""
        ranked = sorted(
            self.views.values(),
            key=lambda view: _rank(salt, part.name, view.traits),
        )
        for view in ranked:
            if view.can_save(salt, part, now):
                return view.traits.address
            if (salt, part.name) in view.parts:
                return ''
        return ''


def _rank(salt: str, part: str, traits: StoreTraits) -> float:
    """Order the stores of a part; larger ones come first more often."""
    text = f'{salt}/{part}/{traits.address}'.encode()
    drawn = int.from_bytes(hashlib.blake2b(text, digest_size=6).digest())
    return -math.log((drawn + 1) / 2**48) / max(traits.capacity_tokens, 1)
