"""Say how an attempt failed, and whether it may have run."""

from __future__ import annotations

from dataclasses import replace

from oleanderdyke.agent.run import Run
from oleanderdyke.clients.http import HttpError
from oleanderdyke.errors import ErrorKind, OleanderError, Ran
from oleanderdyke.kernel.stream_buffer import Reader
from oleanderdyke.links.messages import Failed

_UNAVAILABLE = 503


def check_not_replaced(status: int, *, ended: bool) -> None:
    """Raise HttpError for the refusal of a process that replaced an ended one.

    The run was meant for the ended one, whose weights it doesn't have yet.
    """
    if ended and status == _UNAVAILABLE:
        raise HttpError('the backend server was replaced', ran=Ran.MAYBE)


def classify_ran(run: Run, error: OleanderError) -> Ran:
    """Return whether a failed run may have had an effect."""
    if not run.forwarded:
        return Ran.NO
    if isinstance(error, HttpError) and not run.started:
        return error.ran
    return Ran.MAYBE


def may_have_run(run: Run, error: OleanderError) -> bool:
    """Return whether a run that broke off may have had an effect."""
    return not run.stopped and classify_ran(run, error) is Ran.MAYBE


def make_broken_answer_error() -> OleanderError:
    """Build the error of a run that a living server broke off."""
    return OleanderError(
        ErrorKind.BACKEND_FAILED, 'the backend server broke off its answer'
    )


def make_deadline_error(run: Run) -> OleanderError:
    """Build the error of a run that took too long."""
    return OleanderError(
        ErrorKind.DEADLINE, f'no answer within {run.dispatch.deadline:.0f} ms'
    )


def address_to_reader(failed: Failed, reader: Reader) -> Failed:
    """Address a failure to the reader of a stream."""
    return replace(failed, request=reader.request, attempt=reader.attempt)


def make_unread_failure(reader: Reader) -> Failed:
    """Build the failure of a stream that nobody takes."""
    return Failed(
        reader.request,
        reader.attempt,
        ErrorKind.STREAM_BROKEN,
        Ran.MAYBE,
        'nothing was taken from the stream for too long',
    )
