"""Provide actions and checks for failure tests on real processes."""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import re
import threading
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import httpcore

from examples.demo import make_token, publish, wait_served
from oleanderdyke.links.messages import BackendKind
from oleanderdyke.logs import parse_line
from tests.calls import Reply, ask, call, make_chat, open_stream, read_events
from tests.deployment import (
    OPERATOR_TOKEN,
    Deployment,
    Entry,
    Server,
    load_layout,
)
from tests.processes import Child, wait_until
from tests.standins import answers, weights

MODEL = 'asistente'
PLAIN = 'taquilla'
STORE = 'memoria-reglas'
WEIGHTS = 'lector-salas'
VERSION = '2026-11'
TEAM = make_token('visitantes')
OTHER_TEAM = make_token('escuelas')
CHAT_PATH = '/v1/chat/completions'
# Included in every prompt, body and key; logs must never contain it.
MARK = 'cormorant'
SIZES = {BackendKind.ENGINE: 2, BackendKind.PLAIN: 2, BackendKind.STORE: 1}
PING = {'ping_interval': 300.0, 'missed_pings': 3}
OPERATORS = {'example': OPERATOR_TOKEN, 'second': 'example-second'}
OPTIONS: Mapping[str, Mapping[str, Any]] = {
    'entry': {
        'links': {'link': PING},
        'vms': {'period': 300},
        'operators': [
            {
                'name': name,
                'token_hash': hashlib.sha256(token.encode()).hexdigest(),
            }
            for name, token in OPERATORS.items()
        ],
        'drain': {'accept': 200, 'announce': 200, 'drain': 600},
    },
    'agent': {'links': PING},
}
_LOST = (httpcore.NetworkError, httpcore.ProtocolError)


@contextmanager
def deploying(directory: Path) -> Iterator[Deployment]:
    layout = load_layout('agency')
    small = tuple(
        dataclasses.replace(item, count=SIZES[item.kind])
        for item in layout.backends[:3]
    )
    layout = dataclasses.replace(layout, backends=small)
    with Deployment(layout, directory, options=OPTIONS) as running:
        publish(running)
        running.wait_ready()
        wait_served(running, MODEL, 'visitantes')
        yield running


@contextmanager
def failing(
    deployment: Deployment, *addresses: str, **faults: Any
) -> Iterator[None]:
    for address in addresses:
        deployment.set_faults(address, **faults)
    try:
        yield
    finally:
        for address in addresses:
            deployment.set_faults(address)


def list_backends(deployment: Deployment, service: str) -> list[str]:
    return [server.address for server in deployment.find(service)]


def book(entry: Entry, name: str, token: str = TEAM) -> Reply:
    return call(
        entry.address,
        'POST',
        f'/v1/services/{PLAIN}/bookings',
        make_body(name),
        token=token,
        headers={'idempotency-key': f'{MARK}-{name}'},
    )


def read_booking(entry: Entry, token: str = TEAM) -> Reply:
    return call(
        entry.address, 'GET', f'/v1/services/{PLAIN}/bookings/7', token=token
    )


def make_body(name: str) -> bytes:
    return f'{MARK} {name}'.encode()


def count_runs(deployment: Deployment, name: str) -> int:
    digest = hashlib.blake2b(make_body(name), digest_size=16).hexdigest()
    return sum(
        deployment.read_stats(address)['runs'].get(digest, 0)
        for address in list_backends(deployment, PLAIN)
    )


def count_corrupt_segments(deployment: Deployment) -> int:
    stats = map(deployment.read_stats, list_backends(deployment, MODEL))
    return sum(item['corrupt_imports'] + item['corrupt_used'] for item in stats)


def make_prompt(title: str) -> str:
    rules = ''.join(f'Rule {n} of {title}: {MARK}.\n' for n in range(100))
    return f'{title}\n{rules}'


def expect_text(text: str, count: int = 8, version: str = VERSION) -> str:
    digest = weights.make_digest(WEIGHTS, version)
    return answers.make_text(make_chat('', text)['messages'], digest, count)


def ask_model(entry: Entry, text: str, token: str = TEAM) -> Reply:
    return ask(entry.address, MODEL, text, token=token)


def is_ok(send: Callable[[], Reply]) -> Callable[[], bool]:
    return lambda: send().status in {200, 201}


def wait_agents_reachable(entry: Entry) -> None:
    for send in (read_booking, lambda entry: ask_model(entry, 'there?')):
        wait_until(
            is_ok(functools.partial(send, entry)),
            f'{entry.name} reaches its agents',
        )


def check_served(deployment: Deployment, entries: Sequence[Entry]) -> None:
    for entry in entries:
        text = make_prompt('a passing question')
        reply = ask_model(entry, text)
        assert (reply.status, reply.done) == (200, True), reply
        assert reply.text == expect_text(text)
        assert read_booking(entry).status == 200, entry.name


def check_no_failures(deployment: Deployment) -> None:
    for child in deployment.children.values():
        assert not list_events(child, 'process_failed'), child.name
        assert 'Traceback' not in child.log.read_text(), child.name
    assert count_corrupt_segments(deployment) == 0


def list_events(child: Child, event: str, **keys: str) -> list[dict[str, str]]:
    lines = child.log.read_text(errors='replace').splitlines()
    found = [parse_line(line) for line in lines if f'event={event} ' in line]
    return [item for item in found if keys.items() <= item.items()]


def wait_event(child: Child, event: str, after: int, **keys: str) -> None:
    wait_until(
        lambda: len(list_events(child, event, **keys)) > after,
        f'{child.name} logs {event}',
    )


def wait_dispatched(servers: Sequence[Server], before: list[int]) -> Server:

    def find() -> list[Server]:
        now = count_dispatched(servers)
        pairs = zip(servers, before, now, strict=True)
        return [server for server, old, new in pairs if new > old]

    wait_until(lambda: bool(find()), 'an agent receives a dispatch')
    return find()[0]


def count_dispatched(servers: Sequence[Server]) -> list[int]:
    return [
        len(list_events(server.agent, 'dispatch_received'))
        for server in servers
    ]


def read_status(entry: Entry) -> Any:
    return call(
        entry.address, 'GET', '/admin/v1/status', token=OPERATOR_TOKEN
    ).json


def find_condition(entry: Entry, agent: str) -> str:
    found = read_status(entry)['agents']
    known = {item['agent']: item['condition'] for item in found}
    return str(known.get(agent, 'unknown'))


def wait_condition(
    entries: Sequence[Entry], agent: str, wanted: set[str]
) -> None:
    wait_until(
        lambda: all(find_condition(each, agent) in wanted for each in entries),
        f'every entry reports {agent} as one of {wanted}',
        seconds=40,
    )


class StreamedChat:
    def __init__(self, entry: Entry, text: str, tokens: int) -> None:
        self.data = bytearray()
        self.resume = ''
        self.status = 0
        self._body = make_chat(MODEL, text, max_tokens=tokens)
        self._thread = threading.Thread(target=self._read, args=(entry,))
        self._thread.start()

    def _read(self, entry: Entry) -> None:
        with (
            suppress(*_LOST),
            httpcore.ConnectionPool() as pool,
            open_stream(
                pool, entry.address, 'POST', CHAT_PATH, self._body, token=TEAM
            ) as response,
        ):
            headers = dict(response.headers)
            self.resume = headers.get(b'oleander-resume', b'').decode()
            self.status = response.status
            for chunk in response.iter_stream():
                self.data += chunk

    def wait_started(self) -> None:
        wait_until(
            lambda: self.data.count(b'data: ') >= 3, 'the stream has started'
        )

    def join(self) -> Reply:
        self._thread.join()
        return make_reply(self.status, bytes(self.data))

    def join_and_resume(self, entry: Entry) -> Reply:
        self._thread.join()
        whole = bytes(self.data[: self.data.rindex(b'\n\n') + 2])
        last = re.findall(rb'^id: (\S+)$', whole, re.MULTILINE)[-1].decode()
        rest = resume(entry, self.resume, last)
        assert rest.status == 200, rest
        return make_reply(200, whole + rest.body)


def resume(entry: Entry, stream: str, after: str, token: str = TEAM) -> Reply:
    path = f'/v1/streams/{stream}?after={after}'
    return call(entry.address, 'GET', path, token=token)


def make_reply(status: int, data: bytes) -> Reply:
    events, done = read_events(data)
    return Reply(status, {}, data, 0.0, events, done)
