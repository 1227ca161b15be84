"""Problems that callers are answered with when a request failed."""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import NetworkBusyError, OverloadedError
from laburnumwood.protocol.messages import Failure

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

OUTCOME_HEADER = 'Laburnumwood-Outcome'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
_TYPE_BASE = 'urn:laburnumwood:problem:'


@dataclass(frozen=True, slots=True)
class Problem:
    """A kind of problem: HTTP status, title, and delay before a retry."""

    status: HTTPStatus
    title: str
    retry_after_ms: int = 0


PROBLEMS: dict[str, Problem] = {
    'unknown-service': Problem(HTTPStatus.NOT_FOUND, 'No such service'),
    'config-unconfirmed': Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The latest configuration is not known',
        500,
    ),
    'no-key': Problem(HTTPStatus.BAD_REQUEST, 'The request has no key'),
    'bad-request': Problem(HTTPStatus.BAD_REQUEST, 'The request is malformed'),
    'too-large': Problem(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'The body is too long'
    ),
    'overloaded': Problem(
        HTTPStatus.SERVICE_UNAVAILABLE, 'The owner is overloaded', 1_000
    ),
    'not-owner': Problem(
        HTTPStatus.SERVICE_UNAVAILABLE, 'The node does not own the key', 500
    ),
    'no-owner': Problem(
        HTTPStatus.SERVICE_UNAVAILABLE, 'The key has no owner now', 2_000
    ),
    'worker-unreachable': Problem(
        HTTPStatus.BAD_GATEWAY, 'The worker does not answer', 1_000
    ),
    'worker-cut': Problem(
        HTTPStatus.BAD_GATEWAY, 'The answer of the worker was cut'
    ),
    'link-lost': Problem(HTTPStatus.BAD_GATEWAY, 'The owner was lost'),
    'deadline': Problem(HTTPStatus.GATEWAY_TIMEOUT, 'The deadline has passed'),
    'headers-too-large': Problem(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 'The headers are too large'
    ),
    'head-timeout': Problem(
        HTTPStatus.REQUEST_TIMEOUT, 'The headers did not come in time'
    ),
    'target-too-long': Problem(
        HTTPStatus.REQUEST_URI_TOO_LONG, 'The target is too long'
    ),
    'not-ready': Problem(
        HTTPStatus.SERVICE_UNAVAILABLE, 'The node is not ready', 1_000
    ),
    'refused': Problem(
        HTTPStatus.SERVICE_UNAVAILABLE, 'The worker refused the request', 500
    ),
    'rejected': Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The worker rejected the request though it has free slots',
        500,
    ),
    'still-running': Problem(
        HTTPStatus.CONFLICT, 'The request still runs', 1_000
    ),
    'ran-before': Problem(
        HTTPStatus.CONFLICT, 'The request may have run before'
    ),
    'key-reused': Problem(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'The idempotency key belongs to another request',
    ),
    'past-unknown': Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'The request may have run before a loss',
        60_000,
    ),
    'no-successor': Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'No successor could note the request',
        1_000,
    ),
    'quarantined': Problem(
        HTTPStatus.FORBIDDEN, 'The request crashes workers', 600_000
    ),
    'fault': Problem(HTTPStatus.BAD_GATEWAY, 'The node met a fault'),
    'cancelled': Problem(HTTPStatus.BAD_GATEWAY, 'The request was cancelled'),
}


def make_failure(kind: str, detail: str, *, ran: bool) -> Failure:
    """Return the failure message of a problem kind."""
    return Failure(kind, ran, detail, PROBLEMS[kind].retry_after_ms)


def make_overload_failure(overload: OverloadedError) -> Failure:
    """Return the failure message for a request that was not admitted."""
    detail = 'no slot is free'
    if isinstance(overload, NetworkBusyError):
        detail = 'its answer would wait too long for the network connection'
    if overload.limit_per_second is not None:
        detail = (
            'the worker accepts no more than '
            f'{overload.limit_per_second:g} requests a second'
        )
    return Failure('overloaded', False, detail, overload.retry_after_ms)


def problem_body(failure: Failure, request_id: str) -> bytes:
    """Return the body of a problem+json answer (RFC 9457)."""
    problem = PROBLEMS[failure.kind]
    content = {
        'type': f'{_TYPE_BASE}{failure.kind}',
        'title': problem.title,
        'status': problem.status.value,
        'detail': failure.detail,
        'outcome': UNKNOWN if failure.ran else NOT_RUN,
        'request': request_id,
    }
    return json.dumps(content).encode()


def problem_headers(failure: Failure, length: int) -> list[tuple[str, str]]:
    """Return the headers of a problem+json answer."""
    headers = [
        ('Content-Type', 'application/problem+json'),
        ('Content-Length', str(length)),
        (OUTCOME_HEADER, UNKNOWN if failure.ran else NOT_RUN),
    ]
    if failure.retry_after_ms:
        seconds = -(-failure.retry_after_ms // MS_PER_SECOND)
        headers.append(('Retry-After', str(seconds)))
    return headers


def status_line(status: int) -> str:
    """Return a status code with its reason phrase."""
    try:
        return f'{status} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Unknown'


def answer_with_problem(
    failure: Failure, request_id: str, start_response: StartResponse
) -> Iterable[bytes]:
    """Answer a request with a problem+json answer."""
    content = problem_body(failure, request_id)
    status = PROBLEMS[failure.kind].status
    start_response(status_line(status), problem_headers(failure, len(content)))
    return (content,)
