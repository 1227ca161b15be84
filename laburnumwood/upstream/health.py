"""Detection of a worker that no longer answers."""

from laburnumwood.clock import Clock

_LOSS_TIMEOUT_MS = 1_500
_MIN_FAILURES = 3


class WorkerHealth:
    """Decides from the outcomes of calls whether the worker is lost.

    A single failure is not enough, because a worker may pause briefly.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures = 0
        self._failing_since_ms = 0

    @property
    def is_lost(self) -> bool:
        """Return whether calls have failed too often and for too long."""
        silent_ms = self._clock.now_ms() - self._failing_since_ms
        return self._failures >= _MIN_FAILURES and silent_ms >= _LOSS_TIMEOUT_MS

    def record_call(self, *, answered: bool, started_ms: int) -> None:
        """Record the outcome of a call that started at `started_ms`."""
        if answered:
            self._failures = 0
            return
        if not self._failures:
            self._failing_since_ms = started_ms
        self._failures += 1
