"""Run both deployments of today's sizes on loopback and show what happens."""

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
_MOST_RECOMPUTED = 0.2
_SETTLE_SECONDS = 1.5
_CREATED = 201
_OK = 200


@dataclass(frozen=True, slots=True)
class Story:
    """Name what the demo does in one deployment."""

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


AGENCY = Story(
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
COUNCIL = Story(
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
    """Print what happened and remember which expectations failed."""

    def __init__(self) -> None:
        self.failed: list[str] = []

    def say(self, text: str) -> None:
        """Print one line."""
        print(text, flush=True)

    def expect(self, what: str, *, met: bool, found: Any = '') -> None:
        """Print whether an expectation was met."""
        self.say(f'  {"ok  " if met else "FAIL"} {what}')
        if not met:
            self.failed.append(what)
            self.say(f'       found: {found}')


class Show:
    """Run the steps of one story."""

    def __init__(self, story: Story, report: Report) -> None:
        self._story = story
        self._report = report
        self._directory = BUILD / story.layout
        lines = range(_RULEBOOK_LINES)
        self._rulebook = ''.join(story.rulebook.format(n, n) for n in lines)

    def run(self) -> None:
        """Start the deployment, run every step, stop it."""
        layout = load_layout(self._story.layout)
        self._report.say(f'== {layout.name} ({layout.region})')
        started = time.monotonic()
        with Deployment(layout, self._directory, shared=True) as deployment:
            self._deployment = deployment
            count = len(deployment.children)
            seconds = time.monotonic() - started
            self._report.say(
                f'  {count} processes listen after {seconds:.1f} s'
            )
            for step in self._list_steps():
                self._try(step)
            self._try(self._stop)

    def _list_steps(self) -> tuple[Callable[[], None], ...]:
        return (
            self._publish,
            self._ask,
            self._evict_and_ask_again,
            self._post_twice,
            self._read_status,
            self._write_letter,
        )

    def _try(self, step: Callable[[], None]) -> None:
        try:
            step()
        # Whatever a step meets is a finding; the next steps still run.
        except Exception as error:
            name = step.__name__.strip('_').replace('_', ' ')
            self._report.expect(
                f'{name} runs to its end', met=False, found=repr(error)
            )

    def _publish(self) -> None:
        story = self._story
        started = time.monotonic()
        publish(self._deployment)
        self._deployment.wait_ready()
        seconds = time.monotonic() - started
        wait_served(self._deployment, story.model_service, story.team)
        served = time.monotonic() - started
        self._report.expect(
            f'configuration published, every entry ready after {seconds:.1f} s,'
            f' engines loaded and serving after {served:.1f} s',
            met=True,
        )

    def _ask(self) -> None:
        reply = self._ask_question(0)
        self._show_answer('rulebook question streamed', reply)
        self._report.expect(
            'its context was computed',
            met=reply.recomputed_share == 1,
            found=reply.usage,
        )

    def _evict_and_ask_again(self) -> None:
        wait_until(self._is_kept, 'a store keeps the context')
        evict(self._deployment)
        before = count_read_bytes(self._deployment)
        reply = self._ask_question(1)
        moved = count_read_bytes(self._deployment) - before
        self._show_answer(
            f'same question after eviction, {moved:,} link bytes', reply
        )
        self._report.expect(
            f'at most {_MOST_RECOMPUTED:.0%} recomputed, the rest came back',
            met=reply.recomputed_share <= _MOST_RECOMPUTED and moved > 0,
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
        story = self._story
        key = {'idempotency-key': f'demo-{time.time_ns()}'}
        path = f'/v1/services/{story.plain_service}{story.post_path}'
        replies = [
            call(
                entry.address,
                'POST',
                path,
                story.post_body.encode(),
                token=make_token(story.team),
                headers=key,
            )
            for entry in self._deployment.entries[:2]
        ]
        runs = sum(
            sum(self._deployment.read_stats(item.address)['runs'].values())
            for item in self._deployment.find(story.plain_service)
        )
        bodies = [reply.body for reply in replies]
        same = bodies[0] == bodies[1] and replies[0].status == _CREATED
        self._report.expect(
            f'{story.post_path} sent twice by two entries: one run, '
            'same answer',
            met=same and runs == 1,
            found=(runs, replies),
        )

    def _read_status(self) -> None:
        story = self._story
        reply = call(
            self._deployment.entries[-1].address,
            'GET',
            f'/v1/services/{story.plain_service}{story.status_path}',
            token=make_token(story.team),
        )
        self._report.expect(
            f'{story.status_path} answered',
            met=reply.status == _OK and reply.json['status'] == 'received',
            found=reply,
        )

    def _write_letter(self) -> None:
        story = self._story
        body = make_chat(
            story.model_service,
            story.letter,
            stream=False,
            background=True,
            max_tokens=24,
        )
        reply = call(
            self._deployment.entries[0].address,
            'POST',
            '/v1/chat/completions',
            body,
            token=make_token(story.letter_team),
        )
        wanted = self._expect_text(story.letter, 24)
        runs = sum(
            self._deployment.read_stats(address)['background_runs']
            for address in list_addresses(self._deployment, BackendKind.ENGINE)
        )
        self._report.expect(
            'letter written in the background class',
            met=reply.status == _OK and reply.text == wanted and runs == 1,
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

    def _ask_question(self, entry: int) -> Reply:
        story = self._story
        return ask(
            self._deployment.entries[entry].address,
            story.model_service,
            self._rulebook + story.question,
            token=make_token(story.team),
        )

    def _show_answer(self, what: str, reply: Reply) -> None:
        wanted = self._expect_text(self._rulebook + self._story.question, 8)
        whole = reply.status == _OK and reply.done and reply.text == wanted
        self._report.expect(f'{what}: whole', met=whole, found=reply)
        if whole:
            self._report.say(
                f'       first token {reply.first_token:.0f} ms, '
                f'{reply.usage["prompt_tokens"]} tokens, '
                f'recomputed {reply.recomputed_share:.1%}'
            )

    def _expect_text(self, text: str, count: int) -> str:
        digest = weights.make_digest(self._story.model, self._story.version)
        messages = make_chat('', text)['messages']
        return answers.make_text(messages, digest, count)

    def _is_kept(self) -> bool:
        wanted = len(self._rulebook) // cache.SEGMENT_BYTES
        return count_cached_tokens(self._deployment) >= wanted


def make_token(team: str) -> str:
    """Return the token of a team in the example configurations."""
    return f'example-{team}'


def publish(deployment: Deployment) -> None:
    """Publish the example configuration; raise NotMet when it is refused."""
    wait_until(
        lambda: all(map(deployment.is_live, deployment.entries)),
        'every entry answers',
    )
    path = EXAMPLES / deployment.layout.name / 'configuration.yaml'
    done = deployment.run_ctl('apply', '-f', str(path), '--wait')
    if done.returncode:
        raise NotMet(f'oleanderctl: {done.stdout}{done.stderr}')


def wait_served(deployment: Deployment, service: str, team: str) -> None:
    """Wait until every entry reaches the engines, once they are loaded."""

    def answers_through(entry: Entry) -> bool:
        reply = ask(entry.address, service, 'ready?', token=make_token(team))
        return reply.status == _OK

    for entry in deployment.entries:
        wait_until(
            functools.partial(answers_through, entry),
            f'{entry.name} reaches {service}',
        )


def evict(deployment: Deployment) -> None:
    """Fill every engine's cache with other context and let the news spread."""
    options = deployment.layout.standins['engine']
    length = (options['cache_segments'] + 1) * cache.SEGMENT_BYTES
    chat = make_chat('', 'x' * length, max_tokens=1, stream=False)
    for address in list_addresses(deployment, BackendKind.ENGINE):
        salted = chat | {'cache_salt': f'{time.time_ns():032x}'}
        call(address, 'POST', '/v1/chat/completions', salted)
    time.sleep(_SETTLE_SECONDS)


def count_cached_tokens(deployment: Deployment) -> int:
    """Count the objects in the stores."""
    addresses = list_addresses(deployment, BackendKind.STORE)
    return sum(len(call(each, 'GET', '/objects').json) for each in addresses)


def count_read_bytes(deployment: Deployment) -> int:
    """Count the bytes that the stores have sent over their links."""
    addresses = list_addresses(deployment, BackendKind.STORE)
    return sum(
        int(deployment.read_stats(each)['read_bytes']) for each in addresses
    )


def list_addresses(deployment: Deployment, kind: BackendKind) -> list[str]:
    """Return the addresses of the backend servers of a kind."""
    return [item.address for item in deployment.servers if item.kind is kind]


def main() -> int:
    """Run the demo; return 0 when every expectation was met."""
    started = time.monotonic()
    report = Report()
    for story in (AGENCY, COUNCIL):
        try:
            Show(story, report).run()
        except NotMet as error:
            report.expect(f'{story.layout} starts', met=False, found=error)
    seconds = time.monotonic() - started
    report.say(f'== {len(report.failed)} failed, {seconds:.1f} s in all')
    for what in report.failed:
        report.say(f'  failed: {what}')
    return 1 if report.failed else 0


if __name__ == '__main__':
    sys.exit(main())
