"""Simulate the platform's rate-limited weight store."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Any

from tests.standins import server, web

_LENGTH = 8_000_000_000


@dataclass(frozen=True, slots=True)
class WeightSettings:
    """Limit the request rate of the store; zero means no limit."""

    requests_per_second: float = 50.0
    burst: float = 20.0


@dataclass(frozen=True, slots=True)
class WeightFaults(web.Faults):
    """Add the faults of a weight store: versions reported as missing."""

    missing: list[str] = field(default_factory=list)


def make_digest(model: str, version: str) -> str:
    """Return the digest of a version that has no explicit description."""
    text = f'{model}/{version}'.encode()
    return hashlib.blake2b(text, digest_size=32).hexdigest()


class WeightStore(web.StandIn[WeightFaults]):
    """Describe weights; `PUT` on a version replaces its description."""

    def __init__(self, settings: WeightSettings) -> None:
        super().__init__(WeightFaults())
        self._bucket = web.Bucket(settings.requests_per_second, settings.burst)
        self._replaced: dict[str, Any] = {}

    async def answer(self, request: web.Request) -> web.Answer:
        """Return the digest and length of a version."""
        name = request.path.removeprefix('/weights/')
        model, _, version = name.partition('/')
        if request.method == 'PUT':
            self._replaced[name] = await request.json()
            return web.answer_json({})
        if not self._bucket.take():
            return web.refuse(429, 'too many requests')
        if not version or name in self.faults.missing:
            return web.refuse(404, 'no such version')
        default = {'digest': make_digest(model, version), 'length': _LENGTH}
        return web.answer_json(self._replaced.get(name, default))


def make_app(settings: WeightSettings | None = None) -> WeightStore:
    """Build a weight store."""
    return WeightStore(settings or WeightSettings())


if __name__ == '__main__':
    server.run_main('weights', WeightSettings, make_app)
