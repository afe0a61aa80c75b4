"""Provide scripts of correct and faulty backend server responses."""

from __future__ import annotations

from tests.standins.replica import (
    Peer,
    Script,
    make_chunk,
    make_event,
    make_head,
)


async def answer_well(peer: Peer) -> None:
    """Send a complete, successful response."""
    await peer.answer(body=b'booked')


async def shed(peer: Peer) -> None:
    """Refuse the request and report that nothing was executed."""
    await peer.answer(503, b'full', oleanderdyke_not_executed='1')


async def reset(peer: Peer) -> None:
    """Reset the connection."""
    peer.reset()


async def send_events(peer: Peer, first: int, last: int) -> None:
    """Start a streamed response and send the events of a range."""
    await peer.send(
        make_head(
            peer.request,
            content_type='text/event-stream',
            transfer_encoding='chunked',
        )
    )
    for number in range(first, last + 1):
        await peer.send(make_chunk(make_event(number)))


def stream(first: int, last: int, *, ending: bytes = b'0\r\n\r\n') -> Script:
    """Return a script that streams; an empty ending truncates the stream."""

    async def run(peer: Peer) -> None:
        await send_events(peer, first, last)
        if ending:
            await peer.send(ending)
        else:
            peer.reset()

    return run


def naming(**headers: str) -> dict[str, Script]:
    """Return scripts that add headers to each kind of response, by kind."""

    async def answer(peer: Peer) -> None:
        await peer.answer(200, b'done', **headers)

    async def fail(peer: Peer) -> None:
        await peer.answer(500, b'failed', **headers)

    async def refuse(peer: Peer) -> None:
        refusal = {'oleanderdyke_not_executed': '1', **headers}
        await peer.answer(503, b'full', **refusal)

    async def stream_events(peer: Peer) -> None:
        head = make_head(
            peer.request,
            200,
            content_type='text/event-stream',
            transfer_encoding='chunked',
            **headers,
        )
        event = make_chunk(make_event(1))
        await peer.send(head + event + b'0\r\n\r\n')

    scripts = (answer, fail, refuse, stream_events)
    return {script.__name__: script for script in scripts}
