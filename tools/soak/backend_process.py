"""Run one backend server of a soak as a process of its own.

It writes a line for each request as it reads it and as it ends, with the time
of the machine's steady clock, which all processes share.
"""

from __future__ import annotations

import argparse
import asyncio
import enum
import sys
import time
from pathlib import Path
from random import Random

import anyio

from tests.standins.replica import Peer, Replica

_REQUEST = 'oleanderdyke-request-id'
_EXPECTED = 'oleanderdyke-expect-instance'
_REFUSED, _MISDIRECTED = 503, 421
_WORK_SECONDS = (0.01, 0.15)
_BACKLOG = 512


class Conduct(enum.StrEnum):
    """How a server answers; the text of its control file."""

    ANSWER = 'answer'
    REFUSE = 'refuse'
    RESET = 'reset'


class Mark(enum.StrEnum):
    """What a line of the server's output tells of a request."""

    ARRIVED = 'arrived'
    RAN = 'ran'
    FINISHED = 'finished'
    REFUSED = 'refused'
    BROKE_OFF = 'broke_off'
    ABANDONED = 'abandoned'


def make_body(request: str) -> bytes:
    """Build the body that every server answers a request with."""
    return f'result of {request}'.encode()


class Backend:
    """Answer requests as the control file says."""

    def __init__(self, server: str, control: Path) -> None:
        self._server = server
        self._control = control

    async def answer(self, peer: Peer) -> None:
        """Answer one request."""
        headers = peer.request.headers
        request = headers[_REQUEST]
        _tell(Mark.ARRIVED, request)
        if headers.get(_EXPECTED, self._server) != self._server:
            await peer.answer(
                _MISDIRECTED, b'other', oleanderdyke_not_executed='1'
            )
            return
        try:
            _tell(await self._act(peer, request), request)
        except ConnectionError:
            _tell(Mark.ABANDONED, request)
            raise

    async def _act(self, peer: Peer, request: str) -> Mark:
        match Conduct(self._control.read_text().strip()):
            case Conduct.REFUSE:
                await peer.answer(
                    _REFUSED, b'full', oleanderdyke_not_executed='1'
                )
                return Mark.REFUSED
            case Conduct.RESET:
                _tell(Mark.RAN, request)
                peer.reset()
                return Mark.BROKE_OFF
            case Conduct.ANSWER:
                _tell(Mark.RAN, request)
                await anyio.sleep(Random(request).uniform(*_WORK_SECONDS))
                await peer.answer(body=make_body(request))
                return Mark.FINISHED


def _tell(mark: Mark, request: str) -> None:
    sys.stdout.write(f'{time.monotonic():.6f} {mark.value} {request}\n')
    sys.stdout.flush()


async def _serve(options: argparse.Namespace) -> None:
    backend = Backend(options.server, Path(options.control))
    server = await asyncio.start_server(
        Replica(backend.answer).serve,
        '127.0.0.1',
        options.port,
        backlog=_BACKLOG,
    )
    await server.serve_forever()


def main() -> int:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--server', required=True, help='id of the server')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--control', required=True, help='file of its conduct')
    anyio.run(_serve, parser.parse_args())
    return 0


if __name__ == '__main__':
    sys.exit(main())
