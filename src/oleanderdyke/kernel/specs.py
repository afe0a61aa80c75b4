"""Validate specs, and encode them for the log and for memory."""

from __future__ import annotations

import dataclasses
import enum
import math
import re
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import cattrs
import cbor2

from oleanderdyke.kernel.objects import (
    SPEC_TYPES,
    Labels,
    Limits,
    ModelVersionSpec,
    ObjectKind,
    ServiceKind,
    ServiceSpec,
    Spec,
    StoreSpec,
    Targets,
    TeamSpec,
)

PACKED_LIMIT = 16 * 1024
_MAX_DEPTH = 16
_INT_LIMIT = 2**63
_MAX_LABELS = 32
_MAX_HASHES = 64
_HASH_FIELDS = ('token_hashes', 'admin_token_hashes')
_HASH_FORM = 'hex SHA-256 digests of tokens, 64 lower-case characters'
_NAME = re.compile(r'[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?')
_LABEL = re.compile(r'[A-Za-z0-9._/-]{1,63}')
_HASH = re.compile(r'[0-9a-f]{64}')
_METHOD = re.compile(r'[A-Z]{1,16}')


class InvalidSpec(ValueError):
    """Raised for data that is not valid CBOR or not a valid spec."""


def load_cbor(data: bytes) -> Any:
    """Decode untrusted CBOR; raise InvalidSpec.

    Every reader must use the same limits, so that all skip the same records.
    """
    try:
        return cbor2.loads(
            data,
            max_depth=_MAX_DEPTH,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
            semantic_decoders={},
        )
    except (cbor2.CBORError, ValueError, OverflowError, TypeError) as error:
        raise InvalidSpec('not readable CBOR') from error


def pack_spec(spec: Spec) -> bytes:
    """Encode the fields that differ from the defaults in canonical CBOR."""
    return cbor2.dumps(_to_plain(spec), canonical=True)


def unpack_spec(kind: ObjectKind, data: bytes) -> Spec:
    """Decode a packed spec, ignoring unknown fields; raise InvalidSpec."""
    raw = load_cbor(data)
    if not isinstance(raw, dict):
        raise InvalidSpec('found no map')
    for name in _HASH_FIELDS:
        if name in raw:
            raw[name] = _unpack_hashes(raw[name])
    try:
        spec: Spec = _CONVERTER.structure(raw, SPEC_TYPES[kind])
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        OverflowError,
    ) as error:
        raise InvalidSpec(f'not a {kind}') from error
    return spec


def list_hashes(packed: bytes, name: str) -> tuple[bytes, ...]:
    """Return the token digests in one field of a valid, packed team."""
    return tuple(
        item if isinstance(item, bytes) else bytes.fromhex(item)
        for item in load_cbor(packed).get(name, ())
    )


def describe_spec(spec: Spec) -> dict[str, Any]:
    """Return the fields that differ from the defaults, in readable form."""
    plain = _to_plain(spec)
    for name in _HASH_FIELDS:
        if name in plain:
            plain[name] = list(_unpack_hashes(plain[name]))
    return plain


def find_faults(name: str, spec: Spec | None) -> tuple[str, ...]:
    """Return a message for each invalid field, naming field and value.

    Catalogs store the messages, so they must be the same in every version.
    """
    faults: list[str] = []
    if not _NAME.fullmatch(name):
        faults.append(
            f'name: found {name[:80]!r}; allowed: 1 to 63 of a-z, 0-9, ".", '
            '"_" and "-", with a letter or digit at both ends'
        )
    if spec is not None:
        faults.extend(_find_spec_faults(spec))
    return tuple(faults)


def _find_spec_faults(spec: Spec) -> Iterator[str]:
    yield from _check_labels('labels', spec.labels)
    if isinstance(spec, ServiceSpec):
        yield from _check_service(spec)
    elif isinstance(spec, TeamSpec):
        yield from _check_team(spec)
    elif isinstance(spec, ModelVersionSpec):
        yield from _check_model_version(spec)
    else:
        yield from _check_store(spec)


def _check_service(spec: ServiceSpec) -> Iterator[str]:
    yield from _check_labels('teams', spec.teams)
    yield from _check_labels('stores', spec.stores)
    if spec.kind is ServiceKind.MODEL:
        yield from _check_not_empty(spec, ('model', 'version'))
    yield from _check_methods('methods', spec.methods)
    yield from _check_methods('idempotent_methods', spec.idempotent_methods)
    yield from _check_positive(spec, ('body_limit', 'deadline', 'horizon'))
    yield from _check_targets(spec.targets)


def _check_targets(targets: Targets) -> Iterator[str]:
    names = ('first_token', 'between_tokens')
    yield from _check_positive(targets, names, 'targets.')
    share = targets.recomputed_share
    if not 0 <= share <= 1:
        yield f'targets.recomputed_share: found {share}; allowed: 0 to 1'


def _check_team(spec: TeamSpec) -> Iterator[str]:
    for name in _HASH_FIELDS:
        yield from _check_hashes(name, getattr(spec, name))
    yield from _check_positive(spec, ('weight',))
    names = tuple(item.name for item in dataclasses.fields(Limits))
    yield from _check_not_negative(spec.limits, names, 'limits.')


def _check_model_version(spec: ModelVersionSpec) -> Iterator[str]:
    yield from _check_not_empty(spec, ('model', 'version', 'digest'))


def _check_store(spec: StoreSpec) -> Iterator[str]:
    names = ('capacity_bytes', 'link_bytes_per_second')
    yield from _check_not_negative(spec, names)


def _check_labels(key: str, labels: Labels) -> Iterator[str]:
    if len(labels) > _MAX_LABELS:
        yield f'{key}: found {len(labels)} pairs; allowed: {_MAX_LABELS}'
    for name, value in labels.items():
        if not (_LABEL.fullmatch(name) and _LABEL.fullmatch(value)):
            yield (
                f'{key}.{name[:80]}: found {value[:80]!r}; allowed: keys and '
                'values of 1 to 63 letters, digits, ".", "_", "/" and "-"'
            )


def _check_methods(key: str, methods: tuple[str, ...]) -> Iterator[str]:
    for method in methods:
        if not _METHOD.fullmatch(method):
            yield f'{key}: found {method[:80]!r}; allowed: names such as GET'


def _check_hashes(key: str, hashes: tuple[str, ...]) -> Iterator[str]:
    if len(hashes) > _MAX_HASHES:
        yield f'{key}: found {len(hashes)} entries; allowed: {_MAX_HASHES}'
    if len(set(hashes)) != len(hashes):
        yield f'{key}: found one entry twice; allowed: different ones'
    if not all(_HASH.fullmatch(item) for item in hashes):
        # The value may be a token entered by mistake, so it is not shown.
        yield f'{key}: found something else; allowed: {_HASH_FORM}'


def _check_not_empty(spec: object, names: Iterable[str]) -> Iterator[str]:
    for name in names:
        if not getattr(spec, name):
            yield f'{name}: found nothing; allowed: a filled string'


def _check_positive(
    spec: object, names: Iterable[str], prefix: str = ''
) -> Iterator[str]:
    for name in names:
        value = getattr(spec, name)
        if not (math.isfinite(value) and value > 0):
            yield f'{prefix}{name}: found {value}; allowed: above 0'


def _check_not_negative(
    spec: object, names: Iterable[str], prefix: str = ''
) -> Iterator[str]:
    for name in names:
        value = getattr(spec, name)
        if not (math.isfinite(value) and value >= 0):
            yield f'{prefix}{name}: found {value}; allowed: 0 or more'


def _to_plain(data: Any) -> dict[str, Any]:
    plain: dict[str, Any] = {}
    for item in dataclasses.fields(data):
        value = getattr(data, item.name)
        if value != _find_default(item):
            plain[item.name] = _to_plain_value(item.name, value)
    return plain


def _to_plain_value(name: str, value: Any) -> Any:
    if name in _HASH_FIELDS:
        return [_pack_hash(item) for item in value]
    if dataclasses.is_dataclass(value):
        return _to_plain(value)
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, Mapping):
        return dict(sorted(value.items()))
    return list(value) if isinstance(value, tuple) else value


def _find_default(item: dataclasses.Field[Any]) -> Any:
    if item.default_factory is not dataclasses.MISSING:
        return item.default_factory()
    return item.default


def _pack_hash(text: str) -> bytes | str:
    return bytes.fromhex(text) if _HASH.fullmatch(text) else text


def _unpack_hashes(raw: Any) -> Any:
    if not isinstance(raw, list):
        return raw
    return tuple(
        item.hex() if isinstance(item, bytes) else item for item in raw
    )


def _make_type_check(target: type) -> Any:
    def check(found: object, _: object) -> object:
        if type(found) is target:
            return found
        raise ValueError(f'expected {target.__name__}')

    return check


def _check_int(found: object, _: object) -> int:
    if type(found) is int and abs(found) < _INT_LIMIT:
        return found
    raise ValueError('expected a signed 64-bit integer')


def _check_number(found: object, _: object) -> float:
    if type(found) in {int, float}:
        return float(found)  # type: ignore[arg-type]  # just checked
    raise ValueError('expected a number')


def _check_mapping(found: object, _: object) -> Mapping[str, str]:
    if not isinstance(found, dict):
        raise TypeError('expected a map')
    if all(type(x) is str for pair in found.items() for x in pair):
        return found
    raise ValueError('expected string keys and values')


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=False)
    checks = {
        str: _make_type_check(str),
        bool: _make_type_check(bool),
        int: _check_int,
        float: _check_number,
        # ServiceKind is a `str`, so without its own hook it would get that of
        # `str`, which accepts no other type.
        ServiceKind: lambda found, _: ServiceKind(found),
    }
    for target, check in checks.items():
        converter.register_structure_hook(target, check)
    converter.register_structure_hook_func(
        lambda target: target == Labels, _check_mapping
    )
    return converter


_CONVERTER = _make_converter()
