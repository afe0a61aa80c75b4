"""Read the platform's list of VMs, which lags behind reality."""

from __future__ import annotations

from dataclasses import dataclass

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

    def __init__(self, address: str) -> None:
        raise NotImplementedError

    async def list(self, *, timeout: Millis = 2 * SECOND) -> tuple[Vm, ...]:
        """Return the known VMs; raise OleanderError."""
        raise NotImplementedError

    async def close(self) -> None:
        """Close every connection."""
        raise NotImplementedError
