"""Simulate an engine's prefix cache, with delayed and lost events."""

from __future__ import annotations

import collections
import hashlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from tests.standins import web

TOKEN_BYTES = 4
SEGMENT_TOKENS = 256
SEGMENT_BYTES = TOKEN_BYTES * SEGMENT_TOKENS
KV_BYTES_PER_TOKEN = 64

_EVENTS_KEPT = 4_096


def render_prompt(messages: Sequence[dict[str, Any]]) -> bytes:
    """Encode chat messages as the canonical prompt."""
    parts = [f'{item["role"]}\0{item["content"]}\n' for item in messages]
    return ''.join(parts).encode()


def count_tokens(prompt: bytes) -> int:
    """Return the number of tokens in a prompt."""
    return -(-len(prompt) // TOKEN_BYTES)


def make_chain(namespace: bytes, prompt: bytes) -> list[bytes]:
    """Return the ids of the complete segments of a prompt."""
    chain: list[bytes] = []
    parent = namespace
    for end in range(SEGMENT_BYTES, len(prompt) + 1, SEGMENT_BYTES):
        text = prompt[end - SEGMENT_BYTES : end]
        parent = hashlib.blake2b(parent + text, digest_size=32).digest()
        chain.append(parent)
    return chain


def make_kv(segment: bytes) -> bytes:
    """Return the KV bytes that are correct for a segment."""
    length = KV_BYTES_PER_TOKEN * SEGMENT_TOKENS
    return hashlib.shake_128(segment).digest(length)


@dataclass(slots=True)
class Event:
    """Describe a segment stored or removed; lost events leave number gaps."""

    number: int
    lost: bool
    shown_at: float
    kind: str
    segment: bytes


class SegmentCache:
    """Cache segments with LRU eviction; events are delayed and may be lost."""

    def __init__(self, limit: int, lag: float, lose_every: int) -> None:
        self._limit = limit
        self._lag = lag
        self._lose_every = lose_every
        self._segments: collections.OrderedDict[bytes, bytes] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[Event] = collections.deque(
            maxlen=_EVENTS_KEPT
        )
        self._number = 0

    def __len__(self) -> int:
        return len(self._segments)

    def find(self, segment: bytes) -> bytes | None:
        """Return the KV bytes of a segment, or None if it is not cached."""
        return self._segments.get(segment)

    def count_leading(self, chain: Sequence[bytes]) -> int:
        """Return how many leading segments are cached and mark them as used."""
        for count, segment in enumerate(chain):
            if segment not in self._segments:
                return count
            self._segments.move_to_end(segment)
        return len(chain)

    def store(self, segment: bytes, data: bytes) -> None:
        """Store a segment; evict the least recently used one if needed."""
        if segment not in self._segments:
            self._record_event('stored', segment)
        self._segments[segment] = data
        self._segments.move_to_end(segment)
        while len(self._segments) > self._limit:
            evicted, _ = self._segments.popitem(last=False)
            self._record_event('removed', evicted)

    def clear(self) -> None:
        """Remove every segment."""
        for segment in self._segments:
            self._record_event('removed', segment)
        self._segments.clear()

    def show_events(self, after: int) -> dict[str, Any]:
        """Return the events after a number that are visible by now."""
        at = web.now()
        shown = [item for item in self._events if item.shown_at <= at]
        return {
            'first': shown[0].number if shown else self._number + 1,
            'next': shown[-1].number + 1 if shown else 1,
            'events': [
                [item.number, item.kind, item.segment.hex()]
                for item in shown
                if item.number > after and not item.lost
            ],
        }

    def _record_event(self, kind: str, segment: bytes) -> None:
        self._number += 1
        every = self._lose_every
        lost = bool(every and self._number % every == 0)
        shown_at = web.now() + self._lag
        self._events.append(Event(self._number, lost, shown_at, kind, segment))
