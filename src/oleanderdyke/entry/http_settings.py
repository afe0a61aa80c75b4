"""Define the settings of the HTTP server of an entry."""

from __future__ import annotations

from dataclasses import dataclass

from oleanderdyke.clock import SECOND, Millis

_KIB = 1024
_MIB = 1024 * _KIB


@dataclass(frozen=True, slots=True)
class HttpSettings:
    """Configure the listening address and the limits of requests.

    `plain_text` allows plain HTTP on an address that is not loopback.
    Requests that arrive are refused while all together hold more than
    `held_bytes`.
    """

    host: str = '127.0.0.1'
    port: int = 8080
    certificate: str = ''
    key: str = ''
    plain_text: bool = False
    header_limit: int = 16 * _KIB
    body_limit: int = 8 * _MIB
    connections: int = 2_000
    held_bytes: int = 64 * _MIB
    keep_alive: Millis = 5 * SECOND
    body_timeout: Millis = 10 * SECOND
    send_timeout: Millis = 30 * SECOND
