"""The promises to callers and servers while links leave requests unread."""

from __future__ import annotations

import anyio
import pytest

from tools.soak.late_plan import make_unread_plan
from tools.soak.plan import FaultKind
from tools.soak.run import run_soak


# Servers read seconds of requests at once that had been repeated meanwhile.
@pytest.mark.parametrize(
    'kind', [FaultKind.LINKS_PARTLY_SILENT, FaultKind.LINKS_CLOSE_EARLY]
)
def test_servers_behind_such_links_get_no_more_retries_than_allowed(
    tmp_path, kind
):
    plan = make_unread_plan(kind, entries=3)
    lines = []
    anyio.run(run_soak, plan, tmp_path, lines.append)
    assert [line for line in lines if line.startswith('BROKEN')] == []
