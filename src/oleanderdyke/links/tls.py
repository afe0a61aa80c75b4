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
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(paths.certificate, paths.key or None)
    if paths.ca:
        context.load_verify_locations(paths.ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(paths: TlsPaths) -> ssl.SSLContext:
    """Build a context that checks the server against the CA.

    Without a CA the machine's own list of authorities counts.
    """
    context = ssl.create_default_context(cafile=paths.ca or None)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if paths.certificate:
        context.load_cert_chain(paths.certificate, paths.key or None)
    return context
