"""HTTP client for the administration of entries, with failover."""

from __future__ import annotations

import json
import secrets
import ssl
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode, urlsplit

import httpcore

from oleanderdyke.errors import ErrorKind, OleanderError, Ran

_TIMEOUTS = {'connect': 3.0, 'read': 40.0, 'write': 10.0, 'pool': 3.0}
_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)
_OUTCOME_WAIT_MS = '10000'
_RECORD_ID_BYTES = 16
_OK_STATUSES = (200, 202)
_SCHEMES = ('http', 'https')
_FAILOVER_KINDS = (
    ErrorKind.NOT_READY,
    ErrorKind.STOPPING,
    ErrorKind.LOG_UNAVAILABLE,
    ErrorKind.BACKEND_LOST,
)


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold the status and the JSON document of an entry's answer."""

    status: int
    document: Any


def make_path(*parts: str, **parameters: str | int) -> str:
    """Return an administration path with quoted parts and parameters.

    Empty parameters are omitted.
    """
    path = '/admin/v1/' + '/'.join(quote(part, safe='') for part in parts)
    query = urlencode(
        {key: value for key, value in parameters.items() if value != ''}
    )
    return f'{path}?{query}' if query else path


class Client:
    """Call the administration of several entries.

    Calls fail over to the next entry if that is safe.
    """

    def __init__(
        self,
        entries: Sequence[str],
        token: str,
        *,
        authorities: str | None = None,
    ) -> None:
        self.entries = tuple(map(_read_url, entries))
        self._token = token
        tls = ssl.create_default_context(cafile=authorities or None)
        self._pool = httpcore.ConnectionPool(ssl_context=tls)

    def close(self) -> None:
        """Close every connection."""
        self._pool.close()

    def get(self, path: str) -> Any:
        """Return a document from the first entry that answers."""
        return self._try_entries('GET', path).document

    def get_from(self, entry: str, path: str) -> Any:
        """Return a document from one entry."""
        return _check(self._send(entry, 'GET', path)).document

    def post(self, path: str) -> Any:
        """Send an idempotent call without a body and return its document."""
        return self._try_entries('POST', path).document

    def publish(self, changes: Sequence[Mapping[str, Any]]) -> list[Any]:
        """Publish changes and return their outcomes in order.

        Each change gets a record id here. If the answer is lost, the outcome is
        read by that id from any entry, without publishing again.
        """
        named = [
            {**change, 'record_id': secrets.token_hex(_RECORD_ID_BYTES)}
            for change in changes
        ]
        body = json.dumps({'changes': named}).encode()
        try:
            reply = self._try_entries(
                'POST', make_path('changes'), body, accept_conflict=True
            )
        except OleanderError as error:
            if error.ran is Ran.NO:
                raise
            return [
                self._read_outcome(str(item['record_id'])) for item in named
            ]
        outcomes: list[Any] = reply.document['outcomes']
        return outcomes

    def _read_outcome(self, record_id: str) -> Any:
        path = make_path('outcomes', record_id, wait=_OUTCOME_WAIT_MS)
        try:
            return self.get(path)
        except OleanderError as error:
            raise OleanderError(
                ErrorKind.OUTCOME_UNKNOWN,
                f'record {record_id} may or may not have been accepted; '
                'check the objects before trying again',
            ) from error

    def _try_entries(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        accept_conflict: bool = False,
    ) -> Reply:
        errors: list[OleanderError] = []
        for entry in self.entries:
            try:
                reply = self._send(entry, method, path, body)
                return _check(reply, accept_conflict=accept_conflict)
            except OleanderError as error:
                if not _can_fail_over(error, repeatable=not body):
                    raise
                errors.append(error)
        raise errors[-1]

    def _send(
        self, entry: str, method: str, path: str, body: bytes = b''
    ) -> Reply:
        headers = [('authorization', f'Bearer {self._token}')]
        if body:
            headers.append(('content-type', 'application/json'))
        try:
            response = self._pool.request(
                method,
                entry + path,
                headers=headers,
                content=body,
                extensions={'timeout': _TIMEOUTS},
            )
        except _CONNECT_ERRORS as error:
            raise _make_unreachable(entry, Ran.NO) from error
        except _FAILURES as error:
            raise _make_unreachable(entry, Ran.MAYBE) from error
        return Reply(response.status, _parse(entry, response.content))


def _read_url(text: str) -> str:
    url = text if '://' in text else f'http://{text}'
    parts = urlsplit(url)
    if parts.scheme not in _SCHEMES or not parts.netloc:
        fault = f'--entry: found {text!r}; allowed: http://HOST:PORT'
        raise OleanderError(ErrorKind.BAD_REQUEST, fault)
    return f'{parts.scheme}://{parts.netloc}'


def _make_unreachable(entry: str, ran: Ran) -> OleanderError:
    fault = f'{entry}: unreachable, or the connection failed'
    return OleanderError(ErrorKind.BACKEND_LOST, fault, ran=ran)


def _can_fail_over(error: OleanderError, *, repeatable: bool) -> bool:
    if error.kind not in _FAILOVER_KINDS:
        return False
    return repeatable or error.ran is Ran.NO


def _parse(entry: str, content: bytes) -> Any:
    try:
        document = json.loads(content)
    except ValueError as error:
        raise _make_protocol_error(entry) from error
    if not isinstance(document, dict):
        raise _make_protocol_error(entry)
    return document


def _make_protocol_error(entry: str) -> OleanderError:
    fault = f'{entry}: the answer is no JSON object of an entry'
    return OleanderError(ErrorKind.PROTOCOL, fault)


def _check(reply: Reply, *, accept_conflict: bool = False) -> Reply:
    if reply.status in _OK_STATUSES:
        return reply
    if accept_conflict and 'outcomes' in reply.document:
        return reply
    raise _read_error(reply)


def _read_error(reply: Reply) -> OleanderError:
    fields = list(_find_error_fields(reply.document))
    if not fields:
        fault = f'found status {reply.status} without an error document'
        return OleanderError(ErrorKind.PROTOCOL, fault)
    kind, message, ran = fields
    try:
        return OleanderError(ErrorKind(kind), message, ran=Ran(ran))
    except ValueError:
        return OleanderError(ErrorKind.INTERNAL, message)


def _find_error_fields(document: Any) -> Iterator[str]:
    error = document.get('error')
    if isinstance(error, dict):
        for name in ('kind', 'message', 'ran'):
            yield str(error.get(name, ''))
