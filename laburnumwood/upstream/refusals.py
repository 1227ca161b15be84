"""Answers by which a worker says that it did not run a request."""

import json

from laburnumwood.upstream.pool import WorkerAnswer

FENCED = 'fenced'  # the worker has seen a newer token or has no grant
_REFUSALS = {409: frozenset((FENCED,)), 503: frozenset(('busy', 'draining'))}
_LONGEST = 1_024  # bytes of a refusal


def may_be_refusal(answer: WorkerAnswer) -> bool:
    """Tell whether the body of an answer has to be read to know."""
    length = answer.body_length
    short = length is not None and length <= _LONGEST
    return short and answer.status in _REFUSALS


def parse_refusal(answer: WorkerAnswer, body: bytes) -> str | None:
    """Return why a worker did not run a request, None if it may have."""
    try:
        content = json.loads(body)
    except ValueError:
        return None
    error = content.get('error') if isinstance(content, dict) else None
    return error if error in _REFUSALS[answer.status] else None
