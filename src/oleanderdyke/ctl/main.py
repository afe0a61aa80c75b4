"""Command line of oleanderctl."""

from __future__ import annotations

import argparse
import importlib
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from oleanderdyke import __version__
from oleanderdyke.ctl.client import Client
from oleanderdyke.ctl.commands import COMMANDS, check
from oleanderdyke.ctl.exits import MEANINGS, ExitCode, find_exit_code
from oleanderdyke.ctl.output import Format
from oleanderdyke.errors import ErrorKind, OleanderError
from oleanderdyke.kernel.objects import ObjectKind

TOKEN_VARIABLE = 'OLEANDER_TOKEN'
ENTRY_VARIABLE = 'OLEANDER_ENTRY'
_DEFAULT_ENTRY = 'http://127.0.0.1:8080'
_DEFAULT_MISSED = 5
_TIMELINE = 'timeline'
_TIMELINE_MODULE = 'oleanderdyke.ctl.timeline'


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    argv = sys.argv[1:] if arguments is None else list(arguments)
    if argv[:1] == [_TIMELINE]:
        return _run_timeline(argv[1:])
    options = make_parser().parse_args(argv)
    try:
        return _run(options)
    except OleanderError as error:
        error.show()
        return find_exit_code(error)
    except KeyboardInterrupt:
        return ExitCode.OK


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog='oleanderctl',
        description='Publish configuration and show what is in force.',
        epilog=_explain_exits(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--version', action='version', version=__version__)
    commands = parser.add_subparsers(
        dest='command', required=True, metavar='COMMAND'
    )
    _add_publishing(commands)
    _add_reading(commands)
    _add_watching(commands)
    commands.add_parser(
        _TIMELINE, help='merge the logs of many processes', add_help=False
    )
    return parser


def _run_timeline(argv: list[str]) -> int:
    timeline = importlib.import_module(_TIMELINE_MODULE)
    return int(timeline.main(argv) or 0)


def _run(options: argparse.Namespace) -> ExitCode:
    if options.command == 'check':
        return check(options)
    client = Client(
        options.entry or _find_entries(),
        _find_token(options),
        authorities=options.ca_file,
    )
    try:
        return COMMANDS[options.command](client, options)
    finally:
        client.close()


def _find_entries() -> list[str]:
    found = os.environ.get(ENTRY_VARIABLE, _DEFAULT_ENTRY)
    return [part.strip() for part in found.split(',') if part.strip()]


def _find_token(options: argparse.Namespace) -> str:
    token = os.environ.get(TOKEN_VARIABLE, '')
    if options.token_file:
        token = _read_token(options.token_file)
    token = token.strip()
    if token and token.isascii() and token.isprintable():
        return token
    fault = f'a token is needed: --token-file FILE or {TOKEN_VARIABLE}'
    raise OleanderError(ErrorKind.BAD_REQUEST, fault)


def _read_token(path: Path) -> str:
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        fault = f'--token-file: {path} cannot be read: {type(error).__name__}'
        raise OleanderError(ErrorKind.BAD_REQUEST, fault) from error


# The type of argparse's sub-parsers has no public name.
_Commands = argparse._SubParsersAction  # noqa: SLF001  # no public name


def _add_publishing(
    commands: _Commands[argparse.ArgumentParser],
) -> None:
    parser = commands.add_parser(
        'check', help='validate files without contacting an entry'
    )
    _add_files(parser)
    parser = commands.add_parser('apply', help='publish the objects of files')
    _add_files(parser)
    _add_wait(parser)
    _add_common(parser)
    parser = commands.add_parser(
        'diff', help='show the changes that apply would make'
    )
    _add_files(parser)
    _add_common(parser)
    parser = commands.add_parser('delete', help='delete an object')
    _add_object(parser)
    parser.add_argument(
        '--generation', type=int, help='delete only this generation'
    )
    _add_wait(parser)
    _add_common(parser)


def _add_reading(
    commands: _Commands[argparse.ArgumentParser],
) -> None:
    parser = commands.add_parser('get', help='show objects')
    _add_kind(parser)
    parser.add_argument('name', nargs='?', default='', help='one object')
    parser.add_argument(
        '-l',
        '--selector',
        default='',
        help='labels to match, such as region=north',
    )
    _add_common(parser)
    parser = commands.add_parser('describe', help='show an object in full')
    _add_object(parser)
    _add_common(parser)
    parser = commands.add_parser(
        'history', help='show recent changes of an object'
    )
    _add_object(parser)
    _add_common(parser)


def _add_watching(
    commands: _Commands[argparse.ArgumentParser],
) -> None:
    parser = commands.add_parser('watch', help='print changes as they are made')
    parser.add_argument('--after', type=int, help='begin after this offset')
    parser.add_argument(
        '--count', type=int, help='stop after this number of changes'
    )
    _add_common(parser)
    parser = commands.add_parser('status', help='show processes and targets')
    parser.add_argument('--service', help='show this service only')
    parser.add_argument(
        '--missed',
        type=int,
        default=_DEFAULT_MISSED,
        metavar='COUNT',
        help='number of missed requests to show for each target, at most 50',
    )
    _add_common(parser)
    parser = commands.add_parser(
        'drain', help='request an agent to drain and leave'
    )
    parser.add_argument('agent', help='process name of the agent')
    _add_common(parser)


def _add_common(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--entry',
        action='append',
        metavar='URL',
        help=f'an entry, repeatable; default: {ENTRY_VARIABLE}, with commas',
    )
    parser.add_argument(
        '--token-file',
        type=Path,
        metavar='FILE',
        help=f'file with the token; default: {TOKEN_VARIABLE}',
    )
    parser.add_argument(
        '--ca-file',
        metavar='FILE',
        help='certificate authorities for https entries',
    )
    parser.add_argument(
        '-o',
        '--output',
        type=Format,
        choices=tuple(Format),
        default=Format.TABLE,
        help='table, json or yaml',
    )


def _add_files(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '-f',
        '--file',
        dest='files',
        action='append',
        required=True,
        metavar='FILE',
        help='file of YAML documents, repeatable; - is the standard input',
    )


def _add_wait(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--wait',
        action='store_true',
        help='wait until the change is in force in every process',
    )
    parser.add_argument(
        '--timeout',
        type=float,
        default=30.0,
        metavar='SECONDS',
        help='time limit of --wait',
    )


def _add_kind(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'kind',
        choices=[kind.value for kind in ObjectKind],
        help='kind of object',
    )


def _add_object(parser: argparse.ArgumentParser) -> None:
    _add_kind(parser)
    parser.add_argument('name', help='name of the object')


def _explain_exits() -> str:
    lines = [f'  {code.value}  {MEANINGS[code]}' for code in ExitCode]
    return '\n'.join(('exit codes:', *lines))


if __name__ == '__main__':
    sys.exit(main())
