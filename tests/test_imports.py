from __future__ import annotations

import ast
import pathlib
from collections.abc import Iterator

import pytest

PACKAGE = 'oleanderdyke'
SOURCES = pathlib.Path(__file__).parents[1] / 'src'
FILES = sorted((SOURCES / PACKAGE).rglob('*.py'))

SHELLS = frozenset({'entry', 'agent', 'ctl'})
MIDDLE = frozenset({'clients', 'links', 'platform', 'policies'})
PARTS = SHELLS | MIDDLE | {'kernel'}

# The parts that each part may not import.
FORBIDDEN = {
    **{shell: SHELLS - {shell} for shell in SHELLS},
    **dict.fromkeys(MIDDLE, SHELLS),
    'kernel': SHELLS | MIDDLE,
    'shared': PARTS,
}
# Message types without I/O, which every part may import.
MESSAGES = 'oleanderdyke.links.messages'
PURE = frozenset({'kernel', 'policies'})
IMPURE = frozenset(
    {
        *('anyio', 'asyncio', 'selectors', 'socket', 'socketserver', 'ssl'),
        *('time', 'datetime', 'secrets', 'uuid', 'os', 'subprocess'),
        *('threading', 'multiprocessing', 'concurrent', 'signal', 'sched'),
        *('websockets', 'httpcore', 'uvicorn', 'h11', 'urllib', 'http'),
        *('logging', 'logbook', 'io', 'pathlib', 'tempfile', 'mmap'),
    }
)
BUILT_IN_IO = frozenset({'open', 'print', 'input', 'exec', 'eval'})


def find_part(path: pathlib.Path) -> str:
    part = path.relative_to(SOURCES / PACKAGE).parts[0]
    return part if part in PARTS else 'shared'


def list_imports(tree: ast.AST) -> Iterator[str]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, 'relative import'
            yield from (f'{node.module}.{a.name}' for a in node.names)


def is_within(name: str, module: str) -> bool:
    return name == module or name.startswith(f'{module}.')


def find_wrong_imports(part: str, source: str) -> list[str]:
    wrong = [f'{PACKAGE}.{other}' for other in FORBIDDEN[part]]
    if part in PURE:
        wrong.extend(IMPURE)
    names = set(list_imports(ast.parse(source)))
    return sorted(
        name
        for name in names
        if not is_within(name, MESSAGES)
        and any(is_within(name, module) for module in wrong)
    )


def find_global_randomness(source: str) -> list[str]:
    """Return uses of `random` other than its seeded class `Random`."""
    tree = ast.parse(source)
    used = {
        f'random.{node.attr}'
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == 'random'
        and not _is_instance(tree)
    }
    used.update(n for n in list_imports(tree) if is_within(n, 'random'))
    return sorted(used - {'random', 'random.Random'})


def _is_instance(tree: ast.AST) -> bool:
    """Return whether `random` is a parameter instead of the module."""
    return 'random' not in set(list_imports(tree))


def find_bare_calls(source: str, names: frozenset[str]) -> list[str]:
    return sorted(
        node.func.id
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Name)
        and node.func.id in names
    )


def show(path: pathlib.Path) -> str:
    return str(path.relative_to(SOURCES))


@pytest.mark.parametrize('path', FILES, ids=show)
def test_imports_point_one_way(path):
    assert find_wrong_imports(find_part(path), path.read_text()) == []


@pytest.mark.parametrize(
    'path', [path for path in FILES if find_part(path) in PURE], ids=show
)
def test_decisions_use_no_io_and_no_global_randomness(path):
    source = path.read_text()
    assert find_global_randomness(source) == []
    assert find_bare_calls(source, BUILT_IN_IO) == []


@pytest.mark.parametrize(
    ('part', 'source'),
    [
        ('kernel', 'import anyio'),
        ('kernel', 'from time import monotonic'),
        ('kernel', 'from oleanderdyke.links import link'),
        ('kernel', 'from oleanderdyke.links.codec import encode'),
        ('kernel', 'from oleanderdyke.policies import routing'),
        ('kernel', 'def f():\n    import socket'),
        ('links', 'from oleanderdyke.entry import main'),
        ('policies', 'import datetime'),
        ('entry', 'from oleanderdyke.agent import main'),
        ('shared', 'from oleanderdyke.kernel import gate'),
    ],
)
def test_the_check_finds_a_wrong_import(part, source):
    assert find_wrong_imports(part, source)


@pytest.mark.parametrize(
    'source',
    [
        'import random\nrandom.random()',
        'from random import shuffle',
        'import random\nx = random.choice',
    ],
)
def test_the_check_finds_global_randomness(source):
    assert find_global_randomness(source)


@pytest.mark.parametrize(
    'source',
    [
        'from random import Random\ndef f(random: Random):\n random.random()',
        'import random\nx = random.Random(1)',
    ],
)
def test_a_seeded_generator_is_allowed(source):
    assert find_global_randomness(source) == []


def test_messages_may_be_read_everywhere():
    source = 'from oleanderdyke.links.messages import Load'
    assert find_wrong_imports('kernel', source) == []
    assert find_wrong_imports('shared', source) == []
