"""Notification of waiting tasks that something has changed."""

from eventlet import Timeout
from eventlet.event import Event

from laburnumwood.clock import MS_PER_SECOND


class Notifier:
    """Wakes all tasks that wait for the next change."""

    def __init__(self) -> None:
        self._next: Event | None = None

    def notify_all(self) -> None:
        """Wake the tasks that are waiting now."""
        notified, self._next = self._next, None
        if notified is not None:
            notified.send(None)

    def wait(self, limit_ms: float) -> None:
        """Wait until the next change, but no longer than `limit_ms`."""
        if self._next is None:
            self._next = Event()
        awaited = self._next
        with Timeout(max(limit_ms, 0) / MS_PER_SECOND, exception=False):
            awaited.wait()
