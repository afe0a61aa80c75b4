"""Encode messages as CBOR and decode them.

A message is a map of its fields, with its class name under `type` (`kind` is
a field name of two messages). A field that equals its default is omitted, so
defaults are part of the protocol.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import math
import types
import typing
from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeAlias

from oleanderdyke.cbor import dump_cbor, load_cbor
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.links.messages import Message

MAX_MESSAGE = 1024 * 1024

_TYPE = 'type'
_MAX_SHOWN = 64

# The members that replace unknown values sent by a newer peer.
_FALLBACKS: Mapping[type[enum.Enum], enum.Enum] = {
    ErrorKind: ErrorKind.INTERNAL,
}

_Convert: TypeAlias = Callable[[Any], Any]


class _Mismatch(Exception):
    """Raised when a value does not match the type of its field."""


class _Missing(enum.Enum):
    """Sentinel for an absent field or default, as None is a valid value."""

    MISSING = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class _FieldCodec:
    """Converters of one field; without `encode` the value is sent as it is."""

    name: str
    default: object
    encode: _Convert | None
    decode: _Convert


class Codec:
    """Encode and decode a fixed set of message classes."""

    def __init__(self, classes: Sequence[type]) -> None:
        self._encoders = {cls: _make_encoder(cls) for cls in classes}
        self._decoders = {cls.__name__: _make_decoder(cls) for cls in classes}

    def encode(self, message: object) -> bytes:
        """Return the CBOR map of a message.

        Raises OleanderError(PROTOCOL) if it is too large or has a number that
        is not finite.
        """
        cls = type(message)
        fields = self._encoders[cls](message)
        data = dump_cbor({_TYPE: cls.__name__, **fields})
        _check_length(data)
        return data

    def decode(self, data: bytes) -> Any:
        """Return the message; raise OleanderError(PROTOCOL) if invalid."""
        _check_length(data)
        value = load_cbor(data)
        if not isinstance(value, dict):
            raise _refuse('a message must be a map')
        kind = value.get(_TYPE)
        decoder = self._decoders.get(kind) if isinstance(kind, str) else None
        if decoder is None:
            raise _refuse(f'unknown message kind {_show_kind(kind)}')
        try:
            return decoder(value)
        except _Mismatch as mismatch:
            raise _refuse(f'{kind}.{mismatch}') from None


def decode_version(data: bytes) -> int | None:
    """Return the `version` of an encoded hello, or None if it has none.

    The rest of the map is not checked, so that hellos of other protocol
    versions can be read.
    """
    value = load_cbor(data)
    version = value.get('version') if isinstance(value, dict) else None
    return version if type(version) is int else None


def _refuse(detail: str) -> OleanderError:
    return OleanderError(ErrorKind.PROTOCOL, detail)


def _check_length(data: bytes) -> None:
    if len(data) > MAX_MESSAGE:
        raise _refuse(
            f'a message of {len(data)} bytes is too large; '
            f'allowed: {MAX_MESSAGE}'
        )


def _show_kind(kind: object) -> str:
    if not isinstance(kind, str):
        return 'of no name'
    if len(kind) > _MAX_SHOWN or not kind.isidentifier():
        return 'of no proper name'
    return repr(kind)


def _make_encoder(cls: type) -> Callable[[Any], dict[str, object]]:
    fields = _field_codecs(cls)
    # Reading attributes in a loop is ten times as fast as
    # `dataclasses.asdict`.
    plan = tuple((each.name, each.default, each.encode) for each in fields)

    def encode(message: Any) -> dict[str, object]:
        payload: dict[str, object] = {}
        for name, default, convert in plan:
            value = getattr(message, name)
            if value == default:
                continue
            payload[name] = value if convert is None else convert(value)
        return payload

    return encode


def _make_decoder(cls: type) -> _Convert:
    fields = _field_codecs(cls)
    plan = tuple((each.name, each.default, each.decode) for each in fields)
    missing = _Missing.MISSING

    def decode(payload: Any) -> object:
        if type(payload) is not dict:
            raise _Mismatch('expected a map')
        values = []
        for name, default, convert in plan:
            value = payload.get(name, missing)
            if value is not missing:
                values.append(_decode_field(name, convert, value))
            elif default is not missing:
                values.append(default)
            else:
                raise _Mismatch(f'{name}: missing')
        return cls(*values)

    return decode


def _decode_field(name: str, convert: _Convert, value: object) -> object:
    try:
        return convert(value)
    except _Mismatch as mismatch:
        raise _Mismatch(f'{name}: {mismatch}') from None


def _field_codecs(cls: type) -> tuple[_FieldCodec, ...]:
    hints = typing.get_type_hints(cls)
    if _TYPE in hints:
        raise TypeError(f'{cls.__name__} has a field {_TYPE!r}')
    return tuple(
        _FieldCodec(
            each.name,
            _find_default(each),
            _value_encoder(hints[each.name]),
            _value_decoder(hints[each.name]),
        )
        for each in dataclasses.fields(cls)
    )


def _find_default(each: dataclasses.Field[Any]) -> object:
    if each.default is not dataclasses.MISSING:
        return each.default
    if each.default_factory is not dataclasses.MISSING:
        return each.default_factory()
    return _Missing.MISSING


def _value_encoder(hint: Any) -> _Convert | None:
    if hint is float:
        return _encode_float
    if dataclasses.is_dataclass(hint):
        return _make_encoder(typing.cast('type', hint))
    parts = [_value_encoder(each) for each in typing.get_args(hint)]
    if not any(parts):
        return None
    if typing.get_origin(hint) is tuple:
        return functools.partial(_encode_each, _require(parts[0]))
    return functools.partial(_encode_optional, _require(parts[0]))


def _require(convert: _Convert | None) -> _Convert:
    if convert is None:
        raise TypeError('the type that needs a converter must come first')
    return convert


def _encode_float(value: float) -> float:
    if not math.isfinite(value):
        raise _refuse('a number must be finite')
    return value


def _encode_each(convert: _Convert, value: tuple[Any, ...]) -> list[Any]:
    return [convert(each) for each in value]


def _encode_optional(convert: _Convert, value: Any) -> Any:
    return None if value is None else convert(value)


def _value_decoder(hint: Any) -> _Convert:
    origin = typing.get_origin(hint)
    if origin is tuple:
        return _tuple_decoder(typing.get_args(hint))
    if origin in {types.UnionType, typing.Union}:
        inner = typing.get_args(hint)[0]
        return functools.partial(_decode_optional, _value_decoder(inner))
    if hint is float:
        return _decode_float
    if dataclasses.is_dataclass(hint):
        return _make_decoder(typing.cast('type', hint))
    if issubclass(hint, enum.Enum):
        return _enum_decoder(hint)
    return functools.partial(_decode_plain, hint)


def _decode_plain(expected: type, value: Any) -> Any:
    # Compared by identity because bool is a subclass of int.
    if type(value) is not expected:
        raise _Mismatch(f'expected {expected.__name__}')
    return value


def _decode_float(value: Any) -> float:
    if type(value) not in {float, int} or not math.isfinite(value):
        raise _Mismatch('expected a finite number')
    return float(value)


def _decode_optional(convert: _Convert, value: Any) -> Any:
    return None if value is None else convert(value)


def _enum_decoder(cls: type[enum.Enum]) -> _Convert:
    members: dict[object, enum.Enum] = {each.value: each for each in cls}
    fallback = _FALLBACKS.get(cls)

    def decode(value: Any) -> enum.Enum:
        if not isinstance(value, str):
            raise _Mismatch(f'expected a value of {cls.__name__}')
        member = members.get(value, fallback)
        if member is None:
            raise _Mismatch(f'unknown value of {cls.__name__}')
        return member

    return decode


def _tuple_decoder(parts: tuple[Any, ...]) -> _Convert:
    if parts[-1] is Ellipsis:
        return functools.partial(_decode_many, _value_decoder(parts[0]))
    converts = tuple(_value_decoder(each) for each in parts)
    return functools.partial(_decode_fixed, converts)


def _decode_many(convert: _Convert, value: Any) -> tuple[Any, ...]:
    if type(value) is not list:
        raise _Mismatch('expected an array')
    return tuple([convert(each) for each in value])


def _decode_fixed(
    converts: tuple[_Convert, ...], value: Any
) -> tuple[Any, ...]:
    if type(value) is not list or len(value) != len(converts):
        raise _Mismatch(f'expected an array of {len(converts)}')
    return tuple(
        [convert(each) for convert, each in zip(converts, value, strict=True)]
    )


_CODEC = Codec(typing.get_args(Message))


def encode(message: Message) -> bytes:
    """Return the CBOR map of a message.

    Raises OleanderError(PROTOCOL) if it is too large or has a number that is
    not finite.
    """
    return _CODEC.encode(message)


def decode(data: bytes) -> Message:
    """Return the message; raise OleanderError(PROTOCOL) for invalid data."""
    message: Message = _CODEC.decode(data)
    return message
