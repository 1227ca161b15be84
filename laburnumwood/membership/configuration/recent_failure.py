"""Remembering for a short time that something was not to be had."""

from laburnumwood.clock import Clock

_REMEMBERED_MS = 1_000


class RecentFailure:
    """Whether something failed within the last second and not worked since."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failed_at_ms: int | None = None

    def __bool__(self) -> bool:
        """Return whether the last result is a failure, and a recent one."""
        if self._failed_at_ms is None:
            return False
        return self._clock.now_ms() - self._failed_at_ms < _REMEMBERED_MS

    def record(self, *, has_failed: bool) -> None:
        """Record a result."""
        self._failed_at_ms = self._clock.now_ms() if has_failed else None
