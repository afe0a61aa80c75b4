"""Load objects from YAML files, reporting all faults together."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from oleanderdyke.errors import SettingsError
from oleanderdyke.kernel.objects import (
    SPEC_TYPES,
    ObjectKind,
    Spec,
    TeamSpec,
)
from oleanderdyke.kernel.specs import find_faults
from oleanderdyke.settings import (
    construct_node,
    find_line,
    structure_document,
)

STANDARD_INPUT = '-'
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


@dataclass(frozen=True, slots=True)
class Document:
    """Hold one object of a file.

    `place` is its file and line. `generation` is the generation that the stored
    object must have, None for any.
    """

    kind: ObjectKind
    name: str
    spec: Spec
    place: str
    generation: int | None = None


@dataclass(frozen=True, slots=True)
class _Head:
    kind: ObjectKind
    name: str
    spec: dict[str, Any] = field(default_factory=dict)
    generation: int | None = None


def load_documents(paths: Sequence[str]) -> tuple[Document, ...]:
    """Load all files; raise SettingsError with the faults of all of them."""
    faults: list[str] = []
    documents: list[Document] = []
    for path in paths:
        for node in _compose(path, faults):
            try:
                documents.append(_load(path, node))
            except SettingsError as error:
                faults += error.faults
    faults += _find_duplicate_names(documents)
    faults += _find_shared_tokens(documents)
    if faults:
        raise SettingsError(tuple(faults))
    return tuple(documents)


def _compose(path: str, faults: list[str]) -> tuple[yaml.Node, ...]:
    source = _name_source(path)
    try:
        nodes = tuple(yaml.compose_all(_read(path), Loader=_LOADER))
    except (OSError, UnicodeDecodeError) as error:
        faults.append(f'{source}: cannot be read: {error}')
    except (yaml.YAMLError, RecursionError) as error:
        faults.append(f'{source}: not valid YAML: {error}')
    else:
        return tuple(node for node in nodes if not _is_empty(node))
    return ()


def _read(path: str) -> str:
    if path == STANDARD_INPUT:
        return sys.stdin.read()
    return Path(path).read_text(encoding='utf-8')


def _name_source(path: str) -> str:
    return 'standard input' if path == STANDARD_INPUT else path


def _is_empty(node: yaml.Node | None) -> bool:
    return node is None or (
        isinstance(node, yaml.ScalarNode) and node.value == ''
    )


def _load(path: str, node: yaml.Node) -> Document:
    source = _name_source(path)
    line = node.start_mark.line + 1
    raw = _construct(source, node)
    head = structure_document(raw, _Head, source=source, node=node)
    faults: list[str] = []
    spec = _load_spec(source, node, head, faults)
    faults += _check(source, node, head.name, spec)
    if faults or spec is None:
        raise SettingsError(tuple(faults))
    return Document(
        head.kind, head.name, spec, f'{source}:{line}', head.generation
    )


def _load_spec(
    source: str, node: yaml.Node, head: _Head, faults: list[str]
) -> Spec | None:
    try:
        return structure_document(
            head.spec,
            SPEC_TYPES[head.kind],
            source=source,
            node=_find_child(node, 'spec'),
            prefix=('spec',),
        )
    except SettingsError as error:
        faults += error.faults
        return None


def _construct(source: str, node: yaml.Node) -> Any:
    raw = construct_node(node, source)
    if isinstance(raw, dict):
        return raw
    line = node.start_mark.line + 1
    fault = f'{source}:{line}: found {type(raw).__name__}; allowed: a mapping'
    raise SettingsError((fault,))


def _find_child(node: yaml.Node, name: str) -> yaml.Node | None:
    children: Iterable[tuple[yaml.Node, yaml.Node]] = ()
    if isinstance(node, yaml.MappingNode):
        children = node.value
    for key, child in children:
        if key.value == name:
            return child
    return None


def _check(
    source: str, node: yaml.Node, name: str, spec: Spec | None
) -> Iterator[str]:
    for fault in find_faults(name, spec):
        key, _, text = fault.partition(': ')
        path = ('name',) if key == 'name' else ('spec', *key.split('.'))
        line = find_line(node, path)
        yield f'{source}:{line}: {".".join(path)}: {text}'


def _find_duplicate_names(documents: Iterable[Document]) -> Iterator[str]:
    seen: dict[tuple[ObjectKind, str], str] = {}
    for item in documents:
        former = seen.setdefault((item.kind, item.name), item.place)
        if former != item.place:
            yield (
                f'{item.place}: name: found {item.name!r} again, first at '
                f'{former}; allowed: each {item.kind} once'
            )


def _find_shared_tokens(documents: Iterable[Document]) -> Iterator[str]:
    owners: dict[str, Document] = {}
    for item in documents:
        if not isinstance(item.spec, TeamSpec):
            continue
        for text in {*item.spec.token_hashes, *item.spec.admin_token_hashes}:
            owner = owners.setdefault(text, item)
            if owner.name != item.name:
                yield (
                    f'{item.place}: spec: found a token hash of team '
                    f'{owner.name!r} ({owner.place}); allowed: one team each'
                )
