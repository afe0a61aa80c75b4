"""Accept links from dialing peers."""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from oleanderdyke.clock import Clock
from oleanderdyke.links.link import Link, LinkSettings
from oleanderdyke.links.messages import Hello


@asynccontextmanager
async def serve_links(
    host: str,
    port: int,
    make_hello: Callable[[], Hello],
    handle: Callable[[Link], Awaitable[None]],
    *,
    settings: LinkSettings,
    clock: Clock,
    tls: ssl.SSLContext | None = None,
) -> AsyncIterator[int]:
    """Give the bound port; run `handle` for each link in its own task."""
    raise NotImplementedError
    yield 0
