"""Requests of the platform's callers, and the answers to them."""

from http import HTTPStatus
from math import isnan, nan
from random import Random

from laburnumwood.admission.policies import LEAST_COST
from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.config.declarations import Declarations, Route
from laburnumwood.header_index import HeaderIndex
from laburnumwood.platform.headers import ID_HEADER, TIME_LEFT_HEADER
from laburnumwood.protocol.messages import Answer, Failure, Work
from laburnumwood.routing.caller_interface import HeaderList, ProblemAnswer
from laburnumwood.routing.caller_protocol import (
    HEADERS_KEY,
    TARGET_KEY,
    TIME_KEY,
)
from laburnumwood.routing.caller_request import CallerRequest
from laburnumwood.routing.destination import choose_destination
from laburnumwood.routing.headers import end_to_end_headers, forwarded_headers
from laburnumwood.routing.problems import PROBLEMS, status_line
from laburnumwood.routing.request_parsing import (
    Environ,
    RequestRefusedError,
    read_body,
    validate_head,
)
from laburnumwood.routing.routes import RouteTable, route_name
from laburnumwood.settings import DaemonSettings

_DEFAULT_DEADLINE_MS = 3_600_000
_HOST = 'Host'
# Errors of the caller itself.  Any other request that did not run is answered
# with 503.
_CALLER_ERRORS = frozenset(
    (
        'unknown-service',
        'no-key',
        'bad-request',
        'too-large',
        'headers-too-large',
        'target-too-long',
    )
)


def _first_header(environ: Environ, name: str) -> str:
    index: HeaderIndex = environ[HEADERS_KEY]
    return index.first(name.lower())


def _headers(environ: Environ) -> tuple[tuple[str, str], ...]:
    headers = forwarded_headers(environ['headers_raw'])
    return ((_HOST, _first_header(environ, _HOST)), *headers)


def _status(failure: Failure) -> HTTPStatus:
    if not failure.ran:
        if failure.kind in _CALLER_ERRORS:
            return PROBLEMS[failure.kind].status
        return HTTPStatus.SERVICE_UNAVAILABLE
    if failure.kind == 'deadline':
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


class PlatformCallerInterface:
    """Reads requests of the platform's callers and builds their answers.

    Statuses 429 and 503 guarantee that a request has not run; 502 and 504
    guarantee nothing.
    """

    def __init__(self, settings: DaemonSettings, random: Random) -> None:
        self._origin = settings.service
        self._host = settings.host
        admission = settings.admission
        self._tells_calls = (
            admission.calls_from_host and admission.policy == LEAST_COST
        )
        self._random = random
        self._declarations = Declarations()
        self._routes = RouteTable(self._declarations)

    def request_id(self, environ: Environ) -> str:
        """Return the id of a request, '' if it has none."""
        return _first_header(environ, ID_HEADER)

    def time_left_ms(self, environ: Environ) -> int:
        """Return for how long a caller waits; raises `RequestRefusedError`."""
        return _time_left_ms(environ)

    def read_request(
        self, environ: Environ, declarations: Declarations, request_id: str
    ) -> CallerRequest:
        """Return the parsed request; raises `RequestRefusedError`."""
        if not declarations.routes:
            raise RequestRefusedError('not-ready', 'no configuration is known')
        route = self._route(environ, declarations)
        validate_head(environ)
        destination = choose_destination(
            route, declarations.services, environ, self._random
        )
        service = declarations.services[destination.service]
        caller_left_ms = _time_left_ms(environ)
        deadline_ms = min(caller_left_ms, route.timeout_ms)
        until_ms = environ[TIME_KEY].limit(deadline_ms)
        body = read_body(environ, service.longest_body)
        work = Work(
            request_id=request_id,
            service=destination.service,
            shard=destination.shard,
            key=destination.key,
            method=environ['REQUEST_METHOD'],
            target=environ[TARGET_KEY],
            headers=_headers(environ),
            body_length=len(body),
            deadline_ms=deadline_ms,
            idempotent=route.idempotent,
            idempotency_key='',
            origin=self._origin,
            priority=route.priority,
            objective_ms=0 if self._is_call(environ) else route.objective_ms,
        )
        return CallerRequest(
            work,
            body,
            until_ms,
            route.attempts,
            route_name(route),
            caller_left_ms,
        )

    def problem_answer(
        self, failure: Failure, request_id: str
    ) -> ProblemAnswer:
        """Return the answer for a request that failed."""
        status = _status(failure)
        content = f'{failure.kind}: {failure.detail}\n'.encode()
        headers = [
            ('Content-Type', 'text/plain'),
            ('Content-Length', str(len(content))),
            (ID_HEADER, request_id),
        ]
        if status is HTTPStatus.SERVICE_UNAVAILABLE and failure.retry_after_ms:
            after_s = failure.retry_after_ms / MS_PER_SECOND
            headers.append(('Retry-After', f'{after_s:.3f}'))
        return ProblemAnswer(status_line(status), headers, content)

    def answer_headers(self, head: Answer, _request_id: str) -> HeaderList:
        """Return the end-to-end headers of a worker's answer, unchanged."""
        return list(end_to_end_headers(head.headers))

    def _is_call(self, environ: Environ) -> bool:
        """Return whether the worker of this host makes the request."""
        return self._tells_calls and environ['REMOTE_ADDR'] == self._host

    def _route(self, environ: Environ, declarations: Declarations) -> Route:
        path = environ['RAW_PATH_INFO']
        host = _first_header(environ, _HOST)
        route = self._route_table(declarations).find(host, path)
        if route is None:
            raise RequestRefusedError('unknown-service', f'{host}{path}')
        return route

    def _route_table(self, declarations: Declarations) -> RouteTable:
        if declarations is not self._declarations:
            self._declarations = declarations
            self._routes = RouteTable(declarations)
        return self._routes


def _time_left_ms(environ: Environ) -> int:
    raw_time_left = _first_header(environ, TIME_LEFT_HEADER)
    try:
        left_ms = float(raw_time_left or _DEFAULT_DEADLINE_MS)
    except ValueError:
        left_ms = nan
    if isnan(left_ms):
        raise RequestRefusedError(
            'bad-request', f'{TIME_LEFT_HEADER} {raw_time_left!r} is no number'
        )
    if left_ms < 1:
        raise RequestRefusedError('deadline', 'it had passed on arrival')
    return int(min(left_ms, _DEFAULT_DEADLINE_MS))
