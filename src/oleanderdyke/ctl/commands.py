"""Commands of oleanderctl."""

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

_WATCH_WAIT_MS = 20_000

Options: TypeAlias = argparse.Namespace
Command: TypeAlias = Callable[[Client, Options], ExitCode]


def check(options: Options) -> ExitCode:
    """Validate files without contacting an entry."""
    documents = load_documents(options.files)
    show(f'{len(documents)} valid objects')
    return ExitCode.OK


def apply(client: Client, options: Options) -> ExitCode:
    """Publish the objects of the files that differ from those configured."""
    results = apply_documents(client, load_documents(options.files))
    return _finish(client, options, results)


def delete(client: Client, options: Options) -> ExitCode:
    """Delete one object, at the given or the current generation."""
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
    """Show one object, or all objects of a kind that match the selector."""
    if options.name:
        path = make_path('objects', options.kind, options.name)
        objects = [client.get(path)]
    else:
        objects = list(list_objects(client, options.kind, options.selector))
    if options.output is Format.TABLE:
        views.show_objects(objects)
    else:
        show_document(list(map(_select_fields, objects)), options.output)
    return ExitCode.OK


def describe(client: Client, options: Options) -> ExitCode:
    """Show one object in full and its recent changes."""
    stored = client.get(make_path('objects', options.kind, options.name))
    found = client.get(make_path('history', options.kind, options.name))
    document = {**_select_fields(stored), 'history': found['outcomes']}
    if options.output is not Format.TABLE:
        show_document(document, options.output)
        return ExitCode.OK
    show_document(_select_fields(stored), Format.YAML)
    show()
    views.show_outcomes(found['outcomes'])
    return ExitCode.OK


def diff(client: Client, options: Options) -> ExitCode:
    """Show the changes that applying the files would make."""
    documents = load_documents(options.files)
    current = find_current(client, documents)
    lines = [
        line
        for item in documents
        for line in _diff_object(
            item, current.get((item.kind.value, item.name))
        )
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
    """Print changes as they are accepted or rejected for a conflict."""
    after, remaining = options.after, options.count
    while True:
        parameters = {} if after is None else {'after': after}
        found = client.get(
            make_path('watch', wait=_WATCH_WAIT_MS, **parameters)
        )
        if not found['complete'] and after is not None:
            show(f'# some changes after offset {after} are no longer available')
        for outcome in found['outcomes'][:remaining]:
            views.show_outcome_line(outcome, options.output)
        after = max(found['offset'], -1 if after is None else after)
        if remaining is not None:
            remaining -= len(found['outcomes'])
            if remaining <= 0:
                return ExitCode.OK


def status(client: Client, options: Options) -> ExitCode:
    """Show entries, agents, service targets and requests that missed them."""
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
        # The JSON round trip makes lists of tuples, so that YAML equals JSON.
        show_document(json.loads(json.dumps(shown)), options.output)
    return ExitCode.OK if reached else ExitCode.UNAVAILABLE


def drain(client: Client, options: Options) -> ExitCode:
    """Request an agent to drain and leave."""
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
    return _find_exit_code(results)


def _make_row(item: Published) -> tuple[object, ...]:
    name = f'{item.kind}/{item.name}'
    return name, item.result.value, item.generation, item.detail


def _find_exit_code(results: Iterable[Published]) -> ExitCode:
    found = {item.result for item in results}
    if Result.INVALID in found:
        return ExitCode.USAGE
    return ExitCode.CONFLICT if Result.CONFLICT in found else ExitCode.OK


def _select_fields(stored: Mapping[str, Any]) -> dict[str, Any]:
    names = ('kind', 'name', 'generation', 'spec')
    return {name: stored[name] for name in names}


def _diff_object(item: Document, current: Any) -> Iterator[str]:
    wanted = describe_spec(item.spec)
    if current and current['spec'] == wanted:
        return
    label = f'{item.kind}/{item.name}'
    found = current['generation'] if current else 0
    if item.generation not in {None, found}:
        yield f'# {label} expects generation {item.generation}, found {found}'
    before = make_yaml(current['spec']) if current else ''
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
