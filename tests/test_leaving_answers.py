"""Backend servers say in their answers that they leave."""

from __future__ import annotations

import anyio
import pytest

from tests.hosted import SERVERS, Stage, make_record, prefer, staging
from tests.standins.scripts import answer_well

pytestmark = pytest.mark.anyio
ANSWERED = 200


async def answer_leaving(peer) -> None:
    await peer.answer(server_leaving='1')


def count_received(stage: Stage) -> list[int]:
    return [len(replica.received) for replica in stage.replicas]


async def learn_leaving(stage: Stage) -> None:
    """Have an entry hear from its first server that it leaves."""
    prefer(stage, 0)
    assert (await stage.call('/once/first')).status == ANSWERED
    assert count_received(stage) == [1, 0]


async def list_again(stage: Stage, beat: int) -> None:
    """Have the first server listed as ready, and wait until that is read."""
    backend = stage.core.book.find('i-0')
    record = make_record(backend.record.address, seq=beat)
    stage.store.put(SERVERS, 'i-0', record)
    with anyio.fail_after(5):
        while stage.core.book.find('i-0').record.beat != beat:
            await anyio.sleep(0.01)


# A server that had said in its answers that it leaves got requests for six
# seconds, as the store that lists the servers was away.
async def test_a_server_whose_answer_says_it_leaves_gets_no_more(tmp_path):
    async with staging(tmp_path, answer_leaving, answer_well) as stage:
        await learn_leaving(stage)
        for _ in range(4):
            assert (await stage.call('/once/x')).status == ANSWERED
        assert count_received(stage) == [1, 4]
        await list_again(stage, beat=2)
        for _ in range(4):
            assert (await stage.call('/once/x')).status == ANSWERED
        assert count_received(stage) == [1, 8]
