"""Keep one link to each address of a changing set."""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.links.link import Link, LinkSettings
from oleanderdyke.links.messages import Hello, Message


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Bound how a pool reconnects."""

    link: LinkSettings = field(default_factory=LinkSettings)
    first_backoff: Millis = 100.0
    last_backoff: Millis = 5 * SECOND
    concurrent_dials: int = 8


class LinkPool:
    """Dial every address, reconnect with backoff, and find links by name.

    `make_hello` is asked before each dial. The callbacks of one link run one
    after the other, those of different links side by side.
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
    ) -> None:
        raise NotImplementedError

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replace the wanted set, from VM name to `host:port`."""
        raise NotImplementedError

    def find(self, name: str) -> Link | None:
        """Return the open link of a process name, VM name or address."""
        raise NotImplementedError

    def links(self) -> Sequence[Link]:
        """Return every open link."""
        raise NotImplementedError

    async def run(self) -> None:
        """Dial and read until cancelled."""
        raise NotImplementedError
