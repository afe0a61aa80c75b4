"""Simulate the record store of the users' platform."""

from __future__ import annotations

import base64
import json
import struct
from dataclasses import dataclass, field, replace

import anyio

from tests.standins import web

_LENGTH = struct.Struct('>I')
_ENDS = struct.Struct('>QQ')
_MILLIS = 1_000


@dataclass(frozen=True, slots=True)
class RecordFaults(web.Faults):
    """Add the faults of a record store; `lose_answers` counts appends."""

    lose_answers: int = 0


@dataclass(slots=True)
class Topic:
    """Hold the retained records of a topic's single partition."""

    first: int = 0
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def end(self) -> int:
        """Return the next offset."""
        return self.first + len(self.records)

    def append(self, record: bytes) -> int:
        """Append a record and wake the waiting readers."""
        offset = self.end
        self.records.append(record)
        self.changed.set()
        self.changed = anyio.Event()
        return offset

    def put(self, key: str, value: bytes) -> None:
        """Append a keyed record; an empty value deletes the key."""
        encoded = key.encode()
        offset = self.append(bytes([len(encoded)]) + encoded + value)
        self.newest.pop(key, None)
        if value:
            self.newest[key] = (offset, value)

    def forget(self) -> None:
        """Compact the topic: keep only the newest record of each key."""
        self.first = self.end
        self.records.clear()

    def copy(self) -> Topic:
        """Return a copy that later appends do not change."""
        return Topic(self.first, list(self.records), dict(self.newest))


class RecordStore(web.StandIn[RecordFaults]):
    """Append and read records of topics."""

    def __init__(self) -> None:
        super().__init__(RecordFaults())
        self.topics: dict[str, Topic] = {}
        self.calls: list[str] = []
        # Maximum number of records that one read returns.
        self.most = 1_000
        # Era header of each response; omitted if empty.
        self.era = ''
        self._backup: dict[str, Topic] = {}
        self._answers_to_lose = 0

    def note_faults(self) -> None:
        """Reset the count of lost responses."""
        self._answers_to_lose = self.faults.lose_answers

    def find(self, topic: str) -> Topic:
        """Return a topic, creating it on first use."""
        return self.topics.setdefault(topic, Topic())

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a document under a key."""
        self.find(topic).put(key, json.dumps(value).encode())

    def drop(self, topic: str, key: str) -> None:
        """Delete a key."""
        self.find(topic).put(key, b'')

    def back_up(self) -> None:
        """Take the backup that `restore` returns to."""
        self._backup = {name: each.copy() for name, each in self.topics.items()}

    def restore(self) -> None:
        """Restore the backup; later offsets are then assigned a second time."""
        before = tuple(self.topics.values())
        self.topics = {name: each.copy() for name, each in self._backup.items()}
        self.era = str(int(self.era or 0) + 1)
        for topic in before:
            topic.changed.set()

    async def answer(self, request: web.Request) -> web.Answer:
        """Handle one call and add the era header to the response."""
        found = await self._answer_call(request)
        if not self.era:
            return found
        return replace(found, headers=(*found.headers, ('store-era', self.era)))

    async def _answer_call(self, request: web.Request) -> web.Answer:
        self.calls.append(request.path)
        topic = self.find(request.query['topic'])
        match request.path:
            case '/api/log-newest':
                return _list_newest(topic)
            case '/api/log-read':
                return await _read(topic, request, self.most)
            case '/api/log-append':
                return await self._append(topic, request)
        return web.refuse(404, 'no such call')

    async def _append(self, topic: Topic, request: web.Request) -> web.Answer:
        body = await request.body()
        (length,) = _LENGTH.unpack_from(body)
        offset = topic.append(body[_LENGTH.size : _LENGTH.size + length])
        if self._answers_to_lose:
            self._answers_to_lose -= 1
            raise web.Dropped
        return web.answer_json({'offset': offset, 'end': topic.end})


def _list_newest(topic: Topic) -> web.Answer:
    items = [
        {'key': key, 'value': base64.b64encode(value).decode(), 'offset': at}
        for key, (at, value) in topic.newest.items()
    ]
    return web.answer_json({'items': items, 'more': False, 'end': topic.end})


async def _read(topic: Topic, request: web.Request, most: int) -> web.Answer:
    start = int(request.query['from'])
    if start < topic.first or start > topic.end:
        return web.answer_json({'first': topic.first}, 410)
    if start >= topic.end:
        await request.body()
        await web.run_until_closed(request, lambda: _wait(topic, request))
    begin = max(start - topic.first, 0)
    records = topic.records[begin : begin + most]
    data = b''.join(_LENGTH.pack(len(each)) + each for each in records)
    ends = _ENDS.pack(topic.end, topic.first)
    return web.Answer(200, ends + data, 'application/octet-stream')


async def _wait(topic: Topic, request: web.Request) -> None:
    wait = float(request.query.get('waitMs', '0'))
    with anyio.move_on_after(wait / _MILLIS):
        await topic.changed.wait()
