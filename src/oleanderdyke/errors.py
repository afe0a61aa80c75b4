"""Error kinds and the responses that they map to."""

from __future__ import annotations

import enum
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TextIO

from oleanderdyke.clock import Millis


class Ran(enum.StrEnum):
    """Whether the failed request may have been executed."""

    NO = 'no'
    MAYBE = 'maybe'
    YES = 'yes'


class ErrorKind(enum.StrEnum):
    """The kind of an error; a fixed list."""

    BAD_REQUEST = 'bad_request'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    BODY_TOO_LARGE = 'body_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    CONFLICT = 'conflict'
    KEY_REUSED = 'key_reused'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    IN_PROGRESS = 'in_progress'
    RATE_LIMITED = 'rate_limited'
    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline'
    NOT_READY = 'not_ready'
    STOPPING = 'stopping'
    LEAVING = 'leaving'
    NO_REPLICA = 'no_replica'
    WRONG_VERSION = 'wrong_version'
    STALE_CLAIM = 'stale_claim'
    QUARANTINED = 'quarantined'
    LOG_UNAVAILABLE = 'log_unavailable'
    BACKEND_LOST = 'backend_lost'
    BACKEND_FAILED = 'backend_failed'
    STREAM_BROKEN = 'stream_broken'
    STREAM_GONE = 'stream_gone'
    PROTOCOL = 'protocol'
    CANCELLED = 'cancelled'
    INTERNAL = 'internal'


@dataclass(frozen=True, slots=True)
class Reply:
    """The HTTP status and retry advice of an error kind."""

    status: int
    ran: Ran
    retry_after: Millis | None = None


# An entry may change `ran` from no to maybe, but never from maybe to no.
REPLIES: dict[ErrorKind, Reply] = {
    ErrorKind.BAD_REQUEST: Reply(400, Ran.NO),
    ErrorKind.UNAUTHENTICATED: Reply(401, Ran.NO),
    ErrorKind.FORBIDDEN: Reply(403, Ran.NO),
    ErrorKind.NOT_FOUND: Reply(404, Ran.NO),
    ErrorKind.METHOD_NOT_ALLOWED: Reply(405, Ran.NO),
    ErrorKind.BODY_TOO_LARGE: Reply(413, Ran.NO),
    ErrorKind.HEADERS_TOO_LARGE: Reply(431, Ran.NO),
    ErrorKind.CONFLICT: Reply(409, Ran.NO),
    ErrorKind.KEY_REUSED: Reply(422, Ran.NO),
    ErrorKind.OUTCOME_UNKNOWN: Reply(409, Ran.MAYBE),
    ErrorKind.IN_PROGRESS: Reply(409, Ran.MAYBE, 1_000),
    ErrorKind.RATE_LIMITED: Reply(429, Ran.NO, 1_000),
    ErrorKind.OVERLOADED: Reply(503, Ran.NO, 1_000),
    ErrorKind.DEADLINE: Reply(504, Ran.MAYBE, 1_000),
    ErrorKind.NOT_READY: Reply(503, Ran.NO, 1_000),
    ErrorKind.STOPPING: Reply(503, Ran.NO, 1_000),
    ErrorKind.LEAVING: Reply(503, Ran.NO, 0),
    ErrorKind.NO_REPLICA: Reply(503, Ran.NO, 1_000),
    ErrorKind.WRONG_VERSION: Reply(503, Ran.NO, 0),
    ErrorKind.STALE_CLAIM: Reply(503, Ran.NO, 0),
    ErrorKind.QUARANTINED: Reply(422, Ran.NO),
    ErrorKind.LOG_UNAVAILABLE: Reply(503, Ran.NO, 2_000),
    ErrorKind.BACKEND_LOST: Reply(502, Ran.MAYBE, 1_000),
    ErrorKind.BACKEND_FAILED: Reply(502, Ran.YES),
    ErrorKind.STREAM_BROKEN: Reply(502, Ran.MAYBE, 1_000),
    ErrorKind.STREAM_GONE: Reply(410, Ran.MAYBE),
    ErrorKind.PROTOCOL: Reply(502, Ran.MAYBE, 1_000),
    ErrorKind.CANCELLED: Reply(499, Ran.MAYBE),
    ErrorKind.INTERNAL: Reply(500, Ran.MAYBE),
}


class OleanderError(Exception):
    """Base class of errors that are reported to callers."""

    exit_code = 1

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        ran: Ran | None = None,
        retry_after: Millis | None = None,
    ) -> None:
        super().__init__(message)
        reply = REPLIES[kind]
        self.kind = kind
        self.message = message
        self.status = reply.status
        self.ran = reply.ran if ran is None else ran
        self.retry_after = (
            reply.retry_after if retry_after is None else retry_after
        )

    def show(self, file: TextIO | None = None) -> None:
        """Print the error message to a terminal, by default standard error."""
        print(f'error: {self.message}', file=file or sys.stderr)


class SettingsError(OleanderError):
    """Raised with all faults found in settings or in a document."""

    exit_code = 2

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__(ErrorKind.BAD_REQUEST, '\n'.join(faults))
        self.faults = faults


# What calls of peers raise: their own errors, and those of connections. All
# other errors are faults of this program.
PEER_FAILURES = (OleanderError, OSError)


def list_causes(
    group: BaseExceptionGroup[Exception],
) -> Iterator[Exception]:
    """Yield the errors of a group and of all groups within it."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from list_causes(error)
        else:
            yield error


def find_reason(error: Exception) -> str:
    """Return the kind of an error, or the name of its type."""
    if isinstance(error, OleanderError):
        return error.kind.value
    return type(error).__name__


def describe_error(error: Exception) -> str:
    """Return the message of an error, if it can't contain request data."""
    if isinstance(error, PEER_FAILURES):
        return str(error)
    return find_position(error)


def find_position(error: BaseException) -> str:
    """Return the file and line where an exception was raised."""
    place = error.__traceback__
    while place is not None and place.tb_next is not None:
        place = place.tb_next
    if place is None:
        return ''
    code = place.tb_frame.f_code
    return f'{Path(code.co_filename).name}:{place.tb_lineno}'
