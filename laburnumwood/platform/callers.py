"""What the platform's requesters send, and how they are answered."""

from http import HTTPStatus
from random import Random

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.config.declarations import Declarations, Route
from laburnumwood.header_index import HeaderIndex
from laburnumwood.platform.headers import ID_HEADER, TIME_LEFT_HEADER
from laburnumwood.protocol.messages import Answer, Failure, Work
from laburnumwood.routing.caller_interface import HeaderList, Refusal
from laburnumwood.routing.caller_protocol import HEADERS
from laburnumwood.routing.caller_request import Inquiry
from laburnumwood.routing.headers import end_to_end, request_headers
from laburnumwood.routing.problems import PROBLEMS, status_line
from laburnumwood.routing.request_parsing import (
    Environ,
    RequestRefusedError,
    check_head,
    place_request,
    read_body,
)
from laburnumwood.routing.routes import RouteTable, choose_service
from laburnumwood.settings import DaemonSettings

_NO_LIMIT_MS = 3_600_000
_HOST = 'Host'
# What the requester itself got wrong; all else that did not run is a 503.
_REQUESTERS_FAULT = frozenset(
    (
        'unknown-service',
        'no-key',
        'bad-request',
        'too-large',
        'headers-too-large',
        'target-too-long',
    )
)


def _first(environ: Environ, name: str) -> str:
    index: HeaderIndex = environ[HEADERS]
    return index.first(name.lower())


def _target(environ: Environ) -> str:
    # The raw path keeps the requester's own percent-encoding.
    query = environ.get('QUERY_STRING', '')
    path = environ['RAW_PATH_INFO']
    return f'{path}?{query}' if query else path


def _headers(environ: Environ) -> tuple[tuple[str, str], ...]:
    headers = request_headers(environ['headers_raw'])
    return ((_HOST, _first(environ, _HOST)), *headers)


def _status(told: Failure) -> HTTPStatus:
    if not told.ran:
        if told.kind in _REQUESTERS_FAULT:
            return PROBLEMS[told.kind].status
        return HTTPStatus.SERVICE_UNAVAILABLE
    if told.kind == 'deadline':
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


class PlatformCallerInterface:
    """The platform's requests and answers.

    The statuses 429 and 503 promise that a request has not run; 502 and 504
    promise nothing.
    """

    def __init__(self, settings: DaemonSettings, random: Random) -> None:
        self._origin = settings.service
        self._random = random
        self._declared = Declarations()
        self._routes = RouteTable(self._declared)

    def request_id(self, environ: Environ) -> str:
        """Return the id of a request, empty if it has none."""
        return _first(environ, ID_HEADER)

    def read(
        self, environ: Environ, declared: Declarations, request_id: str
    ) -> Inquiry:
        """Return a request; raises `RequestRefusedError`."""
        if not declared.routes:
            raise RequestRefusedError('not-ready', 'no configuration is known')
        route = self._route(environ, declared)
        check_head(environ)
        name = choose_service(route, self._random)
        service = declared.services[name]
        deadline_ms = min(_time_left_ms(environ), route.timeout_ms)
        body = read_body(environ, service.longest_body, deadline_ms)
        shard, key = place_request(environ, service)
        work = Work(
            request_id=request_id,
            service=name,
            shard=shard,
            key=key,
            method=environ['REQUEST_METHOD'],
            target=_target(environ),
            headers=_headers(environ),
            body_length=len(body),
            deadline_ms=deadline_ms,
            idempotent=route.idempotent,
            idempotency_key='',
            origin=self._origin,
            priority=route.priority,
            objective_ms=route.objective_ms,
        )
        return Inquiry(work, body, route.attempts)

    def refusal(self, told: Failure, request_id: str) -> Refusal:
        """Return the answer that says why a request has none."""
        status = _status(told)
        content = f'{told.kind}: {told.detail}\n'.encode()
        headers = [
            ('Content-Type', 'text/plain'),
            ('Content-Length', str(len(content))),
            (ID_HEADER, request_id),
        ]
        if status is HTTPStatus.SERVICE_UNAVAILABLE and told.retry_after_ms:
            after_s = told.retry_after_ms / MS_PER_SECOND
            headers.append(('Retry-After', f'{after_s:.3f}'))
        return Refusal(status_line(status), headers, content)

    def answer_headers(self, head: Answer, _request_id: str) -> HeaderList:
        """Return the headers of a worker's answer, unchanged."""
        return list(end_to_end(head.headers))

    def _route(self, environ: Environ, declared: Declarations) -> Route:
        path = environ['RAW_PATH_INFO']
        host = _first(environ, _HOST)
        route = self._table(declared).find(host, path)
        if route is None:
            raise RequestRefusedError('unknown-service', f'{host}{path}')
        return route

    def _table(self, declared: Declarations) -> RouteTable:
        if declared is not self._declared:
            self._declared = declared
            self._routes = RouteTable(declared)
        return self._routes


def _time_left_ms(environ: Environ) -> int:
    given = _first(environ, TIME_LEFT_HEADER)
    try:
        left_ms = int(float(given)) if given else _NO_LIMIT_MS
    except ValueError as unreadable:
        raise RequestRefusedError(
            'bad-request', f'{TIME_LEFT_HEADER} {given!r} is no number'
        ) from unreadable
    if left_ms <= 0:
        raise RequestRefusedError('deadline', 'it had passed on arrival')
    return left_ms
