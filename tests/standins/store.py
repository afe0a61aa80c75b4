"""Simulate a store VM behind a link of limited bandwidth."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

from tests.standins import server, web

_CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Limit the memory and the link rate; a rate of zero means no limit."""

    capacity_bytes: int = 64 * 1024 * 1024
    link_bytes_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreFaults(web.Faults):
    """Add the faults of a store.

    `link_bytes_per_second` slows the link, `full` refuses writes, and
    `keep_partial` keeps the received part of an interrupted write. `lose`,
    `corrupt` and `truncate` are applied once to the named objects ('*': all).
    """

    link_bytes_per_second: float = 0.0
    full: bool = False
    keep_partial: bool = False
    lose: list[str] = field(default_factory=list)
    corrupt: list[str] = field(default_factory=list)
    truncate: list[str] = field(default_factory=list)


class Store(web.StandIn[StoreFaults]):
    """Keep objects in memory."""

    def __init__(self, settings: StoreSettings) -> None:
        super().__init__(StoreFaults())
        self._settings = settings
        self._link = web.Pipe(settings.link_bytes_per_second)
        self.objects: dict[str, bytes] = {}
        self.read_bytes = 0

    def note_faults(self) -> None:
        """Set the link rate and damage the named objects once."""
        self._link.rate = (
            self.faults.link_bytes_per_second
            or self._settings.link_bytes_per_second
        )
        for name in self._select(self.faults.lose):
            del self.objects[name]
        for name in self._select(self.faults.corrupt):
            data = self.objects[name]
            self.objects[name] = data[:-1] + bytes([data[-1] ^ 1])
        for name in self._select(self.faults.truncate):
            self.objects[name] = self.objects[name][:-1]

    def _select(self, names: list[str]) -> list[str]:
        if '*' in names:
            return list(self.objects)
        return [name for name in names if name in self.objects]

    async def answer(self, request: web.Request) -> web.Answer:
        """Handle one HTTP request."""
        match request.path:
            case '/space':
                return web.answer_json(self._measure())
            case '/objects':
                return web.answer_json(self._list())
            case '/stats':
                return web.answer_json({'read_bytes': self.read_bytes})
        return await self._answer_object(request)

    def _list(self) -> dict[str, int]:
        return {name: len(data) for name, data in self.objects.items()}

    async def _answer_object(self, request: web.Request) -> web.Answer:
        name = request.path.removeprefix('/objects/')
        if request.method == 'PUT':
            return await self._write(name, request)
        if name not in self.objects:
            return web.refuse(404, 'no such object')
        if request.method == 'DELETE':
            del self.objects[name]
            return web.answer_json({})
        body = self._read(self.objects[name])
        return web.Answer(200, body, 'application/octet-stream')

    def _measure(self) -> dict[str, float]:
        return {
            'capacity': self._settings.capacity_bytes,
            'used': self._used(),
            'link_bytes_per_second': self._link.rate,
        }

    def _used(self) -> int:
        return sum(map(len, self.objects.values()))

    async def _write(self, name: str, request: web.Request) -> web.Answer:
        data = bytearray()
        try:
            async for chunk in request.chunks():
                await self._link.carry(len(chunk))
                data += chunk
        except web.Dropped:
            if self.faults.keep_partial:
                self.objects[name] = bytes(data)
            raise
        free = self._settings.capacity_bytes - self._used()
        free += len(self.objects.get(name, b''))
        if self.faults.full or len(data) > free:
            return web.refuse(507, 'full')
        self.objects[name] = bytes(data)
        return web.answer_json({}, 201)

    async def _read(self, data: bytes) -> AsyncGenerator[bytes, None]:
        for start in range(0, len(data), _CHUNK_BYTES):
            chunk = data[start : start + _CHUNK_BYTES]
            await self._link.carry(len(chunk))
            self.read_bytes += len(chunk)
            yield chunk


def make_app(settings: StoreSettings | None = None) -> Store:
    """Build a store."""
    return Store(settings or StoreSettings())


if __name__ == '__main__':
    server.run_main('store', StoreSettings, make_app)
