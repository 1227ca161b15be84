"""Waiting for news: tasks that go on when something has changed."""

from eventlet import Timeout
from eventlet.event import Event

from laburnumwood.clock import MS_PER_SECOND


class Notifier:
    """Wakes all tasks that wait for the next change."""

    def __init__(self) -> None:
        self._next: Event | None = None

    def tell(self) -> None:
        """Wake those who wait now."""
        woken, self._next = self._next, None
        if woken is not None:
            woken.send(None)

    def wait(self, limit_ms: float) -> None:
        """Wait for the next change, so long at the most."""
        if self._next is None:
            self._next = Event()
        awaited = self._next
        with Timeout(max(limit_ms, 0) / MS_PER_SECOND, exception=False):
            awaited.wait()
