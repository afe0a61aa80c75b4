"""Build the TLS contexts of links and of the caller side."""

from __future__ import annotations

import ssl
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TlsPaths:
    """Name the PEM files of one side; `ca` makes the peer prove itself."""

    certificate: str = ''
    key: str = ''
    ca: str = ''


def make_server_context(paths: TlsPaths) -> ssl.SSLContext:
    """Build a context that asks clients for a certificate where a CA is set."""
    raise NotImplementedError


def make_client_context(paths: TlsPaths) -> ssl.SSLContext:
    """Build a context that checks the server against the CA."""
    raise NotImplementedError
