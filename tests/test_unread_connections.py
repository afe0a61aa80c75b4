"""What servers get that leave some of their connections unread."""

from __future__ import annotations

import pytest

from tests.late_scene import Trouble, play

pytestmark = pytest.mark.anyio


# Answers over other connections of a server were taken for the arrival of what
# it had left unread on some.
@pytest.mark.parametrize(
    ('entries', 'trouble'),
    [
        (3, Trouble(share=0.5)),
        (6, Trouble(share=0.5)),
        (3, Trouble(share=0.5, is_served=True)),
    ],
    ids=['three-refused', 'six-refused', 'three-served'],
)
async def test_retries_over_unread_connections_count_when_they_arrive(
    tmp_path, entries, trouble
):
    scene = await play(
        tmp_path,
        entries=entries,
        rate=90,
        pause=25,
        trouble=trouble,
        attempts=2,
    )
    scene.check_limit()
