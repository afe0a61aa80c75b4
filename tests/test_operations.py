from __future__ import annotations

import re
from pathlib import Path

import anyio
import pytest

from oleanderdyke.ctl.timeline import main
from oleanderdyke.logs import parse_line
from tests.hosted import call, staging

PAGE = Path(__file__).parents[1] / 'docs' / 'OPERATIONS.md'
PAIR = re.compile(r'\b(\w+)=(\S+)')

pytestmark = pytest.mark.anyio


def read_section(title: str) -> list[dict[str, str]]:
    """Return the pairs of each log line in a section of the page."""
    text = PAGE.read_text(encoding='utf-8')
    section = text.split(f'## {title}\n')[1].split('\n## ')[0]
    shown = [line for line in section.splitlines() if '    event=' in line]
    return [dict(PAIR.findall(line)) for line in shown]


def explain(log: Path, request: str, capsys) -> list[dict[str, str]]:
    """Follow the page's steps and return the log lines of one request."""
    assert main(['--request', request, str(log)]) == 0
    assert request in capsys.readouterr().out
    lines = [parse_line(line) for line in log.read_text().splitlines()]
    return [line for line in lines if line.get('request') == request]


def check(shown: list[dict[str, str]], found: list[dict[str, str]]) -> None:
    """Check that the found lines include the shown ones in order."""
    position = 0
    for line in shown:
        names = [each['event'] for each in found[position:]]
        assert line['event'] in names, (line, names)
        position += names.index(line['event'])
        for key in line:
            assert key in found[position], (key, found[position])


async def shed(peer):
    await peer.answer(
        503,
        b'full',
        oleanderdyke_not_executed='1',
        oleanderdyke_instance_load='6,2,6',
    )


async def reset(peer):
    peer.reset()


async def answer_late(peer):
    await anyio.sleep(0.5)
    await peer.answer(body=b'late')


@pytest.mark.parametrize(
    ('title', 'script', 'status'),
    [
        ('Refused', shed, 503),
        ('Lost with its backend server', reset, 502),
        ('Late', answer_late, 200),
    ],
)
async def test_the_documented_steps_lead_from_an_id_to_the_cause(
    tmp_path, capsys, title, script, status
):
    async with staging(tmp_path, script) as stage:
        found = await stage.call('/once/0')
        await anyio.sleep(0.2)
        found = await stage.call('/once/1', oleanderdyke_request_id='req-7')
        assert found.status == status
        assert found.headers['oleanderdyke-request-id'] == 'req-7'
    check(read_section(title), explain(stage.log, 'req-7', capsys))


async def test_metrics_are_served_at_the_documented_port(tmp_path):
    text = PAGE.read_text(encoding='utf-8')
    port = int(re.search(r'port (\d+)', text)[1])
    async with staging(tmp_path, answer_late) as stage:
        await stage.call('/once/1')
        if 'name=metrics' in stage.log.read_text():
            # Another process on this machine uses the port.
            return
        found = await call(('127.0.0.1', port), '/metrics', method='GET')
    assert found.status == 200
    assert b'requests' in found.body
