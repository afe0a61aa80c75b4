"""YAML settings, loaded into frozen data classes with all faults reported."""

from __future__ import annotations

import dataclasses
import difflib
import enum
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any, TypeAlias, TypeVar, get_origin

import cattrs
import yaml
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.v import transform_error

from oleanderdyke.errors import SettingsError
from oleanderdyke.settings_checks import (
    find_common_faults,
    find_repeated_keys,
)

ENVIRONMENT_PREFIX = 'OLEANDER__'
_HIDDEN = '(hidden)'
_UNKNOWN_KEY = 'unknown key '
_SECRET = 'secret'
# A token given in place of its hash must not be shown in a fault.
_TOKEN = 'token'
_FOUND = re.compile('found .*; (?=allowed: )', re.DOTALL)
_PATH_PART = re.compile(r"\.(\w+)|\[(\d+)\]|\['([^']*)'\]")

_SCALAR_ERRORS = (ValueError, TypeError, AttributeError, RecursionError)
_KEY = re.compile(r'[\w.]+')

SettingsT = TypeVar('SettingsT')
FindFaults: TypeAlias = Callable[[SettingsT], Iterable[str]]
_Path = tuple[str, ...]


def hide_field(**options: Any) -> Any:
    """Declare a data class field whose value `show_settings` hides."""
    return dataclasses.field(metadata={_SECRET: True}, **options)


def require_file(path: Path | None) -> Path:
    """Return the path of a settings file; raise SettingsError without one."""
    if path is None:
        raise SettingsError(('--settings FILE is needed',))
    return path


def load_settings(
    path: Path,
    settings_type: type[SettingsT],
    environ: Mapping[str, str] | None = None,
    check: FindFaults[SettingsT] | None = None,
) -> SettingsT:
    """Load a settings file; raise SettingsError with all its faults.

    A variable such as `OLEANDER__LOG__ADDRESS` overrides the key
    `log.address`; its value is read as YAML. `check` returns the
    contradictions between settings, each starting with a key.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((f'{path}: cannot be read: {error}',)) from error
    return parse_settings(text, settings_type, str(path), environ or {}, check)


def parse_settings(
    text: str,
    settings_type: type[SettingsT],
    source: str,
    environ: Mapping[str, str],
    check: FindFaults[SettingsT] | None = None,
) -> SettingsT:
    """Load settings from YAML text; faults start with `source`."""
    node = _compose(text, source)
    raw = _construct(node, source)
    _override(raw, environ)
    settings = structure_document(raw, settings_type, source=source, node=node)
    faults = [*find_common_faults(settings)]
    if check is not None:
        faults += check(settings)
    if faults:
        raise SettingsError(
            tuple(_add_line(fault, source, node) for fault in faults)
        )
    return settings


def structure_document(
    raw: object,
    target: type[SettingsT],
    *,
    source: str,
    node: yaml.Node | None = None,
    prefix: _Path = (),
) -> SettingsT:
    """Convert parsed YAML to a data class; raise SettingsError with all faults.

    `node` is the composed YAML of `raw`, which gives the line numbers.
    """
    try:
        return _CONVERTER.structure(raw, target)
    except Exception as error:
        found = transform_error(error, '$', _describe_fault)
        faults = tuple(
            _locate(text, source, node, prefix) for text in _split_faults(found)
        )
        raise SettingsError(faults) from error


def show_settings(settings: Any) -> str:
    """Render settings as YAML with secrets hidden."""
    return yaml.safe_dump(_make_plain(settings), sort_keys=False)


def _compose(text: str, source: str) -> yaml.Node | None:
    try:
        return yaml.compose(text, Loader=yaml.SafeLoader)
    except (yaml.YAMLError, RecursionError) as error:
        raise SettingsError((f'{source}: not valid YAML: {error}',)) from error


def check_repeated(node: yaml.Node | None, source: str) -> None:
    """Raise SettingsError if a key is repeated within one mapping."""
    faults = tuple(
        f'{source}:{line}: {key}: found this key again; allowed: once'
        for line, key in find_repeated_keys(node)
    )
    if faults:
        raise SettingsError(faults)


def _add_line(fault: str, source: str, node: yaml.Node | None) -> str:
    key = _KEY.match(fault)
    line = find_line(node, tuple(key[0].split('.'))) if key else 0
    return f'{source}:{line}: {fault}' if line else f'{source}: {fault}'


def construct_node(node: yaml.Node, source: str) -> Any:
    """Return the plain value of composed YAML; raise SettingsError."""
    check_repeated(node, source)
    try:
        return yaml.SafeLoader('').construct_document(node)
    except yaml.YAMLError as error:
        raise SettingsError((f'{source}: not valid YAML: {error}',)) from error
    except _SCALAR_ERRORS as error:
        # The library raises these as they are, without a line number.
        fault = f'{source}: a value does not fit its YAML tag or is too long'
        raise SettingsError((fault,)) from error


def _construct(node: yaml.Node | None, source: str) -> dict[str, Any]:
    if node is None:
        return {}
    raw = construct_node(node, source)
    if not isinstance(raw, dict):
        fault = f'{source}:1: found {type(raw).__name__}; allowed: a mapping'
        raise SettingsError((fault,))
    return raw


def _override(raw: dict[str, Any], environ: Mapping[str, str]) -> None:
    for name, text in environ.items():
        if name.startswith(ENVIRONMENT_PREFIX):
            parts = name.removeprefix(ENVIRONMENT_PREFIX).lower().split('__')
            _set_key(raw, parts, _read_variable(name, text))


def _read_variable(name: str, text: str) -> Any:
    try:
        return yaml.safe_load(text)
    except (yaml.YAMLError, *_SCALAR_ERRORS):
        # The value may be a secret, and the library's message may contain it.
        raise SettingsError((f'{name}: not valid YAML',)) from None


def _set_key(raw: dict[str, Any], parts: list[str], value: Any) -> None:
    place = raw
    for part in parts[:-1]:
        inner = place.setdefault(part, {})
        if not isinstance(inner, dict):
            return
        place = inner
    place[parts[-1]] = value


def _check_str(found: object, target: type) -> object:
    # The converter treats a string enum as a string.
    if issubclass(target, enum.Enum):
        return _check_enum(found, target)
    if isinstance(found, str):
        return found
    raise _WrongValue(found, 'a string')


def _check_bool(found: object, _: object) -> bool:
    if isinstance(found, bool):
        return found
    raise _WrongValue(found, 'true or false')


def _check_int(found: object, _: object) -> int:
    if isinstance(found, int) and not isinstance(found, bool):
        return found
    raise _WrongValue(found, 'a whole number')


def _check_float(found: object, _: object) -> float:
    if isinstance(found, int | float) and not isinstance(found, bool):
        return float(found)
    raise _WrongValue(found, 'a number')


def _check_path(found: object, _: object) -> Path:
    return Path(str(_check_str(found, str)))


def _check_enum(found: object, target: type[enum.Enum]) -> enum.Enum:
    for member in target:
        if member.value == found:
            return member
    allowed = ', '.join(str(member.value) for member in target)
    raise _WrongValue(found, f'one of {allowed}')


class _WrongValue(ValueError):
    """Raised with the value that was found and what is allowed."""

    def __init__(self, found: object, allowed: str) -> None:
        super().__init__(f'found {found!r}; allowed: {allowed}')


def _is_list(target: Any) -> bool:
    origin: Any = get_origin(target)
    return origin is tuple


def _check_list(found: object, target: Any) -> Any:
    # The library would convert a string to a list of its characters.
    if not isinstance(found, list | tuple):
        raise _WrongValue(found, 'a list')
    return _BASE.structure(found, target)


def _make_base() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    checks = {
        str: _check_str,
        bool: _check_bool,
        int: _check_int,
        float: _check_float,
        Path: _check_path,
    }
    for target, check in checks.items():
        converter.register_structure_hook(target, check)
    converter.register_structure_hook_func(
        lambda target: (
            isinstance(target, type) and issubclass(target, enum.Enum)
        ),
        _check_enum,
    )
    return converter


def _make_converter(base: cattrs.Converter) -> cattrs.Converter:
    converter = base.copy()
    converter.register_structure_hook_func(_is_list, _check_list)
    return converter


_BASE = _make_base()
_CONVERTER = _make_converter(_BASE)


def _describe_fault(error: BaseException, _: type | None) -> str:
    if isinstance(error, ForbiddenExtraKeysError):
        return '; '.join(_describe_extra(error))
    if isinstance(error, KeyError):
        return f'key {error.args[0]!r} is missing'
    if isinstance(error, _WrongValue):
        return str(error)
    return f'found a value of the wrong form ({error})'


def _describe_extra(error: ForbiddenExtraKeysError) -> Iterator[str]:
    known = [item.name for item in dataclasses.fields(error.cl)]
    for extra in sorted(error.extra_fields):
        near = difflib.get_close_matches(str(extra), known, n=1)
        hint = f', did you mean {near[0]!r}?' if near else ','
        allowed = ', '.join(known)
        yield f'{_UNKNOWN_KEY}{str(extra)!r}{hint} allowed: {allowed}'


def _split_faults(found: list[str]) -> Iterator[str]:
    for line in found:
        text, _, path = line.rpartition(' @ ')
        if not text.startswith(_UNKNOWN_KEY):
            yield line
            continue
        for part in text.split('; '):
            extra = part.removeprefix(_UNKNOWN_KEY).split("'")[1]
            yield f'{part} @ {path}.{extra}'


def _locate(
    fault: str, source: str, node: yaml.Node | None, prefix: _Path
) -> str:
    text, _, dollar_path = fault.rpartition(' @ ')
    path = tuple(
        next(part for part in match if part)
        for match in _PATH_PART.findall(dollar_path)
    )
    line = find_line(node, path)
    place = f'{source}:{line}' if line else source
    key = '.'.join(prefix + path) or '(top)'
    if _TOKEN in key:
        text = _FOUND.sub('found something else; ', text)
    return f'{place}: {key}: {text}'


def find_line(node: yaml.Node | None, path: tuple[str, ...]) -> int:
    """Return the line of a key or of its nearest known parent, or 0."""
    if node is None:
        return 0
    line = node.start_mark.line + 1
    for part in path:
        inner = _step(node, part)
        if inner is None:
            return line
        line, node = inner
    return line


def _step(node: yaml.Node, part: str) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.SequenceNode) and part.isdigit():
        inner = node.value[int(part)]
        return inner.start_mark.line + 1, inner
    if isinstance(node, yaml.MappingNode):
        for key, inner in node.value:
            if key.value == part:
                return key.start_mark.line + 1, inner
    return None


def _make_plain(settings: Any) -> Any:
    if dataclasses.is_dataclass(settings):
        return {
            item.name: _HIDDEN
            if item.metadata.get(_SECRET)
            else _make_plain(getattr(settings, item.name))
            for item in dataclasses.fields(settings)
        }
    if isinstance(settings, enum.Enum):
        return settings.value
    if isinstance(settings, Mapping):
        return {str(key): _make_plain(inner) for key, inner in settings.items()}
    if isinstance(settings, list | tuple | frozenset | set):
        return [_make_plain(inner) for inner in settings]
    return str(settings) if isinstance(settings, Path) else settings
