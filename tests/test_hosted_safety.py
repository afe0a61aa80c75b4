"""Check the responses of an entry against the runs of its servers.

The entry runs with its real tasks and connections. Server behaviour, callers
that disconnect and concurrent requests are generated. For each guarantee, an
unsafe variant of the entry shows that the check detects a violation.
"""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, replace
from typing import TypeAlias

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderdyke.entry.hosted import attempt as attempts
from oleanderdyke.entry.hosted import driver
from oleanderdyke.entry.hosted.events import EventFramer, EventSplitter
from oleanderdyke.errors import ErrorKind, Ran
from oleanderdyke.kernel.attempts import RequestStateMachine
from tests.hosted import Stage, make_request, read_answer, staging
from tests.hosted_copies import MODEL_HEADERS, copying
from tests.hosted_runs import (
    Act,
    Framed,
    Runs,
    check_closed,
    check_count,
    check_response,
)
from tests.standins.framing import EVENT_STREAM, Ending, Framing

Staging: TypeAlias = Callable[..., AbstractAsyncContextManager[Stage]]

_SERVERS = 3
_DEADLINE_MS = '700'
_LEAVES_AFTER_SECONDS = 0.05
# The attempts that the routes allow.
_MOST_RUNS = {'/once/': 1, '/safe/': 2, '/stream/': 2, '/letter/': 1}
_PLAIN_ACTS = [act for act in Act if not act.startswith('stream')]
# On stream routes, a complete response that is no stream is forwarded as it is,
# so these acts are left out.
_STREAM_ACTS = [
    act for act in Act if act not in {Act.ANSWER, Act.EXTRA, Act.CUT}
]


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request and what the servers do with each attempt."""

    path: str
    acts: tuple[Act | Framed, ...]
    leaves: bool = False


_FRAMED = st.builds(
    Framed,
    framing=st.sampled_from(Framing),
    ending=st.sampled_from(Ending),
    is_finished=st.booleans(),
    cut=st.sampled_from([0, 0, 1, 2, 5, 9, 20, 30]),
    line_end=st.sampled_from([b'\n', b'\r\n', b'\r']),
    media_type=st.sampled_from(
        [EVENT_STREAM, 'Text/Event-Stream;charset=utf-8']
    ),
)


def _draw_request(path: str) -> st.SearchStrategy[PlannedRequest]:
    is_stream = path in {'/stream/', '/letter/'}
    acts = st.one_of(
        st.sampled_from(_STREAM_ACTS if is_stream else _PLAIN_ACTS), _FRAMED
    )
    return st.builds(
        PlannedRequest,
        st.just(path),
        st.lists(acts, max_size=3).map(tuple),
        st.booleans(),
    )


def _draw_rounds(
    *paths: str,
) -> st.SearchStrategy[list[list[PlannedRequest]]]:
    requests = st.one_of([_draw_request(path) for path in paths])
    rounds = st.lists(requests, min_size=1, max_size=4)
    return st.lists(rounds, min_size=1, max_size=3)


ROUNDS = _draw_rounds(*_MOST_RUNS)
STREAM_ROUNDS = _draw_rounds('/stream/', '/letter/')


async def _play(
    rounds: list[list[PlannedRequest]],
    directory: pathlib.Path,
    stage_entry: Staging,
) -> None:
    runs = Runs()
    headers = MODEL_HEADERS if stage_entry is copying else {}
    async with stage_entry(directory, *[runs.play] * _SERVERS) as stage:
        for number, requests in enumerate(rounds):
            async with asyncio.TaskGroup() as tasks:
                for place, planned in enumerate(requests):
                    request = f'req-{number}-{place}'
                    tasks.create_task(
                        _ask(stage, runs, planned, request, headers)
                    )


async def _ask(
    stage: Stage,
    runs: Runs,
    planned: PlannedRequest,
    request: str,
    headers: dict[str, str],
) -> None:
    runs.planned_acts[request] = list(planned.acts)
    reader, writer = await asyncio.open_connection(*stage.address)
    path = f'{planned.path}{request}'
    writer.write(
        make_request(
            path,
            oleanderdyke_request_id=request,
            oleanderdyke_deadline_ms=_DEADLINE_MS,
            **headers,
        )
    )
    answered = None
    try:
        if planned.leaves:
            await anyio.sleep(_LEAVES_AFTER_SECONDS)
        else:
            with anyio.fail_after(10):
                answered = await read_answer(reader)
    finally:
        writer.close()
    began = runs.by_request[request]
    await check_closed(began)
    check_count(began, _MOST_RUNS[planned.path])
    if answered is not None:
        check_response(answered, began, path)


def _run(
    rounds: list[list[PlannedRequest]], stage_entry: Staging = staging
) -> None:
    with tempfile.TemporaryDirectory() as name:
        anyio.run(_play, rounds, pathlib.Path(name), stage_entry)


@settings(max_examples=30, deadline=None)
@given(ROUNDS)
def test_guarantees_hold_for_any_server_behaviour(rounds):
    _run(rounds)


@settings(max_examples=30, deadline=None)
@given(STREAM_ROUNDS)
def test_guarantees_hold_while_runs_are_copied(rounds):
    _run(rounds, copying)


def _assert_caught(
    *requests: PlannedRequest, stage_entry: Staging = staging
) -> None:
    """Run the requests one after the other; a check must fail."""
    with pytest.raises(ExceptionGroup) as caught:
        _run([[planned] for planned in requests], stage_entry)
    assert caught.value.subgroup(AssertionError) is not None


def test_run_count_check_catches_an_entry_that_retries_everything(monkeypatch):
    make = driver._make_facts

    def make_unsafe(core, call):
        return replace(make(core, call), idempotent=True)

    monkeypatch.setattr(driver, '_make_facts', make_unsafe)
    monkeypatch.setattr(
        driver,
        '_make_settings',
        lambda _: driver.AttemptSettings(max_attempts=2),
    )
    _assert_caught(PlannedRequest('/once/', (Act.RESET,)))


@pytest.mark.parametrize('act', [Act.REFUSE_WITHOUT_PROOF, Act.REGION])
def test_response_check_catches_an_entry_that_accepts_any_response(
    monkeypatch, act
):
    monkeypatch.setattr(attempts, 'find_answer_fault', lambda *_: '')
    _assert_caught(PlannedRequest('/once/', (act,)))


def test_not_executed_check_catches_an_entry_that_reports_losses_as_not_run(
    monkeypatch,
):
    report = attempts.DirectAttempt._report_failure

    def report_unsafe(self, kind, _ran, reason):
        report(self, kind, Ran.NO, reason)

    monkeypatch.setattr(
        attempts.DirectAttempt, '_report_failure', report_unsafe
    )
    _assert_caught(
        PlannedRequest('/once/', (Act.RESET, Act.REFUSE, Act.REFUSE))
    )


def test_event_check_catches_an_entry_that_appends_any_response(monkeypatch):
    monkeypatch.setattr(attempts, 'continues_stream', lambda *_: True)
    _assert_caught(PlannedRequest('/stream/', (Act.STREAM_CUT, Act.FAIL)))


@pytest.mark.parametrize('act', [Act.HANG, Act.STREAM_HANG])
def test_close_check_catches_an_entry_that_never_cancels(monkeypatch, act):
    monkeypatch.setattr(attempts.DirectAttempt, 'cancel', lambda _: None)
    path = '/once/' if act is Act.HANG else '/letter/'
    _assert_caught(PlannedRequest(path, (act,), leaves=True))


def test_run_count_check_catches_an_entry_that_repeats_a_run_without_copy(
    monkeypatch,
):
    monkeypatch.setattr(
        RequestStateMachine, '_must_end_without_copy', lambda _: False
    )
    planned = PlannedRequest('/letter/', (Act.STREAM_UNCOPIED,))
    _assert_caught(planned, stage_entry=copying)


def test_event_check_catches_an_entry_that_joins_halves_of_events(monkeypatch):
    monkeypatch.setattr(EventSplitter, 'discard_partial', lambda _: None)
    # The halves joined fit no event, which would be refused.
    monkeypatch.setattr(EventSplitter, '_check', lambda *_: None)
    planned = PlannedRequest('/letter/', (Act.STREAM_HALF,))
    _assert_caught(planned, stage_entry=copying)


def test_run_count_check_catches_an_entry_that_goes_on_before_the_end(
    monkeypatch,
):
    """An entry that takes a silent engine for a lost one, and leaves it."""
    give_up = attempts.DirectAttempt.find_overdue_time

    def go_on(self, now):
        if give_up(self, now) and not self._done:
            self._lost_copy = self._find_copy(is_ended=True)
            self._report_failure(ErrorKind.STREAM_BROKEN, Ran.MAYBE, '')
        return 0.0

    monkeypatch.setattr(attempts.DirectAttempt, 'find_overdue_time', go_on)
    monkeypatch.setattr(attempts.DirectAttempt, 'cancel', lambda _: None)
    planned = PlannedRequest('/letter/', (Act.STREAM_HANG,))
    _assert_caught(planned, stage_entry=copying)


# The unsafe variants are the faults by which broken answers passed for whole.
@pytest.mark.parametrize('path', ['/letter/', '/stream/'])
@pytest.mark.parametrize('framing', Framing)
def test_event_check_catches_an_entry_that_passes_on_parts_of_events(
    monkeypatch, path, framing
):
    monkeypatch.setattr(EventFramer, 'has_partial_event', False)
    cut = Framed(framing, Ending.CLOSE, is_finished=True, cut=5)
    _assert_caught(PlannedRequest(path, (cut,)))


def test_response_check_catches_an_entry_that_takes_a_reset_for_an_end(
    monkeypatch,
):
    def end(self, _):
        self.take_end()

    monkeypatch.setattr(attempts.DirectAttempt, 'take_failure', end)
    cut = Framed(Framing.CLOSE, Ending.RESET, is_finished=True, cut=2)
    _assert_caught(PlannedRequest('/once/', (cut,)))
