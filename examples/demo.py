"""Run both example deployments on loopback and check their answers."""

from __future__ import annotations

import functools
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from oleanderdyke.links.messages import BackendKind
from tests.calls import Reply, ask, call, make_chat
from tests.deployment import EXAMPLES, Deployment, Entry, load_layout
from tests.processes import ROOT, NotMet, wait_until
from tests.standins import answers, cache, weights

BUILD = ROOT / 'build' / 'demo'
_RULEBOOK_LINES = 400
_MAX_RECOMPUTED_SHARE = 0.2
_SETTLE_SECONDS = 1.5
_CREATED = 201
_OK = 200


@dataclass(frozen=True, slots=True)
class DemoCase:
    """Describe the requests that the demo sends to one deployment."""

    layout: str
    model_service: str
    plain_service: str
    model: str
    version: str
    team: str
    letter_team: str
    rulebook: str
    question: str
    letter: str
    post_path: str
    post_body: str
    status_path: str


AGENCY = DemoCase(
    layout='agency',
    model_service='asistente',
    plain_service='taquilla',
    model='lector-salas',
    version='2026-11',
    team='visitantes',
    letter_team='cartas-locales',
    rulebook='Room of the clocks, rule {}: open box {} last.\n',
    question='May a child of nine take part?',
    letter='Answer the owner who asks for a later opening.',
    post_path='/bookings',
    post_body='room of the clocks, Saturday, 10:00, 24 children',
    status_path='/bookings/status',
)
COUNCIL = DemoCase(
    layout='council',
    model_service='verdict-models',
    plain_service='claims-desk',
    model='claim-reader',
    version='2026-10',
    team='caseworkers',
    letter_team='letters',
    rulebook='Scheme rule {}: a holding of {} hectares may claim.\n',
    question='Is holding 12 eligible?',
    letter='Tell the farmer what is missing in the claim.',
    post_path='/receipts',
    post_body='claim 4711, holding 12',
    status_path='/claims/4711',
)


class Report:
    """Print the results and collect the expectations that failed."""

    def __init__(self) -> None:
        self.failed: list[str] = []

    def print_line(self, text: str) -> None:
        """Print one line without buffering."""
        print(text, flush=True)

    def expect(self, description: str, *, met: bool, found: Any = '') -> None:
        """Print whether an expectation was met; record it if it was not."""
        self.print_line(f'  {"ok  " if met else "FAIL"} {description}')
        if not met:
            self.failed.append(description)
            self.print_line(f'       found: {found}')


class DemoRun:
    """Run the demo against one deployment."""

    def __init__(self, case: DemoCase, report: Report) -> None:
        self._case = case
        self._report = report
        self._directory = BUILD / case.layout
        lines = range(_RULEBOOK_LINES)
        self._rulebook = ''.join(case.rulebook.format(n, n) for n in lines)

    def run(self) -> None:
        """Start the deployment, run every step and stop it."""
        layout = load_layout(self._case.layout)
        self._report.print_line(f'== {layout.name} ({layout.region})')
        started = time.monotonic()
        with Deployment(layout, self._directory, shared=True) as deployment:
            self._deployment = deployment
            count = len(deployment.children)
            seconds = time.monotonic() - started
            self._report.print_line(
                f'  {count} processes listen after {seconds:.1f} s'
            )
            for step in self._list_steps():
                self._run_step(step)
            self._run_step(self._stop)

    def _list_steps(self) -> tuple[Callable[[], None], ...]:
        return (
            self._publish,
            self._ask,
            self._evict_and_ask_again,
            self._post_twice,
            self._read_status,
            self._write_letter,
        )

    def _run_step(self, step: Callable[[], None]) -> None:
        try:
            step()
        # Any error of a step is reported; the next steps still run.
        except Exception as error:
            name = step.__name__.strip('_').replace('_', ' ')
            self._report.expect(
                f'{name} runs to its end', met=False, found=repr(error)
            )

    def _publish(self) -> None:
        case = self._case
        started = time.monotonic()
        publish(self._deployment)
        self._deployment.wait_ready()
        seconds = time.monotonic() - started
        wait_served(self._deployment, case.model_service, case.team)
        served = time.monotonic() - started
        self._report.expect(
            f'configuration published, every entry ready after {seconds:.1f} s,'
            f' engines loaded and serving after {served:.1f} s',
            met=True,
        )

    def _ask(self) -> None:
        reply = self._send_question(0)
        self._check_answer('rulebook question streamed', reply)
        self._report.expect(
            'its context was computed',
            met=reply.recomputed_share == 1,
            found=reply.usage,
        )

    def _evict_and_ask_again(self) -> None:
        wait_until(self._is_stored, 'a store keeps the context')
        evict(self._deployment)
        before = count_read_bytes(self._deployment)
        reply = self._send_question(1)
        moved = count_read_bytes(self._deployment) - before
        self._check_answer(
            f'same question after eviction, {moved:,} link bytes', reply
        )
        self._report.expect(
            f'at most {_MAX_RECOMPUTED_SHARE:.0%} recomputed, '
            'the rest came back',
            met=reply.recomputed_share <= _MAX_RECOMPUTED_SHARE and moved > 0,
            found=reply.usage,
        )
        wrong = [
            count
            for address in list_addresses(self._deployment, BackendKind.ENGINE)
            for count in self._read_wrong(address)
        ]
        self._report.expect(
            'no engine was given or used wrong cache bytes',
            met=not any(wrong),
            found=wrong,
        )

    def _read_wrong(self, address: str) -> tuple[int, int]:
        stats = self._deployment.read_stats(address)
        return stats['corrupt_imports'], stats['corrupt_used']

    def _post_twice(self) -> None:
        case = self._case
        key = {'idempotency-key': f'demo-{time.time_ns()}'}
        path = f'/v1/services/{case.plain_service}{case.post_path}'
        replies = [
            call(
                entry.address,
                'POST',
                path,
                case.post_body.encode(),
                token=make_token(case.team),
                headers=key,
            )
            for entry in self._deployment.entries[:2]
        ]
        runs = sum(
            sum(self._deployment.read_stats(item.address)['runs'].values())
            for item in self._deployment.find(case.plain_service)
        )
        bodies = [reply.body for reply in replies]
        same = bodies[0] == bodies[1] and replies[0].status == _CREATED
        self._report.expect(
            f'{case.post_path} sent twice by two entries: one run, same answer',
            met=same and runs == 1,
            found=(runs, replies),
        )

    def _read_status(self) -> None:
        case = self._case
        reply = call(
            self._deployment.entries[-1].address,
            'GET',
            f'/v1/services/{case.plain_service}{case.status_path}',
            token=make_token(case.team),
        )
        self._report.expect(
            f'{case.status_path} answered',
            met=reply.status == _OK and reply.json['status'] == 'received',
            found=reply,
        )

    def _write_letter(self) -> None:
        case = self._case
        body = make_chat(
            case.model_service,
            case.letter,
            stream=False,
            background=True,
            max_tokens=24,
        )
        reply = call(
            self._deployment.entries[0].address,
            'POST',
            '/v1/chat/completions',
            body,
            token=make_token(case.letter_team),
        )
        expected = self._make_answer(case.letter, 24)
        runs = sum(
            self._deployment.read_stats(address)['background_runs']
            for address in list_addresses(self._deployment, BackendKind.ENGINE)
        )
        self._report.expect(
            'letter written in the background class',
            met=reply.status == _OK and reply.text == expected and runs == 1,
            found=(runs, reply),
        )

    def _stop(self) -> None:
        codes = self._deployment.stop()
        self._report.expect(
            f'{len(codes)} processes stopped gracefully, exit codes '
            f'{sorted(set(codes.values()))}',
            met=not any(codes.values()),
            found={name: code for name, code in codes.items() if code},
        )
        path = self._directory / 'timeline.txt'
        done = self._deployment.run_ctl(
            'timeline', *self._deployment.list_logs(), '--output', str(path)
        )
        events = len(path.read_text().splitlines()) if path.exists() else 0
        self._report.expect(
            f'time line of {events} events in {path.relative_to(ROOT)}',
            met=done.returncode == 0 and events > 0,
            found=done.stderr,
        )

    def _send_question(self, entry: int) -> Reply:
        case = self._case
        return ask(
            self._deployment.entries[entry].address,
            case.model_service,
            self._rulebook + case.question,
            token=make_token(case.team),
        )

    def _check_answer(self, description: str, reply: Reply) -> None:
        expected = self._make_answer(self._rulebook + self._case.question, 8)
        complete = reply.status == _OK and reply.done and reply.text == expected
        self._report.expect(f'{description}: whole', met=complete, found=reply)
        if complete:
            self._report.print_line(
                f'       first token {reply.first_token:.0f} ms, '
                f'{reply.usage["prompt_tokens"]} tokens, '
                f'recomputed {reply.recomputed_share:.1%}'
            )

    def _make_answer(self, text: str, count: int) -> str:
        digest = weights.make_digest(self._case.model, self._case.version)
        messages = make_chat('', text)['messages']
        return answers.make_text(messages, digest, count)

    def _is_stored(self) -> bool:
        expected = len(self._rulebook) // cache.SEGMENT_BYTES
        return count_cached_tokens(self._deployment) >= expected


def make_token(team: str) -> str:
    """Return the access token of a team in the example configurations."""
    return f'example-{team}'


def publish(deployment: Deployment) -> None:
    """Publish the example configuration; raise NotMet if it is rejected."""
    wait_until(
        lambda: all(map(deployment.is_live, deployment.entries)),
        'every entry answers',
    )
    path = EXAMPLES / deployment.layout.name / 'configuration.yaml'
    done = deployment.run_ctl('apply', '-f', str(path), '--wait')
    if done.returncode:
        raise NotMet(f'oleanderctl: {done.stdout}{done.stderr}')


def wait_served(deployment: Deployment, service: str, team: str) -> None:
    """Wait until every entry gets answers from the loaded engines."""

    def is_reached(entry: Entry) -> bool:
        reply = ask(entry.address, service, 'ready?', token=make_token(team))
        return reply.status == _OK

    for entry in deployment.entries:
        wait_until(
            functools.partial(is_reached, entry),
            f'{entry.name} reaches {service}',
        )


def evict(deployment: Deployment) -> None:
    """Fill every engine's cache with other context and wait for the updates."""
    options = deployment.layout.standins['engine']
    length = (options['cache_segments'] + 1) * cache.SEGMENT_BYTES
    chat = make_chat('', 'x' * length, max_tokens=1, stream=False)
    for address in list_addresses(deployment, BackendKind.ENGINE):
        salted = chat | {'cache_salt': f'{time.time_ns():032x}'}
        call(address, 'POST', '/v1/chat/completions', salted)
    time.sleep(_SETTLE_SECONDS)


def count_cached_tokens(deployment: Deployment) -> int:
    """Return the number of objects in all stores."""
    addresses = list_addresses(deployment, BackendKind.STORE)
    return sum(len(call(each, 'GET', '/objects').json) for each in addresses)


def count_read_bytes(deployment: Deployment) -> int:
    """Return the bytes that all stores have sent over their links."""
    addresses = list_addresses(deployment, BackendKind.STORE)
    return sum(
        int(deployment.read_stats(each)['read_bytes']) for each in addresses
    )


def list_addresses(deployment: Deployment, kind: BackendKind) -> list[str]:
    """Return the addresses of the backend servers of a kind."""
    return [item.address for item in deployment.servers if item.kind is kind]


def main() -> int:
    """Run the demo; return 0 if every expectation was met."""
    started = time.monotonic()
    report = Report()
    for case in (AGENCY, COUNCIL):
        try:
            DemoRun(case, report).run()
        except NotMet as error:
            report.expect(f'{case.layout} starts', met=False, found=error)
    seconds = time.monotonic() - started
    report.print_line(f'== {len(report.failed)} failed, {seconds:.1f} s in all')
    for description in report.failed:
        report.print_line(f'  failed: {description}')
    return 1 if report.failed else 0


if __name__ == '__main__':
    sys.exit(main())
