from __future__ import annotations

import pytest

from oleanderdyke.errors import REPLIES, ErrorKind
from tools.reference import FOLDER, render_pages

_PAGES = render_pages()


@pytest.mark.parametrize('name', sorted(_PAGES))
def test_reference_page_matches_the_code(name: str) -> None:
    written = (FOLDER / name).read_text(encoding='utf-8')
    assert written == _PAGES[name], 'run `make reference`'


def test_every_error_kind_has_its_answer() -> None:
    assert set(REPLIES) == set(ErrorKind)
