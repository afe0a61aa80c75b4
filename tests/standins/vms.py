"""Simulate the platform's list of running and terminating VMs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from tests.standins import server, web


@dataclass(frozen=True, slots=True)
class VmSettings:
    """Set the delay of the list."""

    lag_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class VmFaults(web.Faults):
    """Add the faults of a VM list.

    `stale` freezes the list, `missing` omits the named VMs, and `wrong`
    replaces the addresses of VMs.
    """

    stale: bool = False
    missing: list[str] = field(default_factory=list)
    wrong: dict[str, str] = field(default_factory=dict)


class VmList(web.StandIn[VmFaults]):
    """List the VMs as of some time ago; `PUT /vms` replaces the list."""

    def __init__(self, settings: VmSettings) -> None:
        super().__init__(VmFaults())
        self._lag = settings.lag_ms
        self._current: list[dict[str, Any]] = []
        self._pending: list[tuple[float, list[dict[str, Any]]]] = []

    async def answer(self, request: web.Request) -> web.Answer:
        """Return the list or replace it."""
        if request.path != '/vms':
            return web.refuse(404, 'not found')
        if request.method == 'PUT':
            shown_at = web.now() + self._lag
            self._pending.append((shown_at, await request.json()))
            return web.answer_json({})
        if not self.faults.stale:
            self._advance()
        return web.answer_json([self._show(vm) for vm in self._list()])

    def _advance(self) -> None:
        while self._pending and self._pending[0][0] <= web.now():
            self._current = self._pending.pop(0)[1]

    def _list(self) -> list[dict[str, Any]]:
        missing = self.faults.missing
        return [vm for vm in self._current if vm['name'] not in missing]

    def _show(self, vm: dict[str, Any]) -> dict[str, Any]:
        return {
            **vm,
            'address': self.faults.wrong.get(vm['name'], vm['address']),
        }


def make_app(settings: VmSettings | None = None) -> VmList:
    """Build a VM list."""
    return VmList(settings or VmSettings())


if __name__ == '__main__':
    server.run_main('vms', VmSettings, make_app)
