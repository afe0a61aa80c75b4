from __future__ import annotations

import os
import tomllib
from pathlib import Path

import logbook
import pytest

from oleanderdyke.clock import ManualClock
from oleanderdyke.events import EventName
from oleanderdyke.logpipe import LogBudget, PipeHandler
from oleanderdyke.logs import make_pipe_log, parse_line
from oleanderdyke.scrape import METRICS_PATH, METRICS_PORT

ROOT = Path(__file__).parents[1]


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    for descriptor in (reader, writer):
        os.close(descriptor)


def read_lines(reader):
    try:
        return os.read(reader, 1 << 20).decode().splitlines()
    except BlockingIOError:
        return []


def write(handler, text, level=logbook.INFO):
    handler.emit(logbook.LogRecord('p', level, text))


def test_lines_come_whole_and_in_order(pipe):
    reader, writer = pipe
    log = make_pipe_log('front-1', ManualClock(), writer)
    log.write(EventName.PROCESS_STARTED, address='a:1')
    log.write(EventName.PROCESS_READY)
    found = [parse_line(line)['event'] for line in read_lines(reader)]
    assert found == ['process_started', 'process_ready']


def test_a_reader_that_reads_nothing_costs_lines_and_no_wait(pipe):
    reader, writer = pipe
    clock = ManualClock()
    log = make_pipe_log('front-1', clock, writer)
    for _ in range(5_000):
        log.write(EventName.REQUEST_FINISHED, request='r' * 40)
        clock.advance(5)
    lines = read_lines(reader)
    assert lines
    clock.advance(2_000)
    log.write(EventName.PROCESS_READY)
    later = [parse_line(line) for line in read_lines(reader)]
    told = [each for each in later if each.get('event') == 'lines_dropped']
    assert int(told[0]['count']) > 1_000


def test_lines_of_failures_find_room_when_others_are_dropped(pipe):
    reader, writer = pipe
    clock = ManualClock()
    handler = PipeHandler(writer, clock, budget=LogBudget(8, 10_000, 0.5))
    for number in range(10):
        write(handler, f'good {number}')
    for number in range(10):
        write(handler, f'bad {number}', logbook.WARNING)
    lines = read_lines(reader)
    assert [line.split()[0] for line in lines] == ['good'] * 4 + ['bad'] * 4


def test_the_budget_is_that_of_each_second(pipe):
    reader, writer = pipe
    clock = ManualClock()
    handler = PipeHandler(writer, clock, budget=LogBudget(2, 10_000, 1.0))
    for _ in range(3):
        write(handler, 'a')
        write(handler, 'b')
        write(handler, 'c')
        clock.advance(1_000)
    assert len(read_lines(reader)) == 6


def test_a_closed_reader_ends_nothing(pipe):
    reader, writer = pipe
    spare = os.dup(writer)
    closed, other = os.pipe()
    os.close(closed)
    handler = PipeHandler(other, ManualClock())
    write(handler, 'nobody reads this')
    os.close(other)
    os.close(spare)
    assert read_lines(reader) == []


def test_a_whole_line_follows_one_that_was_taken_in_part(pipe):
    reader, writer = pipe
    clock = ManualClock()
    handler = PipeHandler(writer, clock, budget=LogBudget(10_000, 1 << 22))
    for _ in range(200):
        write(handler, 'x' * 1_000)
    read_lines(reader)
    write(handler, 'y' * 10)
    lines = read_lines(reader)
    assert lines[-1] == 'y' * 10


@pytest.mark.parametrize('role', ['oleander-entry', 'oleander-agent'])
def test_the_deploy_file_names_the_port_of_the_metrics(role):
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    named = deploy['roles'][role]['metrics']
    assert named == f'{METRICS_PORT}{METRICS_PATH}'
