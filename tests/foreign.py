"""Generate records of other writers, and stub the store that returns them."""

from __future__ import annotations

import base64
import json
import struct
from collections.abc import Iterable, Mapping
from typing import Any

from hypothesis import strategies as st

from oleanderdyke.platform.store import StoreClient
from tests.hosted import make_record

_LENGTH = struct.Struct('>I')
_ENDS = struct.Struct('>QQ')
_OK = 200

MODELS = [{'name': 'm', 'version': 3, 'adapters': []}]
GOOD = make_record('10.0.0.2:80', stage='unified', models=MODELS)
DEEP = b'[' * 50_000


def _draw_json(numbers: st.SearchStrategy[float]) -> st.SearchStrategy[Any]:
    return st.recursive(
        st.none() | st.booleans() | st.integers() | numbers | st.text(),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(), inner, max_size=3)
        ),
        max_leaves=6,
    )


JSON = _draw_json(st.floats())
# JSON values that the store can return: it encodes only finite numbers.
FINITE = _draw_json(st.floats(allow_nan=False, allow_infinity=False))


class CannedStore(StoreClient):
    """Return prepared bytes for each call; `asked` records the requests."""

    def __init__(self, *answers: bytes, status: int = _OK) -> None:
        super().__init__('127.0.0.1:9')
        self.asked: list[dict[str, Any]] = []
        self._status = status
        self._answers = list(answers)

    async def _call(
        self, method: str, path: str, query: dict[str, Any], body: bytes = b''
    ) -> tuple[int, bytes]:
        self.asked.append({'path': path, **query})
        return self._status, self._answers.pop(0)


def encode(document: object) -> bytes:
    """Encode a document as the bytes of a record."""
    return json.dumps(document).encode()


def make_item(key: str, value: bytes, offset: int = 0) -> dict[str, Any]:
    """Build one item of a listing of a topic's newest records."""
    text = base64.b64encode(value).decode()
    return {'key': key, 'value': text, 'offset': offset}


def make_page(items: object, *, end: Any = 0, more: Any = False) -> bytes:
    """Build a response that lists newest records."""
    return encode({'items': items, 'more': more, 'end': end})


def list_items(records: Iterable[tuple[str, bytes]]) -> list[dict[str, Any]]:
    """Build the items of newest records in the order of their offsets."""
    return [
        make_item(key, value, offset)
        for offset, (key, value) in enumerate(records)
    ]


def make_history(records: Iterable[bytes], *, end: int = 1 << 40) -> bytes:
    """Build a response with records in order."""
    data = b''.join(_LENGTH.pack(len(each)) + each for each in records)
    return _ENDS.pack(end, 0) + data


def make_keyed(key: bytes, value: bytes) -> bytes:
    """Build a record of a topic with keys."""
    return bytes([len(key)]) + key + value


def drop(document: Mapping[str, Any], name: str) -> dict[str, Any]:
    """Return a copy of a document without one field."""
    return {each: value for each, value in document.items() if each != name}


# Invalid values for each field of a backend server's entry.
_WRONG: dict[str, list[Any]] = {
    'service': [None, 7, '', ['desk'], 'a\nb', '\ud800'],
    'address': [None, 7, '', 'host', 'h:port', 'h:0', 'h:99999', 'a b:1'],
    'zone': [None, 7, [], {}],
    'version': [None, 7, {}],
    'slots': [None, '6', -1, True, 6.5, 10**30],
    'state': [None, 7, 'gone', 'READY', '', ['ready']],
    'coldRemainingMs': [None, '0', -1, True, 10**400],
    'seq': [None, '1', -1, True, 1.5, 10**30, [1]],
    'stage': [7, None],
    'models': [
        7,
        {},
        'm',
        [7],
        [{}],
        [{'name': 'm'}],
        [{'version': 1}],
        [{'name': 7, 'version': 1}],
        [{'name': '', 'version': 1}],
        [{'name': 'm', 'version': '1'}],
        [{'name': 'm', 'version': True}],
        [{'name': 'm', 'version': -1}],
        [{'name': 'm', 'version': 1.0}],
        [{'name': 'm', 'version': 10**30}],
    ],
}
_REQUIRED = tuple(name for name in _WRONG if name not in {'stage', 'models'})

BROKEN_FIELDS: dict[str, bytes] = {
    **{f'without_{name}': encode(drop(GOOD, name)) for name in _REQUIRED},
    'without_models': encode(drop(GOOD, 'models')),
    'without_stage': encode(drop(GOOD, 'stage')),
    **{
        f'{name}_{number}': encode({**GOOD, name: wrong})
        for name, found in _WRONG.items()
        for number, wrong in enumerate(found)
    },
}
BROKEN_BYTES: dict[str, bytes] = {
    'no_json': b'nothing',
    'cut': encode(GOOD)[:-5],
    'bytes': b'\xff\xfe\x00\x80',
    'half_text': encode(GOOD).replace(b'desk', b'de\xffk'),
    'utf_16': json.dumps(GOOD).encode('utf-16'),
    'zeros': bytes(300),
    'list': encode([GOOD]),
    'text': b'"ready"',
    'number': b'7',
    'long_number': b'9' * 6_000,
    'null': b'null',
    'no_number': encode({**GOOD, 'slots': float('nan')}),
    'endless': encode({**GOOD, 'slots': float('inf')}),
    'too_large': encode({**GOOD, 'seq': 0}).replace(
        b'"seq": 0', b'"seq":1e999'
    ),
    'deep': DEEP,
    'deep_field': encode(GOOD)[:-1] + b', "x": ' + DEEP,
    'deep_objects': b'{"a":' * 50_000,
    'huge': encode({**GOOD, 'zone': 'z' * 200_000}),
}
BROKEN: dict[str, bytes] = {**BROKEN_FIELDS, **BROKEN_BYTES}


def list_slightly_broken() -> st.SearchStrategy[bytes]:
    """Draw a valid record with one change, or arbitrary bytes."""
    text = encode(GOOD)
    cut = st.integers(0, len(text) - 1).map(lambda at: text[:at])
    flipped = st.tuples(st.integers(0, len(text) - 1), st.integers(0, 255)).map(
        lambda where: _put_byte(text, *where)
    )
    changed = st.tuples(st.sampled_from(sorted(GOOD)), JSON).map(
        lambda change: encode({**GOOD, change[0]: change[1]})
    )
    return st.one_of(
        st.sampled_from(sorted(BROKEN.values(), key=len)),
        st.binary(max_size=80),
        JSON.map(encode),
        cut,
        flipped,
        changed,
    )


def _put_byte(text: bytes, at: int, byte: int) -> bytes:
    return text[:at] + bytes([byte]) + text[at + 1 :]
