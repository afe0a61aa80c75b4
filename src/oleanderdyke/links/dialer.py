"""Open links to listening peers."""

from __future__ import annotations

import ssl

from oleanderdyke.clock import Clock
from oleanderdyke.links.link import Link, LinkSettings
from oleanderdyke.links.messages import Hello


async def dial(
    address: str,
    hello: Hello,
    *,
    settings: LinkSettings,
    clock: Clock,
    tls: ssl.SSLContext | None = None,
) -> Link:
    """Connect to `host:port` and exchange hellos; raise OleanderError."""
    raise NotImplementedError
