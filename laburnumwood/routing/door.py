"""The door: where callers' HTTP requests come in."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any
from urllib.parse import parse_qs
from uuid import uuid4

from laburnumwood.config.declarations import KeySource, Service
from laburnumwood.errors import LinkError
from laburnumwood.placement.sharding import shard_of
from laburnumwood.protocol.messages import Answer, Failure, Work
from laburnumwood.routing.outcome import (
    PROBLEMS,
    failure,
    problem_body,
    problem_headers,
    status_line,
)
from laburnumwood.routing.router import Router

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Services = Callable[[], dict[str, Service]]

REQUEST_HEADER = 'Laburnumwood-Request'
_DEADLINE_FIELD = 'HTTP_LABURNUMWOOD_DEADLINE_MS'
_HOP_BY_HOP = frozenset(('connection', 'transfer-encoding', 'keep-alive'))


class _RefusedError(Exception):
    """A request that is answered without being sent on."""

    def __init__(self, kind: str, detail: str) -> None:
        super().__init__(detail)
        self.told = failure(kind, detail, ran=False)


def _key_of(environ: Environ, source: KeySource) -> str | None:
    if source.source == 'header':
        field = source.name.upper().replace('-', '_')
        return environ.get(f'HTTP_{field}')
    if source.source == 'query':
        found = parse_qs(environ.get('QUERY_STRING', '')).get(source.name)
        return found[0] if found else None
    segments = environ['PATH_INFO'].split('/')[2:]
    place = int(source.name) - 1
    return segments[place] if place < len(segments) else None


def _headers(environ: Environ) -> tuple[tuple[str, str], ...]:
    named = (
        (field.removeprefix('HTTP_').replace('_', '-').title(), text)
        for field, text in environ.items()
        if field.startswith('HTTP_')
    )
    content = environ.get('CONTENT_TYPE')
    kind = (('Content-Type', content),) if content else ()
    return (*named, *kind)


def _target(environ: Environ, service: str) -> str:
    path = environ['PATH_INFO'].removeprefix(f'/{service}') or '/'
    query = environ.get('QUERY_STRING', '')
    return f'/work{path}?{query}' if query else f'/work{path}'


def _read_body(environ: Environ, longest: int) -> bytes:
    declared = environ.get('CONTENT_LENGTH') or '0'
    if not declared.isdecimal():
        raise _RefusedError('bad-request', f'length {declared!r} is no number')
    if int(declared) > longest:
        raise _RefusedError('too-large', f'at most {longest} bytes are taken')
    body = environ['wsgi.input'].read(int(declared)) if int(declared) else b''
    if len(body) != int(declared):
        raise _RefusedError('bad-request', 'the body is shorter than declared')
    return body


def _deadline_ms(environ: Environ, service: Service) -> int:
    given = environ.get(_DEADLINE_FIELD, str(service.deadline_ms))
    if not given.isdecimal() or not int(given):
        raise _RefusedError('bad-request', f'deadline of {given!r} ms')
    return min(int(given), service.deadline_ms)


class Door:
    """A WSGI application that routes every request to its owner.

    The first segment of the path names the service.
    """

    def __init__(self, router: Router, services: Services) -> None:
        self._router = router
        self._services = services

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        request_id = environ.get('HTTP_LABURNUMWOOD_REQUEST') or uuid4().hex
        try:
            work, body = self._read(environ, request_id)
        except _RefusedError as refusal:
            return _refuse(refusal.told, request_id, start_response)
        head, exchange = self._router.send(work, body)
        if isinstance(head, Failure) or exchange is None:
            assert isinstance(head, Failure)
            return _refuse(head, request_id, start_response)
        start_response(status_line(head.status), _answer_headers(head, work))
        return self._stream(self._router.body(exchange, work.deadline_ms))

    def _read(self, environ: Environ, request_id: str) -> tuple[Work, bytes]:
        name = environ['PATH_INFO'].split('/')[1]
        service = self._services().get(name)
        if service is None:
            raise _RefusedError('unknown-service', f'no service {name!r}')
        shard, key = -1, ''
        if service.key is not None:
            key = _key_of(environ, service.key) or ''
            if not key:
                where = f'{service.key.source} {service.key.name}'
                raise _RefusedError('no-key', f'the key is expected in {where}')
            shard = shard_of(key, service.shards)
        body = _read_body(environ, service.longest_body)
        return Work(
            request_id=request_id,
            service=name,
            shard=shard,
            key=key,
            method=environ['REQUEST_METHOD'],
            target=_target(environ, name),
            headers=_headers(environ),
            body_length=len(body),
            deadline_ms=_deadline_ms(environ, service),
        ), body

    def _stream(self, parts: Iterator[bytes]) -> Iterator[bytes]:
        try:
            yield from parts
        except LinkError as cut:
            # The server closes the connection on an error in mid-body, so
            # that the caller never takes a part for the whole.
            raise ConnectionAbortedError(str(cut)) from cut


def _answer_headers(head: Answer, work: Work) -> list[tuple[str, str]]:
    kept = [
        (name, text)
        for name, text in head.headers
        if name.lower() not in _HOP_BY_HOP
    ]
    return [*kept, (REQUEST_HEADER, work.request_id)]


def _refuse(
    told: Failure, request_id: str, start_response: StartResponse
) -> Iterable[bytes]:
    content = problem_body(told, request_id)
    status = PROBLEMS[told.kind].status
    start_response(status_line(status), problem_headers(told, len(content)))
    return (content,)
