"""Network addresses of the form `host:port`."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Return the host, without the brackets of IPv6, and the port.

    Raise ValueError if the port is no integer.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
