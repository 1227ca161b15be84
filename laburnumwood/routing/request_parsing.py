"""Parsing of a caller's request from its WSGI environment."""

import re
from typing import Any
from urllib.parse import parse_qs
from uuid import uuid4

from eventlet import Timeout
from eventlet.wsgi import ChunkReadError

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.config.declarations import KeySource, Service
from laburnumwood.errors import BodyMemoryError, LaburnumwoodError
from laburnumwood.placement.sharding import initial_shard
from laburnumwood.protocol.messages import Work
from laburnumwood.resources.bodies import Body, BodyBuffer
from laburnumwood.resources.body_memory import (
    BODY_MEMORY,
    BodyMemory,
    BodyReservation,
    evict_current_task,
)
from laburnumwood.resources.connections import CallerConnection
from laburnumwood.routing.caller_protocol import CONNECTION_KEY, TIME_KEY
from laburnumwood.routing.caller_request import CallerRequest
from laburnumwood.routing.headers import forwarded_headers, header_values
from laburnumwood.routing.problems import make_failure

Environ = dict[str, Any]

REQUEST_HEADER = 'Laburnumwood-Request'
IDEMPOTENCY_HEADER = 'Idempotency-Key'
_DEADLINE_HEADER = 'Laburnumwood-Deadline-Ms'
_MAX_IDENTIFIER_LENGTH = 256  # characters of a request id or key
_DEFAULT_DEADLINE_MS = 10_000
_READ_SIZE = 16_384  # bytes
_RESERVATION_KEY = 'laburnumwood.body'  # of the WSGI environment
_INTEGER = re.compile('-?[0-9]{1,12}')
_METHOD = re.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_PRINTABLE = re.compile(r'[^\x00-\x1f\x7f]+')


class RequestRefusedError(LaburnumwoodError):
    """A request that is refused before it is sent to a node."""

    def __init__(self, kind: str, detail: str) -> None:
        super().__init__(detail)
        self.failure = make_failure(kind, detail, ran=False)


def _single_header(environ: Environ, name: str) -> str:
    values = set(header_values(environ['headers_raw'], name))
    if len(values) > 1:
        raise RequestRefusedError('bad-request', f'{name} stands twice')
    return values.pop() if values else ''


def _identifier_header(environ: Environ, name: str) -> str:
    text = _single_header(environ, name)
    if text and not _is_identifier(text):
        raise RequestRefusedError('bad-request', f'{name} is not usable')
    return text


def _is_identifier(text: str) -> bool:
    return len(text) <= _MAX_IDENTIFIER_LENGTH and bool(
        _PRINTABLE.fullmatch(text)
    )


def _extract_key(environ: Environ, source: KeySource) -> str:
    if source.source == 'header':
        return _single_header(environ, source.name)
    if source.source == 'query':
        fields = parse_qs(environ.get('QUERY_STRING', ''))
        values = set(fields.get(source.name, ()))
        if len(values) > 1:
            raise RequestRefusedError('bad-request', 'the key stands twice')
        return values.pop() if values else ''
    segments = environ['PATH_INFO'].split('/')[2:]
    position = int(source.name) - 1
    return segments[position] if position < len(segments) else ''


def find_shard_and_key(environ: Environ, service: Service) -> tuple[int, str]:
    """Return the shard number and the key of a request.

    The number is -1 for a service that is not divided by key.  Raises
    `RequestRefusedError` if the key is missing or invalid.
    """
    if service.key is None:
        return -1, ''
    key = _extract_key(environ, service.key)
    if not key:
        where = f'{service.key.source} {service.key.name}'
        raise RequestRefusedError('no-key', f'the key is expected in {where}')
    if not _is_identifier(key):
        raise RequestRefusedError('bad-request', 'the key is not usable')
    try:
        return initial_shard(key, service), key
    except ValueError as error:
        raise RequestRefusedError('bad-request', str(error)) from error


def _target(environ: Environ) -> str:
    # The raw path keeps the caller's own percent-encoding.
    segments = environ['RAW_PATH_INFO'].split('/')[2:]
    path = '/'.join(segments)
    query = environ.get('QUERY_STRING', '')
    return f'/work/{path}?{query}' if query else f'/work/{path}'


def _read_stream(
    environ: Environ, max_bytes: int, reservation: BodyReservation
) -> Body:
    stream = environ['wsgi.input']
    connection: CallerConnection = environ[CONNECTION_KEY]
    connection.begin_wait()
    with BodyBuffer(max_bytes) as buffer, reservation.receiving():
        while part := stream.read_part(_READ_SIZE):
            if reservation.size + len(part) > max_bytes:
                raise _too_large(max_bytes)
            reservation.grow(len(part))
            buffer.append(part)
            connection.begin_wait(reservation.progressed_ms)
        connection.end_wait()
        if connection.is_closed:
            raise ConnectionAbortedError('the connection was closed')
        body = buffer.finish()
    reservation.hold(body)
    return body


def _too_large(max_bytes: int) -> RequestRefusedError:
    return RequestRefusedError('too-large', f'over {max_bytes} bytes')


def _no_memory(error: BodyMemoryError) -> RequestRefusedError:
    kind = 'too-large' if error.never_fits else 'overloaded'
    return RequestRefusedError(kind, str(error))


def release_body(environ: Environ) -> None:
    """Release a request's body, which is needed no longer, and its memory."""
    reservation = environ.pop(_RESERVATION_KEY, None)
    if reservation is not None:
        reservation.release()


def read_body(
    environ: Environ, max_bytes: int, memory: BodyMemory = BODY_MEMORY
) -> Body:
    """Return the whole body of a request; raises `RequestRefusedError`.

    The deadline of the request is set.  The memory for the body is reserved
    until `release_body` is called.
    """
    content_length = environ.get('CONTENT_LENGTH')
    if not content_length and not environ['wsgi.input'].chunked_input:
        return b''
    if content_length and int(content_length) > max_bytes:
        raise _too_large(max_bytes)
    reservation = environ.setdefault(
        _RESERVATION_KEY, memory.reserve(evict=evict_current_task())
    )
    too_late = RequestRefusedError('deadline', 'the body did not come in time')
    left_s = max(0, environ[TIME_KEY].left_ms) / MS_PER_SECOND
    try:
        reservation.expect(int(content_length or 0))
        with Timeout(left_s, too_late):
            body = _read_stream(environ, max_bytes, reservation)
    except BodyMemoryError as error:
        raise _no_memory(error) from error
    except (ChunkReadError, OSError) as error:
        raise RequestRefusedError('bad-request', f'body: {error}') from error
    if content_length and len(body) != int(content_length):
        raise RequestRefusedError('bad-request', 'the body is too short')
    environ[TIME_KEY].mark_read()
    return body


def read_time_left_ms(
    environ: Environ, default_ms: int = _DEFAULT_DEADLINE_MS
) -> int:
    """Return the time until the caller's deadline in ms, or a default.

    Raises `RequestRefusedError` if it is invalid or has passed.
    """
    text = _single_header(environ, _DEADLINE_HEADER) or str(default_ms)
    if not _INTEGER.fullmatch(text):
        raise RequestRefusedError('bad-request', f'deadline of {text!r} ms')
    if int(text) <= 0:
        raise RequestRefusedError('deadline', 'it had passed on arrival')
    return int(text)


def read_request_id(environ: Environ) -> str:
    """Return the request id given by the caller, or a new one."""
    text = ''.join(header_values(environ['headers_raw'], REQUEST_HEADER)[:1])
    return text if text and _is_identifier(text) else uuid4().hex


def validate_head(environ: Environ) -> None:
    """Raise `RequestRefusedError` for an invalid method or header."""
    method = environ['REQUEST_METHOD']
    if not _METHOD.fullmatch(method) or method == 'CONNECT':
        raise RequestRefusedError('bad-request', f'method {method!r}')
    for name, text in environ['headers_raw']:
        if '\n' in text or '\r' in text:
            raise RequestRefusedError('bad-request', f'{name} spans lines')


def _service_name(environ: Environ) -> str:
    return ''.join(environ['RAW_PATH_INFO'].split('/', 2)[1:2])


def read_request(
    environ: Environ, services: dict[str, Service], request_id: str
) -> CallerRequest:
    """Return a caller's request with its whole body.

    Raises `RequestRefusedError` for a request that can't be forwarded.
    """
    name = _service_name(environ)
    service = services.get(name)
    if service is None:
        raise RequestRefusedError('unknown-service', f'no service {name!r}')
    validate_head(environ)
    shard, key = find_shard_and_key(environ, service)
    deadline_ms = min(
        read_time_left_ms(environ, service.deadline_ms), service.deadline_ms
    )
    idempotency_key = _identifier_header(environ, IDEMPOTENCY_HEADER)
    until_ms = environ[TIME_KEY].limit(deadline_ms)
    body = read_body(environ, service.longest_body)
    work = Work(
        request_id=request_id,
        service=name,
        shard=shard,
        key=key,
        method=environ['REQUEST_METHOD'],
        target=_target(environ),
        headers=forwarded_headers(environ['headers_raw']),
        body_length=len(body),
        deadline_ms=deadline_ms,
        idempotent=environ['REQUEST_METHOD'] in service.idempotent_methods,
        idempotency_key=idempotency_key,
    )
    return CallerRequest(work, body, until_ms)
