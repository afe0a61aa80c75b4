"""Exit codes of oleanderctl and their meanings."""

from __future__ import annotations

import enum
from collections.abc import Mapping

from oleanderdyke.errors import ErrorKind, OleanderError


class ExitCode(enum.IntEnum):
    """Exit codes; scripts rely on the numbers."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    TIMED_OUT = 6
    REFUSED = 7
    NOT_FOUND = 8
    DIFFERS = 9


MEANINGS: Mapping[ExitCode, str] = {
    ExitCode.OK: 'done',
    ExitCode.FAILED: 'failed for another reason, which is printed',
    ExitCode.USAGE: 'bad arguments, files or objects; nothing was changed',
    ExitCode.CONFLICT: 'somebody else changed an object first',
    ExitCode.UNAVAILABLE: 'no entry answered, or the log is out; not changed',
    ExitCode.UNKNOWN: 'a change may or may not have been accepted',
    ExitCode.TIMED_OUT: 'accepted, but not in force everywhere in time',
    ExitCode.REFUSED: 'the token is unknown or has no right to do this',
    ExitCode.NOT_FOUND: 'no such object or agent, or no event that matches',
    ExitCode.DIFFERS: 'diff found differences',
}

_BY_KIND: Mapping[ErrorKind, ExitCode] = {
    ErrorKind.BAD_REQUEST: ExitCode.USAGE,
    ErrorKind.CONFLICT: ExitCode.CONFLICT,
    ErrorKind.LOG_UNAVAILABLE: ExitCode.UNAVAILABLE,
    ErrorKind.NOT_READY: ExitCode.UNAVAILABLE,
    ErrorKind.STOPPING: ExitCode.UNAVAILABLE,
    ErrorKind.BACKEND_LOST: ExitCode.UNAVAILABLE,
    ErrorKind.OUTCOME_UNKNOWN: ExitCode.UNKNOWN,
    ErrorKind.DEADLINE: ExitCode.TIMED_OUT,
    ErrorKind.UNAUTHENTICATED: ExitCode.REFUSED,
    ErrorKind.FORBIDDEN: ExitCode.REFUSED,
    ErrorKind.NOT_FOUND: ExitCode.NOT_FOUND,
}


def find_exit_code(error: OleanderError) -> ExitCode:
    """Return the exit code for the kind of an error."""
    return _BY_KIND.get(error.kind, ExitCode.FAILED)
