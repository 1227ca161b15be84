"""How late the tasks of this process get their turns."""

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.metrics import LOOP_DELAYS

_INTERVAL_MS = 100


class LoopDelay:
    """Measures periodically how late a timer of this process fires."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._longest_ms = 0

    def watch(self) -> None:
        """Measure periodically; does not return."""
        while True:
            due_ms = self._clock.now_ms() + _INTERVAL_MS
            eventlet.sleep(_INTERVAL_MS / MS_PER_SECOND)
            self.record(max(0, self._clock.now_ms() - due_ms))

    def record(self, delay_ms: int) -> None:
        """Record a delay."""
        LOOP_DELAYS.record(delay_ms)
        self._longest_ms = max(self._longest_ms, delay_ms)

    def take_longest_ms(self) -> int:
        """Return the longest delay since the last call."""
        longest_ms, self._longest_ms = self._longest_ms, 0
        return longest_ms


LOOP_DELAY = LoopDelay(Clock())  # of this process
