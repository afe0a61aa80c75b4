"""Simulate a model engine with continuous batching."""

from __future__ import annotations

import os
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from typing import Any, TypeAlias

import httpcore

from tests.standins import answers, batch, cache, server, web

EXIT_CODE = 23
_WEIGHT_RETRY_MS = 100.0
_LOAD_SAMPLES = 1_000
_HOLD_POLL_MS = 10.0

Fence: TypeAlias = list[Any] | None


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Set the size of an engine and the addresses that it uses.

    `weights` is the address of the weight store. Without `model` the engine
    starts with no weights. A prompt that contains `poison` crashes it.
    """

    model: str = ''
    version: str = ''
    weights: str = ''
    prefill_tokens_per_second: float = 20_000.0
    decode_ms: float = 10.0
    slots: int = 8
    cache_segments: int = 256
    event_lag_ms: float = 50.0
    lose_event_every: int = 0
    load_lag_ms: float = 50.0
    load_ms: float = 100.0
    checks_fence: int = 1
    poison: str = 'POISON'


@dataclass(frozen=True, slots=True)
class EngineFaults(web.Faults):
    """Add the faults of an engine.

    `crash` ends the process in the next run, `hang` leaves chats unanswered,
    `hold` delays the first token of each run while it is set, and `cut_after`
    drops each stream after that many tokens.
    """

    crash: bool = False
    hang: bool = False
    hold: bool = False
    cut_after: int = 0


@dataclass(frozen=True, slots=True)
class LoadedWeights:
    """Identify the loaded weights; an empty digest means none."""

    model: str = ''
    version: str = ''
    adapter: str = ''
    digest: str = ''


def _exit() -> None:
    os._exit(EXIT_CODE)


class Engine(web.StandIn[EngineFaults]):
    """Run chats, cache their prefixes and execute control orders."""

    def __init__(
        self, settings: EngineSettings, die: Callable[[], None] = _exit
    ) -> None:
        super().__init__(EngineFaults())
        self._settings = settings
        self._die = die
        self._loading = False
        self._role = ''
        self._fence: Fence = None
        self.loaded = LoadedWeights()
        self.stats = answers.Stats()
        self.cache = cache.SegmentCache(
            settings.cache_segments,
            settings.event_lag_ms,
            settings.lose_event_every,
        )
        self.batch = batch.Batch(
            settings.slots,
            settings.prefill_tokens_per_second,
            settings.load_lag_ms,
        )

    async def answer(self, request: web.Request) -> web.Answer:
        """Handle one HTTP request."""
        await self._load_first()
        kv = request.path.removeprefix('/kv/')
        if kv != request.path:
            return await self._move_kv(bytes.fromhex(kv), request)
        match request.path:
            case '/v1/chat/completions':
                return await self._chat(request)
            case '/orders':
                return await self._take_order(await request.json())
        return self._show(request)

    def _show(self, request: web.Request) -> web.Answer:
        match request.path:
            case '/load':
                return web.answer_json(self.batch.show_load())
            case '/state':
                return web.answer_json(self._show_state())
            case '/stats':
                return web.answer_json(self.stats.show())
            case '/cache/events':
                after = int(request.query.get('after', 0))
                return web.answer_json(self.cache.show_events(after))
        return web.refuse(404, 'not found')

    def _show_state(self) -> dict[str, Any]:
        return {
            'model': self.loaded.model,
            'version': self.loaded.version,
            'digest': self.loaded.digest,
            'adapter': self.loaded.adapter,
            'role': self._role,
            'fence': self._fence,
            'loading': self._loading,
        }

    async def _load_first(self) -> None:
        if self._settings.model and not self.loaded.digest:
            await self._load(
                LoadedWeights(self._settings.model, self._settings.version)
            )

    async def _take_order(self, order: dict[str, Any]) -> web.Answer:
        fence = order.get('fence')
        if self._is_stale(fence):
            self.stats.orders_refused += 1
            return web.refuse(409, 'old fence')
        self._fence = fence
        self._role = order.get('role', '')
        self.stats.orders_taken += 1
        await self._load(
            LoadedWeights(
                order['model'], order['version'], order.get('adapter') or ''
            )
        )
        return web.answer_json(self._show_state())

    def _is_stale(self, fence: Fence) -> bool:
        if not self._settings.checks_fence or not self._fence:
            return False
        return not fence or bool(fence[0] < self._fence[0])

    async def _load(self, wanted: LoadedWeights) -> None:
        if self._loading or self._holds(wanted):
            return
        self._loading = True
        self.loaded = LoadedWeights()
        self.cache.clear()
        try:
            await web.sleep(self._settings.load_ms)
            digest = await self._find_digest(wanted)
            self.loaded = LoadedWeights(
                wanted.model, wanted.version, wanted.adapter, digest
            )
            self.stats.loads += 1
        finally:
            self._loading = False

    def _holds(self, wanted: LoadedWeights) -> bool:
        held = self.loaded
        return (held.model, held.version, held.adapter) == (
            wanted.model,
            wanted.version,
            wanted.adapter,
        )

    async def _find_digest(self, wanted: LoadedWeights) -> str:
        url = (
            f'http://{self._settings.weights}/weights/'
            f'{wanted.model}/{wanted.version}'
        )
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                answer = await pool.request('GET', url)
                if answer.status == 200:
                    return answers.read_digest(answer.content)
                await web.sleep(_WEIGHT_RETRY_MS)

    async def _move_kv(
        self, segment: bytes, request: web.Request
    ) -> web.Answer:
        if request.method == 'PUT':
            data = await request.body()
            self.stats.imports += 1
            self.stats.corrupt_imports += data != cache.make_kv(segment)
            self.cache.store(segment, data)
            return web.answer_json({})
        found = self.cache.find(segment)
        if found is None:
            return web.refuse(404, 'not cached')
        self.stats.exports += 1
        return web.Answer(200, found, 'application/octet-stream')

    async def _chat(self, request: web.Request) -> web.Answer:
        try:
            chat = answers.read_chat(
                await request.body(), web.find_request_id(request)
            )
        except (KeyError, TypeError, ValueError):
            return web.refuse(400, 'malformed chat')
        if self.faults.hang:
            await request.wait_closed()
            raise web.Dropped
        if not self.loaded.digest:
            return web.refuse(503, 'no weights loaded')
        run = answers.Run(chat, self.loaded.digest)
        if chat.stream:
            body = answers.stream_events(run, self._run(run))
            return web.Answer(200, body, 'text/event-stream', watched=True)
        await web.run_until_closed(request, lambda: self._finish(run))
        return web.answer_json(answers.render_whole(run))

    async def _finish(self, run: answers.Run) -> None:
        async for _ in self._run(run):
            pass

    async def _run(self, run: answers.Run) -> AsyncGenerator[str, None]:
        ticket = self.batch.enter(run.chat.priority, run.chat.tokens)
        finished = False
        try:
            await ticket.wait()
            await self._prefill(run, ticket)
            while self.faults.hold:
                await web.sleep(_HOLD_POLL_MS)
            for index, word in enumerate(run.words):
                self._apply_run_faults(run, index)
                await web.sleep(self._settings.decode_ms)
                yield word
            finished = True
        finally:
            self.batch.leave(ticket)
            self.stats.count_end(finished=finished)

    async def _prefill(self, run: answers.Run, ticket: batch.Ticket) -> None:
        chain = cache.make_chain(run.chat.namespace, run.chat.prompt)
        held = self.cache.count_leading(chain)
        run.cached_tokens = held * cache.SEGMENT_TOKENS
        for segment in chain[:held]:
            if self.cache.find(segment) != cache.make_kv(segment):
                self.stats.corrupt_used += 1
        self.stats.count_start(run)
        await self.batch.prefill(ticket, run.chat.tokens - run.cached_tokens)
        if run.digest != self.loaded.digest:
            return
        for segment in chain:
            self.cache.store(
                segment, self.cache.find(segment) or cache.make_kv(segment)
            )

    def _apply_run_faults(self, run: answers.Run, index: int) -> None:
        if self.faults.cut_after and index >= self.faults.cut_after:
            raise web.Dropped
        poison = self._settings.poison.encode()
        if self.faults.crash or (poison and poison in run.chat.prompt):
            self._die()


def make_app(
    settings: EngineSettings | None = None, die: Callable[[], None] = _exit
) -> Engine:
    """Build an engine that calls `die` to end its process."""
    return Engine(settings or EngineSettings(), die)


if __name__ == '__main__':
    server.run_main('engine', EngineSettings, make_app)
