from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

TESTS = Path(__file__).parent
PAGE = (TESTS.parent / 'docs' / 'PROOFS.md').read_text(encoding='utf-8')
NAMES = sorted(set(re.findall(r'`([\w/]+\.py)::(\w+)`', PAGE)))
PROMISES = re.split(r'^## (?=\d)', PAGE, flags=re.MULTILINE)[1:]


def list_defined(path):
    tree = ast.parse((TESTS / path).read_text(encoding='utf-8'))
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)
    return {node.name for node in tree.body if isinstance(node, kinds)}


@pytest.mark.parametrize(('path', 'name'), NAMES)
def test_what_the_proofs_name_exists(path, name):
    assert name in list_defined(path)


@pytest.mark.parametrize('promise', PROMISES, ids=lambda text: text[:1])
def test_every_promise_has_tests_and_an_unsafe_variant(promise):
    tests, _, unsafe = promise.partition('- Unsafe variants caught:')
    assert '::test_' in tests
    assert '::' in unsafe
    assert '- Mechanism:' in tests
    assert '- Unproved:' in unsafe


def test_the_proofs_cover_all_nine_promises():
    assert [text[:1] for text in PROMISES] == list('123456789')
