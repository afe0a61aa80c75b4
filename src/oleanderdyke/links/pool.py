"""Pool of links: one to each address of a changing set."""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from random import Random

import anyio
from anyio.abc import TaskGroup

from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.errors import OleanderError
from oleanderdyke.links.dialer import dial
from oleanderdyke.links.link import Link, LinkSettings
from oleanderdyke.links.messages import Hello, Message

_MAX_DOUBLINGS = 20


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits of reconnection and of the links."""

    link: LinkSettings = field(default_factory=LinkSettings)
    first_backoff: Millis = 100.0
    last_backoff: Millis = 5 * SECOND
    concurrent_dials: int = 8


def choose_backoff(
    settings: PoolSettings, failures: int, random: Random
) -> Millis:
    """Return an exponential backoff with full jitter, in milliseconds."""
    doublings = min(failures, _MAX_DOUBLINGS)
    bound = min(settings.first_backoff * 2**doublings, settings.last_backoff)
    return random.uniform(0, bound)


@dataclass(slots=True)
class _Target:
    """State of one address of the pool."""

    name: str
    address: str
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    link: Link | None = None
    wanted: bool = True
    failures: int = 0


class LinkPool:
    """Dial every address, reconnect with backoff, and find links by name.

    `make_hello` is called before each dial. The callbacks of one link run one
    after the other, those of different links concurrently. `handle_inline` is
    called while bytes are read, which saves a turn of the event loop compared
    with `on_message`.
    """

    def __init__(
        self,
        make_hello: Callable[[], Hello],
        *,
        on_up: Callable[[Link], Awaitable[None]],
        on_message: Callable[[Link, Message], Awaitable[None]],
        on_down: Callable[[Link], Awaitable[None]],
        settings: PoolSettings,
        clock: Clock,
        random: Random,
        tls: ssl.SSLContext | None = None,
        handle_inline: Callable[[Link, Message], None] | None = None,
    ) -> None:
        self._make_hello = make_hello
        self._on_up = on_up
        self._on_message = on_message
        self._on_down = on_down
        self._handle_inline = handle_inline
        self._settings = settings
        self._clock = clock
        self._random = random
        self._tls = tls
        self._dials = anyio.Semaphore(settings.concurrent_dials)
        self._targets: dict[str, _Target] = {}
        self._names: dict[str, Link] = {}
        self._group: TaskGroup | None = None

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replace the addresses to connect to, from VM name to `host:port`."""
        for name, target in tuple(self._targets.items()):
            if addresses.get(name) != target.address:
                self._drop(self._targets.pop(name))
        for name, address in addresses.items():
            if name not in self._targets:
                self._add(_Target(name, address))

    def find(self, name: str) -> Link | None:
        """Return the open link of a process name, VM name or address."""
        link = self._names.get(name)
        return None if link is None or link.closed else link

    def links(self) -> Sequence[Link]:
        """Return all open links."""
        targets = self._targets.values()
        links = (target.link for target in targets)
        return tuple(link for link in links if link and not link.closed)

    async def run(self) -> None:
        """Connect and receive messages until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            try:
                for target in tuple(self._targets.values()):
                    group.start_soon(self._keep_connected, target)
                await anyio.sleep_forever()
            finally:
                self._group = None

    def _add(self, target: _Target) -> None:
        self._targets[target.name] = target
        if self._group is not None:
            self._group.start_soon(self._keep_connected, target)

    def _drop(self, target: _Target) -> None:
        target.wanted = False
        target.scope.cancel()

    async def _keep_connected(self, target: _Target) -> None:
        with target.scope:
            while target.wanted:
                await self._wait_backoff(target)
                link = await self._dial(target)
                if link is None:
                    target.failures += 1
                else:
                    await self._serve(target, link)

    async def _wait_backoff(self, target: _Target) -> None:
        wait = choose_backoff(self._settings, target.failures, self._random)
        await anyio.sleep(wait / SECOND)

    async def _dial(self, target: _Target) -> Link | None:
        async with self._dials:
            try:
                return await dial(
                    target.address,
                    self._make_hello(),
                    settings=self._settings.link,
                    clock=self._clock,
                    tls=self._tls,
                )
            except OleanderError:
                return None

    async def _serve(self, target: _Target, link: Link) -> None:
        names = (target.name, target.address, link.peer.process)
        started = self._clock.now()
        target.link = link
        self._names.update(dict.fromkeys(names, link))
        try:
            await self._read(link)
        finally:
            target.link = None
            self._remove_names(names, link)
            with anyio.CancelScope(shield=True):
                await link.close()
                await self._on_down(link)
        # A peer that drops each link at once is dialed with growing backoff.
        # The backoff is reset for a peer that fell silent, as its streams wait
        # 4 s for a new link, which can be less than the backoff after earlier
        # failed dials.
        duration = self._clock.now() - started
        was_stable = (
            link.keepalive_expired or duration > self._settings.last_backoff
        )
        target.failures = 0 if was_stable else target.failures + 1

    async def _read(self, link: Link) -> None:
        try:
            await self._on_up(link)
            if self._handle_inline is not None:
                link.handle_inline(partial(self._handle_inline, link))
            while True:
                await self._on_message(link, await link.receive())
        except OleanderError:
            return

    def _remove_names(self, names: Sequence[str], link: Link) -> None:
        for name in names:
            if self._names.get(name) is link:
                del self._names[name]
