"""Read the platform's list of VMs, which lags behind reality."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

from oleanderdyke.clients.documents import DocumentClient, PlatformUnavailable
from oleanderdyke.clock import SECOND, Millis


@dataclass(frozen=True, slots=True)
class Vm:
    """Name a VM and where its agent listens."""

    name: str
    address: str
    data_centre: str
    leaving: bool


class VmClient:
    """Call the VM list at `host:port`."""

    def __init__(
        self, address: str, *, tls: ssl.SSLContext | None = None
    ) -> None:
        self._documents = DocumentClient(address, tls=tls)

    async def list(self, *, timeout: Millis = 2 * SECOND) -> tuple[Vm, ...]:
        """Return the known VMs; raise OleanderError."""
        document = await self._documents.get('/vms', timeout)
        if not isinstance(document, list):
            raise PlatformUnavailable('the VM list is no list')
        return tuple(_make_vm(each) for each in document)

    async def close(self) -> None:
        """Close every connection."""
        await self._documents.close()


def _make_vm(document: object) -> Vm:
    if not isinstance(document, dict):
        raise PlatformUnavailable('a VM is no map')
    texts = [document.get(key) for key in ('name', 'address', 'data_centre')]
    leaving = document.get('leaving', False)
    if not all(isinstance(text, str) for text in texts):
        raise PlatformUnavailable('a VM lacks its name or place')
    if not isinstance(leaving, bool):
        raise PlatformUnavailable('a VM is neither leaving nor staying')
    name, address, data_centre = map(str, texts)
    return Vm(name, address, data_centre, leaving)
