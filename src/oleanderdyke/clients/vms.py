"""Client for the platform's list of VMs, which may be out of date."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

from oleanderdyke.clients.documents import DocumentClient, PlatformUnavailable
from oleanderdyke.clock import SECOND, Millis


@dataclass(frozen=True, slots=True)
class Vm:
    """Describe a VM; `address` is that of its agent."""

    name: str
    address: str
    data_centre: str
    leaving: bool


class VmClient:
    """Client for the VM list at `host:port`."""

    def __init__(
        self, address: str, *, tls: ssl.SSLContext | None = None
    ) -> None:
        self._documents = DocumentClient(address, tls=tls)

    async def list(self, *, timeout: Millis = 2 * SECOND) -> tuple[Vm, ...]:
        """Return the listed VMs; raise OleanderError."""
        document = await self._documents.get('/vms', timeout)
        if not isinstance(document, list):
            raise PlatformUnavailable(
                f'VM list: found {type(document).__name__}; allowed: a list'
            )
        return tuple(_make_vm(each) for each in document)

    async def close(self) -> None:
        """Close every connection."""
        await self._documents.close()


def _make_vm(document: object) -> Vm:
    if not isinstance(document, dict):
        raise PlatformUnavailable(
            f'VM: found {type(document).__name__}; allowed: an object'
        )
    texts = [document.get(key) for key in ('name', 'address', 'data_centre')]
    leaving = document.get('leaving', False)
    if not all(isinstance(text, str) for text in texts):
        raise PlatformUnavailable(
            'VM: found name, address or data_centre that is no text'
        )
    if not isinstance(leaving, bool):
        raise PlatformUnavailable(
            f'VM: leaving: found {type(leaving).__name__}; allowed: true, false'
        )
    name, address, data_centre = map(str, texts)
    return Vm(name, address, data_centre, leaving)
