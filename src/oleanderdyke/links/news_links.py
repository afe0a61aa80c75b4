"""Links between neighbours that share what they read."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import anyio

from oleanderdyke.clients.addresses import split_address
from oleanderdyke.clock import SECOND, Clock, Millis
from oleanderdyke.links.link import Link, LinkSettings
from oleanderdyke.links.listener import serve_links
from oleanderdyke.links.messages import Hello
from oleanderdyke.links.newcomers import MAX_NEWCOMERS
from oleanderdyke.links.news_client import NewsClient
from oleanderdyke.links.news_server import NewsServer
from oleanderdyke.links.pool import LinkPool, PoolSettings

# Time between updates of the links to the current readers.
_CONNECT_PERIOD: Millis = 200.0
# Connecting within a data centre takes a few milliseconds.
_DIAL_LIMIT: Millis = 500.0


async def maintain_links(
    reader: NewsClient,
    make_hello: Callable[[], Hello],
    *,
    clock: Clock,
    random: Random,
) -> None:
    """Maintain links to the neighbours that read, until cancelled."""
    pool = LinkPool(
        make_hello,
        on_up=_ignore_link_up,
        on_message=reader.handle_answer,
        on_down=reader.on_link_down,
        settings=PoolSettings(
            link=LinkSettings(dial_timeout=_DIAL_LIMIT),
            last_backoff=1 * SECOND,
        ),
        clock=clock,
        random=random,
    )
    reader.set_pool(pool)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pool.run)
        while True:
            reader.update_links()
            await anyio.sleep(_CONNECT_PERIOD / SECOND)


async def serve_neighbours(
    desk: NewsServer,
    address: str,
    make_hello: Callable[[], Hello],
    *,
    clock: Clock,
    newcomers: int = MAX_NEWCOMERS,
) -> None:
    """Answer neighbours until cancelled; raise OSError if binding fails."""
    host, port = split_address(address)
    async with serve_links(
        host,
        port,
        make_hello,
        desk.handle,
        settings=LinkSettings(newcomers=newcomers),
        clock=clock,
    ):
        await anyio.sleep_forever()


async def _ignore_link_up(_: Link) -> None:
    """Do nothing, as nothing is sent over a link before the first request."""
