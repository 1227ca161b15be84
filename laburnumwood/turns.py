"""The turns of the event loop, which tell how long an event may have waited."""

from laburnumwood.clock import Clock

_MIN_WAIT_MS = 1  # a shorter wait for events may as well have been none


class Turns:
    """Records when the event loop waited for events.

    An event that a turn handles came after the wait of the turn before, or
    during the wait of its own, which it ended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waited_until_ms = clock.now_ms()
        self._events_since_ms = self._waited_until_ms

    def record_wait(self, began_ms: int, ended_ms: int) -> None:
        """Record that the loop waited for events, and begins a turn now."""
        has_waited = ended_ms - began_ms >= _MIN_WAIT_MS
        self._events_since_ms = (
            ended_ms if has_waited else self._waited_until_ms
        )
        self._waited_until_ms = ended_ms

    @property
    def longest_wait_ms(self) -> int:
        """Return how long the events of this turn have waited at most."""
        return max(0, self._clock.now_ms() - self._events_since_ms)


TURNS = Turns(Clock())  # of the event loop of this process
