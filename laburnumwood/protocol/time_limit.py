"""A limit on the time of all that a task waits for at its peers."""

from eventlet import Timeout

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import LinkTimeoutError


def time_limit(left_ms: int, detail: str) -> Timeout:
    """Return a context in which waiting ends after `left_ms`.

    `LinkTimeoutError` is raised then, whatever the task waits for: a lock, a
    connection, or room for what it sends.
    """
    return Timeout(max(0, left_ms) / MS_PER_SECOND, LinkTimeoutError(detail))
