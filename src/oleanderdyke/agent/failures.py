"""Errors of attempts, and whether a failed attempt may have run."""

from __future__ import annotations

from dataclasses import replace

from oleanderdyke.agent.run import Run
from oleanderdyke.clients.http import HttpError
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.stream_buffer import Reader
from oleanderdyke.links.messages import Failed

_UNAVAILABLE = 503


def check_not_replaced(status: int, *, ended: bool) -> None:
    """Raise HttpError for a 503 response after the server process has ended.

    The response is then from a new process, which refuses the run because it
    has not loaded the weights yet that the earlier process had.
    """
    if ended and status == _UNAVAILABLE:
        raise HttpError(
            'the backend server process was replaced', ran=Ran.MAYBE
        )


def classify_ran(run: Run, error: OleanderError) -> Ran:
    """Return whether a failed run may have reached the backend server."""
    if not run.forwarded:
        return Ran.NO
    if isinstance(error, HttpError) and not run.started:
        return error.ran
    return Ran.MAYBE


def may_have_run(run: Run, error: OleanderError) -> bool:
    """Return whether an interrupted run may have had an effect."""
    return not run.stopped and classify_ran(run, error) is Ran.MAYBE


def make_broken_answer_error() -> OleanderError:
    """Build the error for an incomplete response of a server still alive."""
    return OleanderError(
        ErrorKind.BACKEND_FAILED,
        'the backend server broke off its response',
    )


def make_deadline_error(run: Run) -> OleanderError:
    """Build the error for a run that exceeded its deadline."""
    return OleanderError(
        ErrorKind.DEADLINE, f'no answer within {run.dispatch.deadline:.0f} ms'
    )


def address_to_reader(failed: Failed, reader: Reader) -> Failed:
    """Return a failure with the request and attempt of a stream's reader."""
    return replace(failed, request=reader.request, attempt=reader.attempt)


def make_unread_failure(reader: Reader) -> Failed:
    """Build the failure for a stream whose reader gave no credit in time."""
    return Failed(
        reader.request,
        reader.attempt,
        ErrorKind.STREAM_BROKEN,
        Ran.MAYBE,
        'no reader consumed the stream within its time limit',
    )
