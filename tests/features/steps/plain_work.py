"""A plain request as it is sent to a gate, to be adapted by tests."""

from laburnumwood.clock import Clock
from laburnumwood.protocol.messages import Work
from laburnumwood.routing.caller_request import (
    UNLIMITED_ATTEMPTS,
    CallerRequest,
)

PLAIN_WORK = Work(
    request_id='r',
    service='s',
    shard=0,
    key='k',
    method='GET',
    target='/',
    headers=(),
    body_length=0,
    deadline_ms=2_000,
    idempotent=False,
    idempotency_key='',
)


def caller_request(
    work: Work, clock: Clock, attempts: int = UNLIMITED_ATTEMPTS
) -> CallerRequest:
    """Return a request without a body that arrives now."""
    until_ms = clock.now_ms() + work.deadline_ms
    return CallerRequest(work, b'', until_ms, attempts)
