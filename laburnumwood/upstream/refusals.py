"""Answers that say that the worker did not run a request."""

import json

from laburnumwood.upstream.pool import WorkerAnswer

# The worker has seen a newer token or has no grant.
FENCED = 'fenced'
_REFUSALS = {409: frozenset((FENCED,)), 503: frozenset(('busy', 'draining'))}
_MAX_REFUSAL_BYTES = 1_024  # length of the body


def may_be_refusal(answer: WorkerAnswer) -> bool:
    """Return whether an answer may be a refusal, which its body decides."""
    length = answer.body_length
    is_short = length is not None and length <= _MAX_REFUSAL_BYTES
    return is_short and answer.status in _REFUSALS


def parse_refusal(answer: WorkerAnswer, body: bytes) -> str | None:
    """Return the reason of a refusal, None if the request may have run."""
    try:
        content = json.loads(body)
    except ValueError:
        return None
    error = content.get('error') if isinstance(content, dict) else None
    return error if error in _REFUSALS[answer.status] else None
