"""Send a request and read its whole answer, within a time and a size."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol, TypeVar

import anyio

from oleanderdyke.clients.http import HttpAnswer, HttpError
from oleanderdyke.clock import SECOND, Millis
from oleanderdyke.errors import Ran
from oleanderdyke.links.messages import Headers

BodyT_contra = TypeVar('BodyT_contra', contravariant=True)
BodyT = TypeVar('BodyT')


class Requester(Protocol[BodyT_contra]):
    """Send requests to one server."""

    def request(
        self, method: str, path: str, *, headers: Headers, body: BodyT_contra
    ) -> AbstractAsyncContextManager[HttpAnswer]:
        """Send and give the answer; raise HttpError."""


@dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """An answer whose body has been read."""

    status: int
    headers: Headers
    body: bytes


async def fetch_body(
    client: Requester[BodyT],
    method: str,
    path: str,
    *,
    headers: Headers = (),
    body: BodyT,
    within: Millis,
    limit: int,
) -> tuple[int, bytes]:
    """Return the status and the body, of `limit` bytes at most.

    Raise HttpError, also where that takes longer than `within`.
    """
    found = await fetch_answer(
        client,
        method,
        path,
        headers=headers,
        body=body,
        within=within,
        limit=limit,
    )
    return found.status, found.body


async def fetch_answer(
    client: Requester[BodyT],
    method: str,
    path: str,
    *,
    headers: Headers = (),
    body: BodyT,
    within: Millis,
    limit: int,
) -> BufferedAnswer:
    """Return the whole answer, its body of `limit` bytes at most.

    Raise HttpError, also where that takes longer than `within`.
    """
    try:
        with anyio.fail_after(within / SECOND):
            async with client.request(
                method, path, headers=headers, body=body
            ) as answer:
                found = await answer.read(limit)
                return BufferedAnswer(answer.status, answer.headers, found)
    except TimeoutError as error:
        raise HttpError('no answer in time', ran=Ran.MAYBE) from error
