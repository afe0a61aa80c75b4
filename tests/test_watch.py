from __future__ import annotations

import anyio
import anyio.abc
import pytest

from agents import make_settings, wait_until
from oleanderdyke.agent.backend import Backend
from oleanderdyke.agent.failures import check_not_replaced
from oleanderdyke.agent.process_watch import ProcessStatus, ProcessWatch
from oleanderdyke.clients.http import HttpError
from oleanderdyke.clock import ManualClock
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.links.messages import BackendKind

pytestmark = pytest.mark.anyio


async def test_end_of_the_held_connection_shows_the_end_for_a_while() -> None:
    clock = ManualClock()
    opened = await anyio.create_tcp_listener(local_host='127.0.0.1')
    listener = opened.listeners[0]
    host, port = listener.extra(anyio.abc.SocketAttribute.local_address)
    backend = make_settings(
        BackendKind.ENGINE, f'{host}:{port}', 'asistente'
    ).backend
    watch = ProcessWatch(backend, clock=clock)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(watch.run)
        stream = await listener.accept()
        assert not watch.has_ended()
        await stream.aclose()
        await wait_until(watch.has_ended)
        assert await watch.diagnose() is ProcessStatus.ENDED
        clock.advance(1_000.0)
        assert not watch.has_ended()
        tasks.cancel_scope.cancel()


async def test_brackets_in_an_address_are_not_part_of_the_host(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    asked = []

    async def refuse(host: str, port: int) -> None:
        asked.append((host, port))
        raise ConnectionRefusedError

    monkeypatch.setattr(anyio, 'connect_tcp', refuse)
    settings = make_settings(BackendKind.ENGINE, '[::1]:80', 's').backend
    with pytest.raises(HttpError):
        await Backend(settings).connect()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ProcessWatch(settings, clock=ManualClock()).run)
        await wait_until(lambda: len(asked) > 1)
        tasks.cancel_scope.cancel()
    assert asked == [('::1', 80)] * 2


def test_refusal_after_the_end_counts_as_a_lost_run() -> None:
    with pytest.raises(HttpError) as caught:
        check_not_replaced(503, ended=True)
    assert caught.value.kind is ErrorKind.BACKEND_LOST
    assert caught.value.ran is Ran.MAYBE


@pytest.mark.parametrize(
    ('status', 'ended'), [(503, False), (200, True), (400, True)]
)
def test_other_answers_are_passed_on(status: int, *, ended: bool) -> None:
    check_not_replaced(status, ended=ended)
