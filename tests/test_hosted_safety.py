"""Hold what an entry tells its callers against what servers ran.

The entry runs with its real shell and connections; acts of the servers,
callers that leave and requests at the same time are drawn. Each promise has an
unsafe variant that its check catches.
"""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
from dataclasses import dataclass, replace

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderdyke.entry.hosted import attempt as attempts
from oleanderdyke.entry.hosted import driver
from oleanderdyke.errors import Ran
from tests.hosted import Stage, make_request, read_answer, staging
from tests.hosted_runs import (
    Act,
    Runs,
    check_closed,
    check_count,
    check_told,
)

_SERVERS = 3
_DEADLINE_MS = '700'
_LEAVES_AFTER_SECONDS = 0.05
# As the routes of the stage allow.
_MOST_RUNS = {'/once/': 1, '/safe/': 2, '/stream/': 2, '/letter/': 1}
_PLAIN_ACTS = [act for act in Act if not act.startswith('stream')]
# A whole answer that is no stream is passed on as it is.
_STREAM_ACTS = [
    act for act in Act if act not in {Act.ANSWER, Act.EXTRA, Act.CUT}
]


@dataclass(frozen=True, slots=True)
class Ask:
    """Hold one request and what the servers do with each try of it."""

    path: str
    acts: tuple[Act, ...]
    leaves: bool = False


def _draw_ask(path: str) -> st.SearchStrategy[Ask]:
    is_stream = path in {'/stream/', '/letter/'}
    acts = st.sampled_from(_STREAM_ACTS if is_stream else _PLAIN_ACTS)
    return st.builds(
        Ask,
        st.just(path),
        st.lists(acts, max_size=3).map(tuple),
        st.booleans(),
    )


ROUNDS = st.lists(
    st.lists(
        st.one_of([_draw_ask(path) for path in _MOST_RUNS]),
        min_size=1,
        max_size=4,
    ),
    min_size=1,
    max_size=3,
)


async def _play(rounds: list[list[Ask]], directory: pathlib.Path) -> None:
    runs = Runs()
    async with staging(directory, *[runs.play] * _SERVERS) as stage:
        for number, asks in enumerate(rounds):
            async with asyncio.TaskGroup() as tasks:
                for place, ask in enumerate(asks):
                    request = f'req-{number}-{place}'
                    tasks.create_task(_ask(stage, runs, ask, request))


async def _ask(stage: Stage, runs: Runs, ask: Ask, request: str) -> None:
    runs.decks[request] = list(ask.acts)
    reader, writer = await asyncio.open_connection(*stage.address)
    path = f'{ask.path}{request}'
    writer.write(
        make_request(
            path,
            oleanderdyke_request_id=request,
            oleanderdyke_deadline_ms=_DEADLINE_MS,
        )
    )
    answered = None
    try:
        if ask.leaves:
            await anyio.sleep(_LEAVES_AFTER_SECONDS)
        else:
            with anyio.fail_after(10):
                answered = await read_answer(reader)
    finally:
        writer.close()
    began = runs.by_request[request]
    await check_closed(began)
    check_count(began, _MOST_RUNS[ask.path])
    if answered is not None:
        check_told(answered, began, path)


def _run(rounds: list[list[Ask]]) -> None:
    with tempfile.TemporaryDirectory() as name:
        anyio.run(_play, rounds, pathlib.Path(name))


@settings(max_examples=30, deadline=None)
@given(ROUNDS)
def test_promises_hold_whatever_the_servers_do(rounds):
    _run(rounds)


def _assert_caught(*asks: Ask) -> None:
    """Play the asks one after the other; a check has to fail."""
    with pytest.raises(ExceptionGroup) as caught:
        _run([[ask] for ask in asks])
    assert caught.value.subgroup(AssertionError) is not None


def test_the_count_catches_an_entry_that_repeats_everything(monkeypatch):
    make = driver._make_facts

    def make_unsafe(core, call):
        return replace(make(core, call), idempotent=True)

    monkeypatch.setattr(driver, '_make_facts', make_unsafe)
    monkeypatch.setattr(
        driver,
        '_make_settings',
        lambda _: driver.AttemptSettings(max_attempts=2),
    )
    _assert_caught(Ask('/once/', (Act.RESET,)))


@pytest.mark.parametrize('act', [Act.REFUSE_UNPROVED, Act.REGION])
def test_the_answers_catch_an_entry_that_believes_all(monkeypatch, act):
    monkeypatch.setattr(attempts, 'find_fault', lambda *_: '')
    _assert_caught(Ask('/once/', (act,)))


def test_the_promise_catches_an_entry_that_calls_losses_not_run(monkeypatch):
    report = attempts.DirectAttempt._report_failure

    def report_unsafe(self, kind, _ran, reason):
        report(self, kind, Ran.NO, reason)

    monkeypatch.setattr(
        attempts.DirectAttempt, '_report_failure', report_unsafe
    )
    _assert_caught(Ask('/once/', (Act.RESET, Act.REFUSE, Act.REFUSE)))


def test_the_events_catch_an_entry_that_joins_any_answer(monkeypatch):
    monkeypatch.setattr(attempts, 'is_rest', lambda *_: True)
    _assert_caught(Ask('/stream/', (Act.STREAM_CUT, Act.FAIL)))


@pytest.mark.parametrize('act', [Act.HANG, Act.STREAM_HANG])
def test_the_end_catches_an_entry_that_never_cancels(monkeypatch, act):
    monkeypatch.setattr(attempts.DirectAttempt, 'cancel', lambda _: None)
    path = '/once/' if act is Act.HANG else '/letter/'
    _assert_caught(Ask(path, (act,), leaves=True))
