"""Guard the pages against names of files and tests that no longer exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

_ROOT = Path(__file__).parent.parent
_FOLDERS = ('src', 'bench', 'tools', 'examples', 'tests')
_PAGES = sorted(
    path.relative_to(_ROOT)
    for path in [*_ROOT.glob('*.md'), *_ROOT.glob('docs/**/*.md')]
)
_FILES = {
    path.relative_to(_ROOT).as_posix()
    for folder in _FOLDERS
    for path in (_ROOT / folder).rglob('*.py')
}
_TESTS = {
    name
    for path in (_ROOT / 'tests').rglob('*.py')
    for name in [path.stem, *re.findall(r'def (test_\w+)', path.read_text())]
}


@pytest.mark.parametrize('page', _PAGES, ids=str)
def test_page_names_only_files_and_tests_that_exist(page: Path) -> None:
    quoted = re.findall(r'`([^`]+)`', (_ROOT / page).read_text())
    text = '\n'.join(quoted)
    files = set(re.findall(r'[\w/]+\.py\b', text))
    tests = set(re.findall(r'\btest_\w+', text))

    assert [name for name in files if not _is_file(name)] == []
    assert tests - _TESTS == set()


def _is_file(name: str) -> bool:
    return any(file == name or file.endswith(f'/{name}') for file in _FILES)
