"""Network addresses of the form `host:port`."""

from __future__ import annotations

import re
import socket
from collections.abc import Iterator
from contextlib import contextmanager

_MAX_PORT = 65_535
_MAX_HOST_LENGTH = 253
# Resolving an empty or longer label raises UnicodeError.
_LABEL = '[0-9A-Za-z_-]{1,63}'
_ADDRESS = re.compile(
    rf'(?:({_LABEL}(?:\.{_LABEL})*)|\[([0-9A-Fa-f:.]+)\]):([0-9]{{1,5}})',
    re.ASCII,
)


class InvalidAddress(OSError, ValueError):
    """Raised for an address that no connection can be opened to.

    Decoders treat it as a malformed value, callers of peers as a failure.
    """


def split_address(address: str) -> tuple[str, int]:
    """Return the host, without the brackets of IPv6, and the port.

    Raise InvalidAddress.
    """
    match = _ADDRESS.fullmatch(address)
    if match is None:
        raise InvalidAddress('allowed: host:port')
    name, literal, digits = match.groups()
    port = int(digits)
    if not 0 < port <= _MAX_PORT:
        raise InvalidAddress(f'allowed: a port from 1 to {_MAX_PORT}')
    if literal:
        _check_literal(literal)
    elif len(name) > _MAX_HOST_LENGTH:
        raise InvalidAddress(f'allowed: a host of {_MAX_HOST_LENGTH} bytes')
    return name or literal, port


def _check_literal(literal: str) -> None:
    try:
        socket.inet_pton(socket.AF_INET6, literal)
    except OSError as error:
        raise InvalidAddress('allowed in brackets: an IPv6 address') from error


@contextmanager
def connecting() -> Iterator[None]:
    """Raise OSError for whatever resolving or connecting raises.

    The encoder of host names raises UnicodeError, the resolver OverflowError.
    """
    try:
        yield
    except OSError:
        raise
    except (ValueError, OverflowError) as error:
        raise InvalidAddress(type(error).__name__) from error
