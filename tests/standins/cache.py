"""Keep the prefix cache of an engine, with its late and gappy events."""

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
    """Return the canonical prompt of chat messages."""
    parts = [f'{item["role"]}\0{item["content"]}\n' for item in messages]
    return ''.join(parts).encode()


def count_tokens(prompt: bytes) -> int:
    """Count the tokens of a prompt."""
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
    """Return the only right KV bytes of a segment."""
    length = KV_BYTES_PER_TOKEN * SEGMENT_TOKENS
    return hashlib.shake_128(segment).digest(length)


@dataclass(slots=True)
class Event:
    """Tell that a segment was stored or removed; a lost one leaves a gap."""

    number: int
    lost: bool
    shown_at: float
    kind: str
    segment: bytes


class SegmentCache:
    """Hold the segments last used; a lag and lost events spoil its news."""

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
        """Return the KV bytes of a segment."""
        return self._segments.get(segment)

    def count_leading(self, chain: Sequence[bytes]) -> int:
        """Count the leading segments that are held, and note their use."""
        for count, segment in enumerate(chain):
            if segment not in self._segments:
                return count
            self._segments.move_to_end(segment)
        return len(chain)

    def store(self, segment: bytes, data: bytes) -> None:
        """Hold a segment, evicting the longest unused where it is full."""
        if segment not in self._segments:
            self._note('stored', segment)
        self._segments[segment] = data
        self._segments.move_to_end(segment)
        while len(self._segments) > self._limit:
            evicted, _ = self._segments.popitem(last=False)
            self._note('removed', evicted)

    def clear(self) -> None:
        """Remove every segment."""
        for segment in self._segments:
            self._note('removed', segment)
        self._segments.clear()

    def show_events(self, after: int) -> dict[str, Any]:
        """Return the events that may be seen by now, as the engine does."""
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

    def _note(self, kind: str, segment: bytes) -> None:
        self._number += 1
        every = self._lose_every
        lost = bool(every and self._number % every == 0)
        shown_at = web.now() + self._lag
        self._events.append(Event(self._number, lost, shown_at, kind, segment))
