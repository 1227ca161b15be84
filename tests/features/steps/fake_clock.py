"""A clock that tests set."""

from laburnumwood.clock import Clock


class FakeClock(Clock):
    """A clock that stands still until `pass_ms` advances it."""

    def __init__(self) -> None:
        self.time_ms = 1_000_000

    def now_ms(self) -> int:
        """Return the time that the test has set, in milliseconds."""
        return self.time_ms

    def pass_ms(self, span_ms: int) -> None:
        """Advance the clock."""
        self.time_ms += span_ms
