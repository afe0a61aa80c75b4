"""Take addresses apart."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`, an IPv6 host without brackets."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
