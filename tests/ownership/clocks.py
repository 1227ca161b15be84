"""Clocks that the tests move."""

from laburnumwood.clock import Clock


class SimulatedTime:
    """The true time of a world, in milliseconds."""

    def __init__(self) -> None:
        self.now_ms = 10_000


class DriftingClock(Clock):
    """The clock of one VM: off by some time and a little too fast or slow."""

    def __init__(
        self, simulated_time: SimulatedTime, offset_ms: int, rate: float
    ) -> None:
        self._simulated_time = simulated_time
        self._offset_ms = offset_ms
        self._rate = rate

    def now_ms(self) -> int:
        """Return the time of this VM."""
        return int(self._simulated_time.now_ms * self._rate) + self._offset_ms
