"""Poll the VM list for the addresses of agents."""

from __future__ import annotations

from collections.abc import Iterable

import anyio

from oleanderdyke.clients.vms import Vm, VmClient
from oleanderdyke.clock import SECOND
from oleanderdyke.entry.core import Core
from oleanderdyke.errors import OleanderError
from oleanderdyke.events import EventName
from oleanderdyke.kernel.membership import choose_vms
from oleanderdyke.links.pool import LinkPool
from oleanderdyke.settings_checks import is_loopback


class VmWatch:
    """Set the addresses that the link pool connects to.

    The VM list may be stale or wrong, so an address is kept while its link is
    up, even if the list no longer has it.
    """

    def __init__(self, core: Core, client: VmClient, pool: LinkPool) -> None:
        self._core = core
        self._client = client
        self._pool = pool
        self._is_down = False
        self._addresses: dict[str, None] = {}

    @property
    def all_linked(self) -> bool:
        """Return whether there are addresses and all have a link."""
        return bool(self._addresses) and all(
            map(self._pool.find, self._addresses)
        )

    async def run(self) -> None:
        """Poll the VM list until cancelled."""
        settings = self._core.settings.vms
        while True:
            vms = await self._read()
            if vms is not None:
                self._take(vms)
            await anyio.sleep(settings.period / SECOND)

    async def _read(self) -> tuple[Vm, ...] | None:
        timeout = self._core.settings.vms.timeout
        try:
            vms = await self._client.list(timeout=timeout)
        except OleanderError as error:
            if not self._is_down:
                self._core.log.write(
                    EventName.VM_LIST_DOWN, detail=error.message
                )
            self._is_down = True
            return None
        self._is_down = False
        return vms

    def _take(self, vms: Iterable[Vm]) -> None:
        chosen = choose_vms(vms, self._core.settings.data_centre)
        wanted = dict.fromkeys(
            vm.address for vm in chosen if self._is_allowed(vm)
        )
        wanted |= dict.fromkeys(filter(self._pool.find, self._addresses))
        if wanted != self._addresses:
            self._addresses = wanted
            self._core.log.write(EventName.VM_LIST_CHANGED, count=len(wanted))
            self._pool.set_addresses({address: address for address in wanted})

    def _is_allowed(self, vm: Vm) -> bool:
        settings = self._core.settings
        chosen = settings.vms.data_centres
        if chosen and vm.data_centre not in chosen:
            return False
        if settings.links_tls.ca or settings.links_plain_text:
            return True
        if is_loopback(vm.address.rpartition(':')[0].strip('[]')):
            return True
        if vm.address not in self._addresses:
            self._core.log.write(
                EventName.LINK_REFUSED,
                address=vm.address,
                reason='plain-text link to a non-loopback address',
            )
        return False
