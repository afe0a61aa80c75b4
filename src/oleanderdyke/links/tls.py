"""TLS contexts of links and of the public HTTP listener."""

from __future__ import annotations

import ssl
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TlsPaths:
    """PEM files of one side; with `ca`, the peer's certificate is checked."""

    certificate: str = ''
    key: str = ''
    ca: str = ''


def make_server_context(paths: TlsPaths) -> ssl.SSLContext:
    """Build a context that requires client certificates if a CA is set."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(paths.certificate, paths.key or None)
    if paths.ca:
        context.load_verify_locations(paths.ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(paths: TlsPaths) -> ssl.SSLContext:
    """Build a context that verifies the server certificate.

    Without a CA in `paths`, the authorities of the system are trusted.
    """
    context = ssl.create_default_context(cafile=paths.ca or None)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if paths.certificate:
        context.load_cert_chain(paths.certificate, paths.key or None)
    return context
