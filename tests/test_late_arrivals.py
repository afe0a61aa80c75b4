"""What servers get that stood still while requests came in."""

from __future__ import annotations

import pytest

from tests.late_scene import play

pytestmark = pytest.mark.anyio


# Retries were paid for as they were sent; those that servers read only after
# they had stood still came on top of what the budget paid for by then.
async def test_retries_that_lay_unread_count_when_they_arrive(tmp_path):
    scene = await play(tmp_path, entries=3, rate=90, pause=12)
    fullest = scene.find_fullest()
    assert fullest.retries <= fullest.allowed
