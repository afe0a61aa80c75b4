"""Send answers cut at any place of the head or the first body bytes."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import anyio

from tests.standins.framing import EVENT_STREAM, Ending, Framing
from tests.standins.replica import Peer, Script, make_chunk, make_event

# A reset may overtake data sent before it.
_RESET_AFTER_SECONDS = 0.01
# Places of a head and of the bytes behind it at which answers are cut.
_HEAD_CUTS = 4
_BODY_CUTS = 2
_STATUS = b'HTTP/1.1 200 OK\r\n'
_FIELDS = (
    b'oleanderdyke-request-id: req-1\r\noleanderdyke-response-seal: seal\r\n'
)
_INTERIM = b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_EVENTS = make_event(1) + make_event(2)


@dataclass(frozen=True, slots=True)
class Shape:
    """The bytes of a whole answer, and where its head ends."""

    data: bytes
    head_end: int
    framing: Framing

    def list_cuts(self) -> list[int]:
        """Return places in the head, at its end and in the body."""
        end, whole = self.head_end, len(self.data)
        inner = {end * step // _HEAD_CUTS for step in range(_HEAD_CUTS)}
        body = {
            end + (whole - end) * step // _BODY_CUTS
            for step in range(_BODY_CUTS)
        }
        near = {end - 3, end - 2, end - 1, end, end + 1, whole - 1}
        return sorted(each for each in inner | body | near if each < whole)

    def is_whole(self, cut: int, ending: Ending) -> bool:
        """Return whether a receiver can't tell the cut answer from a whole."""
        if self.framing is not Framing.CLOSE or ending is Ending.RESET:
            return False
        body = self.data[self.head_end : cut]
        is_stream = EVENT_STREAM.encode() in self.data[: self.head_end]
        return cut >= self.head_end and (
            not is_stream or not body or body.endswith(b'\n\n')
        )


@dataclass(frozen=True, slots=True)
class Cut:
    """An answer that ends at a place, and how its connection does."""

    shape: Shape
    place: int
    ending: Ending

    @property
    def may_be_whole(self) -> bool:
        """Return whether a receiver can't tell it from a whole answer."""
        return self.shape.is_whole(self.place, self.ending)

    async def send(self, peer: Peer) -> None:
        """Send what comes before the cut, and end the connection."""
        await peer.send(self.shape.data[: self.place])
        await end_connection(peer, self.ending)


async def end_connection(peer: Peer, ending: Ending) -> None:
    """Close, half close or reset the connection of a request."""
    if ending is Ending.RESET:
        await anyio.sleep(_RESET_AFTER_SECONDS)
        peer.reset()
    elif ending is Ending.HALF_CLOSE:
        peer.writer.write_eof()
        await peer.wait_closed()
    else:
        peer.writer.close()


def cut_in_turn(cuts: list[Cut]) -> Script:
    """Return a script that sends the cut answer that a path numbers."""

    async def run(peer: Peer) -> None:
        number = int(peer.request.target.rpartition('/')[2])
        await cuts[number].send(peer)

    return run


def list_cuts(shapes: dict[str, Shape], ending: Ending) -> list[Cut]:
    """Return the cuts of all shapes with one end of the connection."""
    return [
        Cut(shape, place, ending)
        for shape in shapes.values()
        for place in shape.list_cuts()
    ]


def make_shapes(media_type: str) -> dict[str, Shape]:
    """Return answers of a media type with every framing, by name."""
    body = _EVENTS if media_type == EVENT_STREAM else b'booked'
    return dict(_list_shapes(media_type, body))


def _list_shapes(media_type: str, body: bytes) -> Iterator[tuple[str, Shape]]:
    fields = _FIELDS + b'content-type: %b\r\n' % media_type.encode()
    length = fields + b'content-length: %d\r\n\r\n' % len(body)
    chunked = fields + b'transfer-encoding: chunked\r\n\r\n'
    chunks = make_chunk(body[:4]) + make_chunk(body[4:]) + b'0\r\n\r\n'
    unframed = fields + b'\r\n'
    yield 'length', _make_shape(_STATUS + length, body, Framing.LENGTH)
    yield 'chunks', _make_shape(_STATUS + chunked, chunks, Framing.CHUNKS)
    yield 'unframed', _make_shape(_STATUS + unframed, body, Framing.CLOSE)
    for name, interim in (('hints', _INTERIM), ('continue', _CONTINUE)):
        head = interim + _STATUS
        yield (
            f'length after {name}',
            _make_shape(head + length, body, Framing.LENGTH),
        )
        yield (
            f'unframed after {name}',
            _make_shape(head + unframed, body, Framing.CLOSE),
        )
    bare = (_STATUS + length).replace(b'\r\n', b'\n')
    yield 'bare line feeds', _make_shape(bare, body, Framing.LENGTH)
    bare = (_STATUS + unframed).replace(b'\r\n', b'\n')
    yield 'unframed bare line feeds', _make_shape(bare, body, Framing.CLOSE)
    empty = _STATUS + fields + b'content-length: 0\r\n\r\n'
    yield 'empty', _make_shape(empty, b'', Framing.LENGTH)
    yield (
        'empty chunks',
        _make_shape(_STATUS + chunked, b'0\r\n\r\n', Framing.CHUNKS),
    )


def _make_shape(head: bytes, body: bytes, framing: Framing) -> Shape:
    return Shape(head + body, len(head), framing)
