"""A plain request as it is sent to a gate, to be adapted by tests."""

from laburnumwood.protocol.messages import Work

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
