"""Guard names that leave the process against renames.

Messages, stored records, settings, log lines and metrics partly take their
names from classes and fields. Neither types nor other tests detect a rename
that changes them.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

_TESTS = Path(__file__).parent
_SOURCES = _TESTS.parent / 'src'
_IDENTIFIERS = ('id', 'attr', 'name', 'arg')


def test_each_outer_name_stands_in_the_code() -> None:
    names = (_TESTS / 'outer_names.txt').read_text().splitlines()
    words = set()
    for path in _SOURCES.rglob('*.py'):
        words.update(_list_words(ast.parse(path.read_text())))

    assert names
    assert [name for name in names if name not in words] == []


def _list_words(tree: ast.Module) -> Iterator[str]:
    docstrings = {
        id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            yield str(node.value)
        for field in _IDENTIFIERS:
            if isinstance(found := getattr(node, field, None), str):
                yield found
