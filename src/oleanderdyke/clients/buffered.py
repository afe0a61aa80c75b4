"""Requests with buffered answers, limited in time and size."""

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
    """Client of one server that sends requests with bodies of one type."""

    def request(
        self, method: str, path: str, *, headers: Headers, body: BodyT_contra
    ) -> AbstractAsyncContextManager[HttpAnswer]:
        """Send a request and yield its answer; raise HttpError."""


@dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """Hold an answer with its complete body."""

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
    """Send a request and return the status and body of its answer.

    Raise HttpError, also if the body exceeds `limit` bytes or the exchange
    takes longer than `within`.
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
    """Send a request and return its complete answer.

    Raise HttpError, also if the body exceeds `limit` bytes or the exchange
    takes longer than `within`.
    """
    try:
        with anyio.fail_after(within / SECOND):
            async with client.request(
                method, path, headers=headers, body=body
            ) as answer:
                found = await answer.read(limit)
                return BufferedAnswer(answer.status, answer.headers, found)
    except TimeoutError as error:
        raise HttpError(
            f'{method} {path}: no complete answer within {within:g} ms',
            ran=Ran.MAYBE,
        ) from error
