"""A call whose result many tasks wait for."""

from collections.abc import Callable

import eventlet
from eventlet.event import Event

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.tasks import start


class SharedCall:
    """Makes one call at a time for all tasks that need it.

    The call starts at most once in `interval_ms`.
    """

    def __init__(
        self, call: Callable[[], None], interval_ms: int, clock: Clock
    ) -> None:
        self._call = call
        self._interval_ms = interval_ms
        self._clock = clock
        self._end: Event | None = None
        self._started_ms: int | None = None

    @property
    def is_under_way(self) -> bool:
        """Return whether a call has been started and has not ended."""
        return self._end is not None

    def ensure_started(self) -> None:
        """Start the call unless it is under way or was started just now."""
        now_ms = self._clock.now_ms()
        since_ms = self._started_ms
        is_paced = (
            since_ms is not None and now_ms - since_ms < self._interval_ms
        )
        if self._end is None and not is_paced:
            self._end = Event()
            self._started_ms = now_ms
            start(self._run, self._end)

    def wait(self, timeout_ms: int) -> None:
        """Wait until the call that is under way, if any, has ended."""
        if self._end is not None:
            with eventlet.Timeout(timeout_ms / MS_PER_SECOND, exception=False):
                self._end.wait()

    def _run(self, end: Event) -> None:
        try:
            self._call()
        finally:
            self._end = None
            end.send(None)
