"""Context stores of a soak as processes, which fall and come back empty."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from tests.processes import Child, Ports

_PROGRAM = 'tools.soak.memory_process'
_HOST = '127.0.0.1'


@dataclass
class Memories:
    """The processes of all context stores."""

    directory: Path
    addresses: tuple[str, ...] = ()
    _children: list[Child] = field(default_factory=list)

    @contextlib.asynccontextmanager
    async def running(self, count: int) -> AsyncGenerator[None, None]:
        """Run stores until the end of the context."""
        with Ports() as ports, contextlib.ExitStack() as stack:
            for number in range(count):
                port = ports.reserve()
                arguments = ('-m', _PROGRAM, '--port', f'{port}')
                name = f'memory-{number + 1}'
                child = Child(name, arguments, self.directory)
                self.addresses += (f'{_HOST}:{port}',)
                self._children.append(child)
                stack.callback(child.kill)
                child.start()
            yield

    async def fall(self, slot: int, seconds: float) -> None:
        """Kill a store, and start it again after a while."""
        child = self._children[slot % len(self._children)]
        child.kill()
        await anyio.sleep(seconds)
        if not child.running:
            child.start()

    async def pause(self, slot: int, seconds: float) -> None:
        """Let a store stand still for a while."""
        child = self._children[slot % len(self._children)]
        child.freeze()
        await anyio.sleep(seconds)
        child.thaw()
