"""Requests with a part that ends every server which begins to answer them."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

import anyio

from tests.hosted import MODEL, make_request, read_answer
from tests.standins.replica import Peer
from tools.soak.arrivals import Observations
from tools.soak.events import StreamPath
from tools.soak.fleet import EntryProcess, Fleet
from tools.soak.hosts import Host
from tools.soak.service import Service

MODELS = ({'name': MODEL, 'version': 1},)
_RATE = 25.0
_BAD_SHARE = 0.12
_DOCUMENTS = 30
_READING_SECONDS = 0.03
_DOWN_SECONDS = (0.5, 2.0)
_DEADLINE_SECONDS = 4.0
_EVENTS = 2
_PAUSE_SECONDS = 0.05
_TOKENS = 40
_MOST_PARTS = 4
_REPEAT_PAUSE = (2.0, 5.0)
_WHOLE = 'whole'
_PROMPT_HEADER = 'oleanderdyke-prompt-prefix'


@dataclass(frozen=True, slots=True)
class PoisonRule:
    """Limit what a poisonous part may do; times are in seconds.

    Later than `stable` after crash number `crashes`, at most `late` requests
    with it arrive, sent by entries in touch. From twice that time on, sound
    requests begin at least `share` as often as before, given `least` of each.
    """

    crashes: int = 5
    stable: float = 3.0
    late: int = 3
    share: float = 0.5
    least: int = 20


# Of one request that comes again.
REPEAT_RULE = PoisonRule(crashes=3)


@dataclass(slots=True)
class _Request:
    """One request with a prompt, and the entry that it was sent to."""

    name: str
    process: str
    sent: float
    part: str = ''
    has_begun: bool = False
    # Equal requests have equal texts.
    text: str = ''


@dataclass
class PoisonTraffic:
    """Send sound and poisonous requests, and end the servers of these."""

    fleet: Fleet
    observations: Observations
    service: Service
    random: Random
    now: Callable[[], float]
    arrivals: list[_Request] = field(default_factory=list)
    arrived: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    sound: list[_Request] = field(default_factory=list)
    begun: float = 0.0
    _sent: dict[str, _Request] = field(default_factory=dict)
    _numbers: Iterator[int] = field(default_factory=itertools.count)
    # Each start of a server ends once.
    _ended: set[str] = field(default_factory=set)
    _restarts: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(
        self, part: str, sound_seconds: float, seconds: float
    ) -> None:
        """Send sound requests for a while, then some with the part too."""
        self.begun = self.now() + sound_seconds
        end = self.now() + seconds
        async with anyio.create_task_group() as tasks:
            while self.now() < end:
                is_bad = self.now() > self.begun and (
                    self.random.random() < _BAD_SHARE
                )
                tasks.start_soon(self._send, part if is_bad else '')
                await anyio.sleep(self.random.expovariate(_RATE))

    async def run_repeats(
        self, callers: int, sound_seconds: float, seconds: float
    ) -> None:
        """Send sound requests, and one that ends servers from time to time."""
        self.begun = self.now() + sound_seconds
        end = self.now() + seconds
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.run, '', seconds, seconds)
            await anyio.sleep(sound_seconds)
            while self.now() < end:
                for _ in range(callers):
                    tasks.start_soon(self._send_twice)
                await anyio.sleep(self.random.uniform(*_REPEAT_PAUSE))
        # `run` sets it for parts.
        self.begun = end - seconds + sound_seconds

    async def _send_twice(self) -> None:
        if not await self._send(_WHOLE, _WHOLE):
            await self._send(_WHOLE, _WHOLE)

    async def take(self, host: Host, peer: Peer) -> bool:
        """End the server if the request is poisonous; return whether it is."""
        name = peer.request.headers['oleanderdyke-request-id']
        request = self._sent.get(name)
        if request is None or not request.part or not host.is_serving:
            return False
        self.arrivals.append(request)
        self.arrived.append(self.now())
        await anyio.sleep(_READING_SECONDS)
        if host.is_serving and host.server not in self._ended:
            self._ended.add(host.server)
            self.crashes.append(self.now())
            slot = self.service.hosts.index(host)
            down = self.random.uniform(*_DOWN_SECONDS)
            task = asyncio.ensure_future(
                self.service.restart(slot, down, is_new_start=True)
            )
            self._restarts.add(task)
            task.add_done_callback(self._restarts.discard)
        await peer.wait_closed()
        return True

    def expect(
        self, name: str, process: str, part: str, text: str = ''
    ) -> _Request:
        """Record a request that is about to be sent to an entry."""
        request = _Request(name, process, self.now(), part, text=text)
        self._sent[name] = request
        return request

    def list_faults(self, rule: PoisonRule) -> list[str]:
        """Return a line for each broken promise."""
        if len(self.crashes) < rule.crashes:
            return []
        since = self.crashes[rule.crashes - 1]
        late = sum(
            at > since + rule.stable and self._is_in_touch(request, rule)
            for request, at in zip(self.arrivals, self.arrived, strict=True)
        )
        faults = []
        if late > rule.late:
            faults.append(
                f'POISON {late} requests reached servers too late; '
                f'{len(self.crashes)} ended'
            )
        before = self._find_share(0.0, self.begun, rule)
        after = self._find_share(since + 2 * rule.stable, self.now(), rule)
        if before and after is not None and after < rule.share * before:
            faults.append(
                f'SOUND {after:.2f} of requests began, {before:.2f} before'
            )
        return faults

    def describe(self) -> str:
        """Return what was seen in a few words."""
        return f'{len(self.arrivals)} reached, {len(self.crashes)} ended'

    async def _send(self, part: str, text: str = '') -> bool:
        """Send one request; return whether it was served."""
        alive = self.fleet.list_alive()
        if not alive:
            return False
        process = self.random.choice(alive)
        name = f'prompt-{next(self._numbers)}'
        request = self.expect(name, process.life.name, part, text or name)
        if not part:
            self.sound.append(request)
        try:
            with anyio.fail_after(_DEADLINE_SECONDS):
                await self._ask(process, request)
        except (OSError, EOFError):
            return False
        return request.has_begun

    async def _ask(self, process: EntryProcess, request: _Request) -> None:
        path = StreamPath(
            request.text, _EVENTS, _PAUSE_SECONDS, is_resumable=False
        )
        self.observations.record_sent(
            request.name, self.now(), is_idempotent=False
        )
        reader, writer = await asyncio.open_connection(*process.callers)
        try:
            writer.write(
                make_request(
                    path.format(),
                    body=request.text.encode(),
                    oleanderdyke_request_id=request.name,
                    oleanderdyke_deadline_ms=f'{_DEADLINE_SECONDS * 1000:.0f}',
                    oleanderdyke_model=MODEL,
                    oleanderdyke_token_usage='90,9',
                    oleanderdyke_prompt_prefix=','.join(
                        f'{each}:{_TOKENS}'
                        for each in self._draw_parts(request)
                    ),
                )
            )
            found = await read_answer(reader)
        finally:
            writer.close()
        request.has_begun = found.status == 200

    def _draw_parts(self, request: _Request) -> tuple[str, ...]:
        """Return the parts of a prompt; equal requests divide theirs anew."""
        if request.part == _WHOLE:
            count = self.random.randint(1, _MOST_PARTS)
            numbers = (next(self._numbers) for _ in range(count))
            return tuple(f'whole{each}' for each in numbers)
        document = f'd{self.random.randrange(_DOCUMENTS)}'
        return 'common', request.part or document, request.text

    def _find_share(
        self, begin: float, end: float, rule: PoisonRule
    ) -> float | None:
        """Return the share of sound requests of a span that began."""
        found = [
            each.has_begun
            for each in self.sound
            if begin <= each.sent < end and self._is_in_touch(each, rule)
        ]
        return sum(found) / len(found) if len(found) >= rule.least else None

    def _is_in_touch(self, request: _Request, rule: PoisonRule) -> bool:
        begin, end = request.sent - rule.stable, request.sent
        seen = self.observations
        faults = (*seen.store_faults, *seen.server_faults)
        return seen.lives[request.process].is_calm(begin, end) and not any(
            each.overlaps(begin, end) for each in faults
        )
