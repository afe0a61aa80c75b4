"""What servers get that stood still while requests came in."""

from __future__ import annotations

import pytest

from tests.late_scene import Trouble, play

pytestmark = pytest.mark.anyio


# Retries were paid for as they were sent; those that servers read only after
# they had stood still came on top of what the budget paid for by then.
async def test_retries_that_lay_unread_count_when_they_arrive(tmp_path):
    scene = await play(tmp_path, entries=3, rate=90, pause=12)
    scene.check_limit()


# Connections that a proxy reset at once were taken for ended, though it passed
# their requests on later.
@pytest.mark.parametrize(
    ('entries', 'trouble'),
    [
        (3, Trouble(is_resetting=True)),
        (6, Trouble(is_resetting=True)),
        (3, Trouble(share=0.5, is_resetting=True)),
    ],
    ids=['three', 'six', 'three-half'],
)
async def test_retries_of_reset_requests_count_when_they_are_passed_on(
    tmp_path, entries, trouble
):
    scene = await play(
        tmp_path,
        entries=entries,
        rate=90,
        pause=12,
        trouble=trouble,
        attempts=2,
    )
    scene.check_limit()
