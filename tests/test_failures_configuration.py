"""Check that configuration and streams survive failures of real processes."""

from __future__ import annotations

import functools
import itertools
import json
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from subprocess import CompletedProcess
from typing import Any

import pytest
import yaml

from tests import scenes
from tests.deployment import EXAMPLES, Deployment, Entry
from tests.processes import Child, wait_until
from tests.scenes import MODEL, VERSION
from tests.standins import weights

NEXT = '2027-01'
CHANGED = 'familias'
CONFLICT = 3
KEYS = itertools.count(1)


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    directory = tmp_path_factory.mktemp('configuration')
    with scenes.deploying(directory) as running:
        yield running


def read_objects() -> dict[tuple[str, str], Any]:
    text = (EXAMPLES / 'agency' / 'configuration.yaml').read_text()
    return {(o['kind'], o['name']): o for o in yaml.safe_load_all(text)}


def make_object(kind: str, name: str, **spec: Any) -> dict[str, Any]:
    known = read_objects()[kind, name]
    return {'kind': kind, 'name': name, 'spec': known['spec'] | spec}


def make_change(weight: int) -> dict[str, Any]:
    return make_object('team', CHANGED, weight=weight)


def write_objects(deployment: Deployment, *objects: Any) -> Path:
    path = deployment.directory / f'objects-{next(KEYS)}.yaml'
    path.write_text(yaml.safe_dump_all(objects))
    return path


def apply(
    deployment: Deployment,
    *objects: Any,
    entries: Sequence[Entry] = (),
    operator: str = 'example',
) -> CompletedProcess[str]:
    token = deployment.directory / f'{operator}.token'
    token.write_text(scenes.OPERATORS[operator])
    options = [f'--entry=http://{each.address}' for each in entries]
    return deployment.run_ctl(
        'apply',
        *('-f', str(write_objects(deployment, *objects))),
        *('--wait', '--token-file', str(token), *options),
    )


def read_team(deployment: Deployment, entry: Entry) -> tuple[int, int]:
    done = deployment.run_ctl(
        'get', 'team', CHANGED, '-o', 'json', f'--entry=http://{entry.address}'
    )
    (found,) = json.loads(done.stdout)
    return found['generation'], found['spec'].get('weight', 1)


def wait_same_offset(deployment: Deployment) -> int:
    found: set[int] = set()

    def agree() -> bool:
        found.clear()
        for entry in deployment.entries:
            status = scenes.read_status(entry)
            found.add(status['offset'])
            found.update(agent['offset'] for agent in status['agents'])
        return len(found) == 1

    wait_until(agree, 'every process has the same configuration')
    return found.pop()


@pytest.mark.parametrize('lost', [1, -1])
def test_a_change_whose_append_lost_its_answer_is_applied_once(
    deployment: Deployment, lost: int
) -> None:
    generation, weight = read_team(deployment, deployment.entries[0])
    log = deployment.platform['log']
    with scenes.failing(deployment, log, lose_answers=lost):
        done = apply(deployment, make_change(weight + 1))
    assert done.returncode == 0, done
    for entry in deployment.entries:
        found = read_team(deployment, entry)
        assert found == (generation + 1, weight + 1), entry.name


def test_one_of_two_concurrent_changes_wins_on_every_entry(
    deployment: Deployment,
) -> None:
    generation, weight = read_team(deployment, deployment.entries[0])
    before = wait_same_offset(deployment)

    def publish(number: int) -> CompletedProcess[str]:
        change = make_change(weight + 1 + number) | {'generation': generation}
        return apply(
            deployment,
            change,
            entries=[deployment.entries[number]],
            operator=list(scenes.OPERATORS)[number],
        )

    with ThreadPoolExecutor(2) as pool:
        done = list(pool.map(publish, range(2)))
    codes = [item.returncode for item in done]
    assert sorted(codes) == [0, CONFLICT], done
    winner = codes.index(0)
    name = list(scenes.OPERATORS)[winner]
    assert f'last changed by {name}' in done[1 - winner].stdout
    after = wait_same_offset(deployment)
    assert after > before
    for entry in deployment.entries:
        found = read_team(deployment, entry)
        assert found == (generation + 1, weight + 1 + winner), entry.name


def test_a_frozen_entry_applies_a_change_after_it_resumes(
    deployment: Deployment,
) -> None:
    *others, frozen = deployment.entries
    generation, weight = read_team(deployment, others[0])
    frozen.child.freeze()
    try:
        for number in range(2):
            done = apply(
                deployment, make_change(weight + 1 + number), entries=others
            )
            assert done.returncode == 0, done
            assert f'{len(others) + 5} processes' in done.stdout, done
        for entry in others:
            found = read_team(deployment, entry)
            assert found == (generation + 2, weight + 2), entry.name
        for server in deployment.servers:
            scenes.wait_event(server.agent, 'link_down', 0, peer=frozen.name)
    finally:
        frozen.child.thaw()
    deployment.wait_ready()
    wait_same_offset(deployment)
    assert read_team(deployment, frozen) == (generation + 2, weight + 2)
    scenes.wait_agents_reachable(frozen)
    scenes.check_served(deployment, [frozen])


def test_a_stream_keeps_its_version_while_another_is_activated(
    deployment: Deployment,
) -> None:
    text = scenes.make_prompt('versions')
    for entry in deployment.entries:
        assert scenes.ask_model(entry, text).text == scenes.expect_text(text)
    stream = scenes.StreamedChat(deployment.entries[0], text, 300)
    stream.wait_started()
    activate_version(deployment, NEXT)
    reply = stream.join()
    assert (reply.status, reply.done) == (200, True), reply
    assert reply.text == scenes.expect_text(text, 300)

    wait_version(deployment, NEXT)
    first = scenes.ask_model(deployment.entries[1], text)
    assert first.text == scenes.expect_text(text, version=NEXT)
    assert first.recomputed_share == 1
    activate_version(deployment, VERSION)
    wait_version(deployment, VERSION)
    scenes.check_served(deployment, deployment.entries)
    assert scenes.count_corrupt_segments(deployment) == 0


def activate_version(deployment: Deployment, version: str) -> None:
    digest = weights.make_digest(scenes.WEIGHTS, version)
    known = f'{scenes.WEIGHTS}-{VERSION}'
    wanted = make_object(
        'model_version', known, version=version, digest=digest
    ) | {'name': f'{scenes.WEIGHTS}-{version}'}
    service = make_object('service', MODEL, version=version)
    done = apply(deployment, wanted, service)
    assert done.returncode == 0, done


def wait_version(deployment: Deployment, version: str) -> None:
    text = 'which version?'
    known = {scenes.expect_text(text, version=v): v for v in (VERSION, NEXT)}

    def serves(entry: Entry) -> bool:
        reply = scenes.ask_model(entry, text)
        if reply.status != 200:
            assert reply.json['error']['ran'] == 'no', reply
            return False
        assert reply.done, reply
        return known[reply.text] == version

    for entry in deployment.entries:
        wait_until(
            functools.partial(serves, entry),
            f'{entry.name} serves version {version}',
        )


def test_configuration_offsets_never_decrease(deployment: Deployment) -> None:
    entries = [entry.child for entry in deployment.entries]
    agents = [server.agent for server in deployment.servers]
    for child in entries + agents:
        for offsets in split_offsets_by_start(child):
            assert offsets == sorted(offsets), child.name
    scenes.check_no_failures(deployment)


def split_offsets_by_start(child: Child) -> Iterator[list[int]]:
    offsets: list[int] = []
    for line in child.log.read_text().splitlines():
        if 'event=process_started ' in line:
            yield offsets
            offsets = []
        if 'event=configuration_applied ' in line:
            offsets.append(int(line.partition(' offset=')[2].split()[0]))
    yield offsets
