"""Generate the reference pages from the code."""

from __future__ import annotations

import argparse
import dataclasses
import enum
import os
import sys
import typing
from collections.abc import Iterator, Mapping
from pathlib import Path

from oleanderdyke.agent.main import make_parser as make_agent_parser
from oleanderdyke.agent.settings import AgentSettings
from oleanderdyke.clock import MINUTE, SECOND
from oleanderdyke.ctl.main import make_parser as make_ctl_parser
from oleanderdyke.ctl.timeline import make_parser as make_timeline_parser
from oleanderdyke.entry.main import make_parser as make_entry_parser
from oleanderdyke.entry.settings import EntrySettings
from oleanderdyke.errors import REPLIES
from oleanderdyke.events import COMMON_KEYS, EventName, Key, find_level
from oleanderdyke.kernel.objects import SPEC_TYPES
from oleanderdyke.metrics import LABELS, Count, Gauge, Timing
from oleanderdyke.scrape import METRICS_PATH, METRICS_PORT

FOLDER = Path(__file__).parent.parent / 'docs' / 'reference'
_COLUMNS = 'COLUMNS'
_GENERATED_NOTICE = (
    'Made by `make reference` from the code; edit the code instead.'
)


def render_pages() -> Mapping[str, str]:
    """Return the text of each page by file name."""
    return {
        'errors.md': _render('Errors', _list_errors()),
        'events.md': _render('Events', _list_events()),
        'metrics.md': _render('Metrics', _list_metrics()),
        'settings-entry.md': _render(
            'Settings of oleander-entry', _list_settings(EntrySettings)
        ),
        'settings-agent.md': _render(
            'Settings of oleander-agent', _list_settings(AgentSettings)
        ),
        'commands.md': _render('Commands', _list_commands()),
        'objects.md': _render('Configured objects', _list_objects()),
    }


def main() -> int:
    """Write every page into the reference folder; return the exit code."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name, text in render_pages().items():
        (FOLDER / name).write_text(text, encoding='utf-8')
    return 0


def _render(title: str, lines: Iterator[str]) -> str:
    return '\n'.join([f'# {title}', '', _GENERATED_NOTICE, '', *lines, ''])


def _list_errors() -> Iterator[str]:
    yield 'The kind of an error decides its answer. `ran` tells whether the'
    yield 'request ran; an answer may say `maybe` where the table says `no`,'
    yield 'never the other way. A retry time of `-` means that none is named.'
    yield ''
    yield '| kind | status | ran | retry after (ms) |'
    yield '|---|---|---|---|'
    for kind, reply in REPLIES.items():
        retry = '-' if reply.retry_after is None else f'{reply.retry_after:g}'
        yield f'| `{kind}` | {reply.status} | {reply.ran} | {retry} |'


def _list_events() -> Iterator[str]:
    common = ', '.join(f'`{key}`' for key in COMMON_KEYS)
    others = ', '.join(f'`{key}`' for key in Key)
    yield f'Every line has {common}. Further keys: {others}.'
    yield ''
    yield '| event | level |'
    yield '|---|---|'
    for event in EventName:
        yield f'| `{event}` | {find_level(event)} |'


def _list_metrics() -> Iterator[str]:
    yield 'Labels are at most 200 for each kind of metric; what is beyond'
    yield 'counts as `other`. Times of the background class are under'
    yield '`SERVICE:background`, those of answers that are not streamed under'
    yield '`SERVICE:whole`.'
    yield ''
    yield f'On the platform they are at port {METRICS_PORT}, `{METRICS_PATH}`.'
    yield ''
    yield '| metric | type | label |'
    yield '|---|---|---|'
    for timing in Timing:
        name, label = f'oleander_{timing}_milliseconds', LABELS[timing]
        yield f'| `{name}` | summary | {label} |'
        yield f'| `{name}_quantile` | gauge at 0.5, 0.95, 0.99 | {label} |'
    for count in Count:
        yield f'| `oleander_{count}_total` | counter | {LABELS[count]} |'
    for gauge in Gauge:
        yield f'| `oleander_{gauge}` | gauge | {LABELS[gauge]} |'


def _list_objects() -> Iterator[str]:
    yield 'Documents for `oleanderctl apply -f`: `kind`, `name`, `spec`.'
    for kind, spec_type in SPEC_TYPES.items():
        yield ''
        yield f'## `{kind}`'
        yield ''
        yield from _list_settings(spec_type)


def _list_commands() -> Iterator[str]:
    for make_parser in (make_entry_parser, make_agent_parser, make_ctl_parser):
        yield from _list_help(make_parser(), '##')
    yield from _list_help(make_timeline_parser(), '###')


def _list_help(parser: argparse.ArgumentParser, heading: str) -> Iterator[str]:
    yield f'{heading} `{parser.prog}`'
    yield ''
    yield '```text'
    yield _format_help(parser)
    yield '```'
    yield ''
    for name, inner in _list_subcommands(parser):
        # `timeline` parses its own options; its parser is listed separately.
        if name != 'timeline':
            yield from _list_help(inner, f'{heading}#')


def _list_subcommands(
    parser: argparse.ArgumentParser,
) -> Iterator[tuple[str, argparse.ArgumentParser]]:
    for action in parser._actions:  # noqa: SLF001  # argparse has no public accessor
        if isinstance(action.choices, dict):
            yield from action.choices.items()


def _format_help(parser: argparse.ArgumentParser) -> str:
    """Return the help text wrapped for a terminal of 80 columns."""
    previous = os.environ.get(_COLUMNS)
    os.environ[_COLUMNS] = '80'
    try:
        return parser.format_help().rstrip()
    finally:
        del os.environ[_COLUMNS]
        if previous is not None:
            os.environ[_COLUMNS] = previous


def _list_settings(settings_type: type) -> Iterator[str]:
    yield f'{_get_first_paragraph(settings_type)}'
    yield ''
    yield 'Durations are in milliseconds, sizes in bytes.'
    yield ''
    yield '| key | type | default |'
    yield '|---|---|---|'
    yield from _list_fields(settings_type, '')


def _list_fields(settings_type: type, prefix: str) -> Iterator[str]:
    hints = typing.get_type_hints(settings_type)
    for item in dataclasses.fields(settings_type):
        target = _strip_optional(hints[item.name])
        key = f'{prefix}{item.name}'
        if dataclasses.is_dataclass(target):
            yield from _list_fields(typing.cast('type', target), f'{key}.')
            continue
        default = _format_default(item)
        yield f'| `{key}` | {_format_type(target)} | {default} |'


def _strip_optional(target: object) -> object:
    inner = [
        option for option in typing.get_args(target) if option is not type(None)
    ]
    optional = type(None) in typing.get_args(target)
    return inner[0] if optional and len(inner) == 1 else target


def _format_type(target: object) -> str:
    if isinstance(target, type) and issubclass(target, enum.Enum):
        return ', '.join(str(member.value) for member in target)
    if isinstance(target, type) and not typing.get_args(target):
        return target.__name__
    return str(target).replace('collections.abc.', '').replace('|', 'or')


def _format_default(item: dataclasses.Field[object]) -> str:
    if item.default is not dataclasses.MISSING:
        return f'`{_to_plain_value(item.default)}`'
    if item.default_factory is not dataclasses.MISSING:
        return f'`{_to_plain_value(item.default_factory())}`'
    return 'required'


def _to_plain_value(found: object) -> object:
    if isinstance(found, enum.Enum):
        return found.value
    if isinstance(found, float) and found >= MINUTE and not found % SECOND:
        return int(found)
    return found


def _get_first_paragraph(settings_type: type) -> str:
    text = (settings_type.__doc__ or '').split('\n\n')[0]
    return ' '.join(text.split())


if __name__ == '__main__':
    sys.exit(main())
