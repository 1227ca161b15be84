"""The time for which this process has run, without its own standstills."""

from laburnumwood.clock import Clock

CHECK_INTERVAL_MS = 100  # between two calls of `check`
_MAX_CHECK_GAP_MS = 300  # what exceeds it, the process did not run


class RunningTime:
    """A clock that stands still while this process does.

    After a standstill, whatever arrived in it is still unread.  The silence of
    others is therefore measured in this time.  Without any check all time
    counts.  Nothing that others rely on may be measured in it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._checked_ms: int | None = None
        self._paused_ms = 0

    def check(self) -> int:
        """Record that the process runs; call it every `CHECK_INTERVAL_MS`.

        Returns for how many ms the process has stood still before.
        """
        now_ms = self._clock.now_ms()
        paused_ms = 0
        if self._checked_ms is not None:
            paused_ms = max(0, now_ms - self._checked_ms - _MAX_CHECK_GAP_MS)
        self._paused_ms += paused_ms
        self._checked_ms = now_ms
        return paused_ms

    def now_ms(self) -> int:
        """Return the time in ms."""
        now_ms = self._clock.now_ms()
        if self._checked_ms is not None:
            now_ms = min(now_ms, self._checked_ms + _MAX_CHECK_GAP_MS)
        return now_ms - self._paused_ms
