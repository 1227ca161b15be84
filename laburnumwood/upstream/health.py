"""Whether the worker beside a node still answers."""

from laburnumwood.clock import Clock

_PATIENCE_MS = 1_500
_LEAST_FAILURES = 3


class WorkerHealth:
    """Decides from the outcomes of calls when a worker counts as lost.

    One failure never does: a worker may pause for a moment.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures = 0
        self._failing_since_ms = 0

    @property
    def is_lost(self) -> bool:
        """Tell whether the worker has been silent for too long."""
        silent_ms = self._clock.now_ms() - self._failing_since_ms
        return self._failures >= _LEAST_FAILURES and silent_ms >= _PATIENCE_MS

    def record_call(self, *, answered: bool, started_ms: int) -> None:
        """Take in the outcome of a call that started at a time."""
        if answered:
            self._failures = 0
            return
        if not self._failures:
            self._failing_since_ms = started_ms
        self._failures += 1
