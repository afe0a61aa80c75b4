"""Carry out the commands of oleanderctl."""

from __future__ import annotations

import argparse
import difflib
import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import asdict
from typing import Any, TypeAlias

from oleanderdyke.clock import SECOND
from oleanderdyke.ctl import views
from oleanderdyke.ctl.client import Client, make_path
from oleanderdyke.ctl.exits import ExitCode
from oleanderdyke.ctl.files import Document, load_documents
from oleanderdyke.ctl.output import (
    Format,
    make_yaml,
    show,
    show_document,
    show_table,
)
from oleanderdyke.ctl.publication import (
    Published,
    Result,
    apply_documents,
    find_current,
    list_objects,
    read_outcome,
)
from oleanderdyke.ctl.reach import wait_in_force
from oleanderdyke.ctl.services import summarise
from oleanderdyke.ctl.status_views import show_processes, show_services
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.kernel.specs import describe_spec

_WATCH_WAIT = 20_000

Options: TypeAlias = argparse.Namespace
Command: TypeAlias = Callable[[Client, Options], ExitCode]


def check(options: Options) -> ExitCode:
    """Check files without asking an entry."""
    documents = load_documents(options.files)
    show(f'{len(documents)} objects without faults')
    return ExitCode.OK


def apply(client: Client, options: Options) -> ExitCode:
    """Publish what differs from the files."""
    results = apply_documents(client, load_documents(options.files))
    return _finish(client, options, results)


def delete(client: Client, options: Options) -> ExitCode:
    """Delete one object."""
    generation = options.generation
    if generation is None:
        path = make_path('objects', options.kind, options.name)
        generation = client.get(path)['generation']
    change = {
        'kind': options.kind,
        'name': options.name,
        'expected': generation,
        'spec': None,
    }
    (outcome,) = client.publish([change])
    result = read_outcome(outcome, Result.DELETED)
    return _finish(client, options, [result])


def get(client: Client, options: Options) -> ExitCode:
    """Show one object, or all of a kind."""
    if options.name:
        path = make_path('objects', options.kind, options.name)
        objects = [client.get(path)]
    else:
        objects = list(list_objects(client, options.kind, options.selector))
    if options.output is Format.TABLE:
        views.show_objects(objects)
    else:
        show_document(list(map(_strip, objects)), options.output)
    return ExitCode.OK


def describe(client: Client, options: Options) -> ExitCode:
    """Show one object and its recent history."""
    stored = client.get(make_path('objects', options.kind, options.name))
    found = client.get(make_path('history', options.kind, options.name))
    document = {**_strip(stored), 'history': found['outcomes']}
    if options.output is not Format.TABLE:
        show_document(document, options.output)
        return ExitCode.OK
    show_document(_strip(stored), Format.YAML)
    show()
    views.show_outcomes(found['outcomes'])
    return ExitCode.OK


def diff(client: Client, options: Options) -> ExitCode:
    """Show what applying the files would change."""
    documents = load_documents(options.files)
    current = find_current(client, documents)
    lines = [
        line
        for item in documents
        for line in _diff_one(item, current.get((item.kind.value, item.name)))
    ]
    for line in lines:
        show(line)
    return ExitCode.DIFFERS if lines else ExitCode.OK


def history(client: Client, options: Options) -> ExitCode:
    """Show the recent changes of one object."""
    found = client.get(make_path('history', options.kind, options.name))
    if options.output is Format.TABLE:
        views.show_outcomes(found['outcomes'])
    else:
        show_document(found['outcomes'], options.output)
    return ExitCode.OK


def watch(client: Client, options: Options) -> ExitCode:
    """Print changes as they are accepted or lost."""
    after, left = options.after, options.count
    while True:
        parameters = {} if after is None else {'after': after}
        found = client.get(make_path('watch', wait=_WATCH_WAIT, **parameters))
        if not found['complete'] and after is not None:
            show(f'# some changes after offset {after} are too long ago')
        for outcome in found['outcomes'][:left]:
            views.show_outcome_line(outcome, options.output)
        after = max(found['offset'], -1 if after is None else after)
        if left is not None:
            left -= len(found['outcomes'])
            if left <= 0:
                return ExitCode.OK


def status(client: Client, options: Options) -> ExitCode:
    """Show entries, agents, what each service owes and who missed it."""
    found = list(_read_statuses(client, options.missed))
    reached = [item for item in found if item['reached']]
    services = [
        item
        for item in summarise(reached, options.missed)
        if options.service in {None, item.service}
    ]
    if options.output is Format.TABLE:
        if options.service is None:
            show_processes(found)
            show()
        show_services(services)
    else:
        entries = list(map(_drop_services, found))
        shown = {'entries': entries, 'services': list(map(asdict, services))}
        # JSON has no tuples, and YAML should show what JSON shows.
        show_document(json.loads(json.dumps(shown)), options.output)
    return ExitCode.OK if reached else ExitCode.UNAVAILABLE


def drain(client: Client, options: Options) -> ExitCode:
    """Ask an agent to leave."""
    client.post(make_path('drain', options.agent))
    show(f'agent {options.agent} asked to leave')
    return ExitCode.OK


COMMANDS: Mapping[str, Command] = {
    'apply': apply,
    'get': get,
    'describe': describe,
    'diff': diff,
    'delete': delete,
    'watch': watch,
    'history': history,
    'status': status,
    'drain': drain,
}


def _finish(
    client: Client, options: Options, results: list[Published]
) -> ExitCode:
    if options.output is Format.TABLE:
        rows = [_make_row(item) for item in results]
        show_table(('OBJECT', 'RESULT', 'GENERATION', 'DETAIL'), rows)
    else:
        show_document([asdict(item) for item in results], options.output)
    offset = max((item.offset for item in results), default=-1)
    if options.wait:
        count = wait_in_force(client, offset, options.timeout * SECOND)
        if options.output is Format.TABLE:
            show(f'in force in all {count} processes')
    return _find_code(results)


def _make_row(item: Published) -> tuple[object, ...]:
    name = f'{item.kind}/{item.name}'
    return name, item.result.value, item.generation, item.detail


def _find_code(results: Iterable[Published]) -> ExitCode:
    found = {item.result for item in results}
    if Result.INVALID in found:
        return ExitCode.USAGE
    return ExitCode.CONFLICT if Result.CONFLICT in found else ExitCode.OK


def _strip(stored: Mapping[str, Any]) -> dict[str, Any]:
    names = ('kind', 'name', 'generation', 'spec')
    return {name: stored[name] for name in names}


def _diff_one(item: Document, known: Any) -> Iterator[str]:
    wanted = describe_spec(item.spec)
    if known and known['spec'] == wanted:
        return
    label = f'{item.kind}/{item.name}'
    found = known['generation'] if known else 0
    if item.generation not in {None, found}:
        yield f'# {label} expects generation {item.generation}, found {found}'
    before = make_yaml(known['spec']) if known else ''
    yield from difflib.unified_diff(
        before.splitlines(),
        make_yaml(wanted).splitlines(),
        f'{label} configured',
        f'{label} {item.place}',
        lineterm='',
    )


def _drop_services(found: Mapping[str, Any]) -> dict[str, Any]:
    return {key: part for key, part in found.items() if key != 'services'}


def _read_statuses(client: Client, missed: int) -> Iterable[dict[str, Any]]:
    path = make_path('status', missed=max(missed, 1))
    for entry in client.entries:
        try:
            found = client.get_from(entry, path)
        except OleanderError as error:
            if error.kind is not ErrorKind.BACKEND_LOST:
                raise
            yield {'entry': entry, 'reached': False, 'reason': error.message}
        else:
            yield {'entry': entry, 'reached': True, **found}
