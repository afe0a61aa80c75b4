from __future__ import annotations

import io
import json
import random
from pathlib import Path

import pytest

from oleanderdyke.clock import ManualClock
from oleanderdyke.ctl.event_order import (
    Ordered,
    _merge,
    order_events,
    read_events,
)
from oleanderdyke.ctl.timeline import main
from oleanderdyke.events import EventName, Level
from oleanderdyke.logs import make_event_log

_SKEW = 5_000.0
_REQUESTS = 40


def _write_logs(skews: tuple[float, float]) -> list[str]:
    """Log requests that go from an entry to an agent and back."""
    time = ManualClock()
    clocks = [ManualClock(), ManualClock()]
    streams = [io.StringIO(), io.StringIO()]
    entry, agent = (
        make_event_log(name, Level.INFO, clock, stream)
        for name, clock, stream in zip(
            ('entry-1', 'agent-1'), clocks, streams, strict=True
        )
    )
    draw = random.Random(7)

    def step() -> None:
        time.advance(draw.uniform(0.1, 3.0))
        for clock, skew in zip(clocks, skews, strict=True):
            clock.current = time.now() + skew

    for number in range(_REQUESTS):
        keys = {'request': f'r{number}', 'attempt': 1}
        step()
        entry.write(EventName.DISPATCH_SENT, peer='agent-1', **keys)
        step()
        agent.write(EventName.DISPATCH_RECEIVED, peer='entry-1', **keys)
        step()
        agent.write(EventName.ANSWER_STARTED, peer='entry-1', **keys)
        step()
        entry.write(EventName.ANSWER_RECEIVED, peer='agent-1', **keys)
    return [stream.getvalue() for stream in streams]


def _find_violations(ordered: list[Ordered]) -> list[str]:
    """Return the requests whose events are out of causal order."""
    names = [(item.event.name, item.event.pairs['request']) for item in ordered]
    found = []
    for number in range(_REQUESTS):
        request = f'r{number}'
        expected = [
            EventName.DISPATCH_SENT,
            EventName.DISPATCH_RECEIVED,
            EventName.ANSWER_STARTED,
            EventName.ANSWER_RECEIVED,
        ]
        actual = [name for name, owner in names if owner == request]
        if actual != expected:
            found.append(request)
    return found


def _read(texts: list[str]) -> list[list[object]]:
    return [read_events(text.splitlines()) for text in texts]


@pytest.mark.parametrize(
    'skews', [(0.0, 0.0), (_SKEW, 0.0), (0.0, _SKEW), (-_SKEW, _SKEW)]
)
def test_order_respects_cause_when_clocks_differ(
    skews: tuple[float, float],
) -> None:
    ordered = order_events(_read(_write_logs(skews)))
    assert len(ordered) == 4 * _REQUESTS
    assert _find_violations(ordered) == []
    for index, item in enumerate(ordered):
        assert item.cause is None or item.cause < index


def test_order_by_clock_alone_violates_causality() -> None:
    sources = _read(_write_logs((0.0, -_SKEW)))
    events = [event for source in sources for event in source]
    by_clock = _merge(
        [[event] for event in events],
        events,
        {},
        {
            'entry-1': 0.0,
            'agent-1': 0.0,
        },
    )
    assert _find_violations(by_clock)


def test_lines_that_are_no_events_are_skipped() -> None:
    assert read_events(['Traceback (most recent call last):', '', 'a=b']) == []


def _write_files(folder: Path) -> list[str]:
    paths = []
    for number, text in enumerate(_write_logs((0.0, _SKEW))):
        path = folder / f'{number}.log'
        path.write_text(text + 'not an event line\n')
        paths.append(str(path))
    return paths


def test_request_filter_keeps_the_request_and_its_arrows(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    files = _write_files(tmp_path)
    assert main([*files, '--request', 'r3', '--format', 'jsonl']) == 0
    rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [row['cause'] for row in rows] == [None, 0, None, 2]


def test_page_is_self_contained_and_holds_every_event(tmp_path: Path) -> None:
    page = tmp_path / 'page.html'
    files = _write_files(tmp_path)
    assert main([*files, '--format', 'html', '--output', str(page)]) == 0
    text = page.read_text()
    assert 'http' not in text
    assert text.count('"dispatch_received"') == _REQUESTS


def test_missing_file_is_a_usage_error(tmp_path: Path) -> None:
    assert main([str(tmp_path / 'none.log')]) == 2


def test_lines_prefixed_by_a_collector_are_read():
    line = 'at=5.0 level=info event=process_ready process=p sequence=1'
    marked = f'  36.5313 front-hall-1 {line}'
    assert read_events([marked]) == read_events([line])
    assert read_events([line])


def _write_lost(folder: Path, *, ended: bool) -> str:
    """Log a process that is lost before or after its request has ended."""
    path = folder / 'entry-1.log'
    clock = ManualClock()
    with path.open('w', encoding='utf-8') as stream:
        log = make_event_log('entry-1', Level.INFO, clock, stream)
        log.write(EventName.PROCESS_STARTED)
        log.write(EventName.REQUEST_ACCEPTED, request='r1')
        if ended:
            log.write(EventName.REQUEST_FINISHED, request='r1')
        log.write(EventName.REQUEST_ACCEPTED, request='r2')
        clock.advance(2_000)
        log = make_event_log('entry-1', Level.INFO, clock, stream)
        log.write(EventName.PROCESS_STARTED)
        clock.advance(2_000)
        log.write(EventName.PROCESS_STOPPING)
    return str(path)


@pytest.mark.parametrize(
    ('ended', 'last'),
    [(False, 'process_started'), (True, 'request_finished')],
)
def test_a_request_without_an_end_shows_the_loss_of_its_process(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    *,
    ended: bool,
    last: str,
) -> None:
    path = _write_lost(tmp_path, ended=ended)
    assert main(['--request', 'r1', path]) == 0
    names = [line.split()[2] for line in capsys.readouterr().out.splitlines()]
    assert names == ['request_accepted', last]
