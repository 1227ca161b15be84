"""A clock that tests set."""

from laburnumwood.clock import Clock


class FakeClock(Clock):
    """Stands still until it is told to go on."""

    def __init__(self) -> None:
        self.time_ms = 1_000_000

    def now_ms(self) -> int:
        """Return the time that the test has set."""
        return self.time_ms

    def pass_ms(self, span_ms: int) -> None:
        """Let time pass."""
        self.time_ms += span_ms
