"""Start, pause, kill and stop child processes for tests and the demo."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Self

LOOPBACK = '127.0.0.1'
ROOT = Path(__file__).resolve().parent.parent
_POLL_SECONDS = 0.02
_READY = 'ready '


class NotMet(AssertionError):
    """Report a condition that did not hold within its time limit."""


def wait_until(
    condition: Callable[[], bool], what: str, *, seconds: float = 20.0
) -> None:
    """Poll until a condition holds; raise NotMet after a time limit."""
    limit = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > limit:
            raise NotMet(f'not within {seconds:.0f} s: {what}')
        time.sleep(_POLL_SECONDS)


class Ports:
    """Reserve loopback ports that children can listen on.

    A reserving socket is bound but never listens, so the kernel assigns its
    port to no other process, while a child can bind it with SO_REUSEADDR.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def reserve(self) -> int:
        """Return a free port."""
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((LOOPBACK, 0))
        self._sockets.append(holder)
        port: int = holder.getsockname()[1]
        return port

    def close(self) -> None:
        """Release every reserved port."""
        for holder in self._sockets:
            holder.close()


@dataclass(slots=True)
class Child:
    """Manage one child process; its output goes to files in a directory."""

    name: str
    argv: Sequence[str]
    directory: Path
    process: subprocess.Popen[bytes] | None = field(default=None, init=False)
    starts: int = field(default=0, init=False)

    @property
    def output(self) -> Path:
        """Return the path of the file that holds standard output."""
        return self.directory / f'{self.name}.out'

    @property
    def log(self) -> Path:
        """Return the path of the file that holds standard error."""
        return self.directory / f'{self.name}.log'

    @property
    def pid(self) -> int:
        """Return the process id; raise NotMet before the first start."""
        if self.process is None:
            raise NotMet(f'{self.name} was never started')
        return self.process.pid

    @property
    def running(self) -> bool:
        """Return whether the process is alive."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process; a restart keeps its name and output files."""
        with self.output.open('ab') as out, self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.argv],
                cwd=ROOT,
                env={**os.environ, 'PYTHONPATH': f'{ROOT / "src"}:{ROOT}'},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=log,
                # Ctrl-C goes to the parent only, which stops its children.
                process_group=0,
            )
        self.starts += 1

    def send(self, number: signal.Signals) -> None:
        """Send a signal to a running process."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process immediately; do nothing before the first start."""
        if self.process is None:
            return
        self.send(signal.SIGKILL)
        self.wait()

    def freeze(self) -> None:
        """Pause the process with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a paused process with SIGCONT."""
        self.send(signal.SIGCONT)

    def terminate(self) -> None:
        """Request an orderly shutdown with SIGTERM."""
        self.send(signal.SIGTERM)

    def stop(self, *, seconds: float = 30.0) -> int:
        """Request an orderly shutdown and return the exit code."""
        self.terminate()
        return self.wait(seconds=seconds)

    def wait(self, *, seconds: float = 30.0) -> int:
        """Return the exit code; raise NotMet after a time limit."""
        if self.process is None:
            raise NotMet(f'{self.name} was never started')
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired as error:
            raise NotMet(f'{self.name} did not exit') from error

    def wait_ready(self, count: int = 1) -> tuple[str, ...]:
        """Return the addresses that a stand-in has printed since its start."""
        lines: list[str] = []

        def find() -> bool:
            if not self.running:
                raise NotMet(f'{self.name} ended; see {self.log}')
            text = self.output.read_text().splitlines()
            lines[:] = [line for line in text if line.startswith(_READY)]
            return len(lines) >= count * self.starts

        wait_until(find, f'{self.name} is ready')
        return tuple(line.removeprefix(_READY) for line in lines[-count:])


def accepts(address: str) -> bool:
    """Return whether a process listens on an address."""
    host, _, port = address.rpartition(':')
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except OSError:
        return False
    return True
