"""Clocks whose time is set by the tests."""

from laburnumwood.clock import Clock

STEP_MS = 50  # of a simulation


class SimulatedTime:
    """The true time of a simulation, in milliseconds."""

    def __init__(self) -> None:
        self.now_ms = 10_000


class DriftingClock(Clock):
    """The clock of one VM, with a fixed offset and a constant rate error."""

    def __init__(
        self, simulated_time: SimulatedTime, offset_ms: int, rate: float
    ) -> None:
        self._simulated_time = simulated_time
        self._offset_ms = offset_ms
        self._rate = rate

    def now_ms(self) -> int:
        """Return the time on this VM in milliseconds."""
        return int(self._simulated_time.now_ms * self._rate) + self._offset_ms
