"""A value that is reported as it was some time ago."""

from collections import deque
from typing import Generic, TypeVar

from standins.clock import monotonic_ms

MAX_LAG_MS = 60_000

Sample = TypeVar('Sample')


class Lagged(Generic[Sample]):
    """Remembers the values of the last minute."""

    def __init__(self, initial: Sample) -> None:
        self._samples = deque([(monotonic_ms(), initial)])

    @property
    def latest(self) -> Sample:
        """Return the value as it is."""
        return self._samples[-1][1]

    def note(self, sample: Sample) -> None:
        """Set the value from now on."""
        now_ms = monotonic_ms()
        self._samples.append((now_ms, sample))
        while self._samples[1][0] < now_ms - MAX_LAG_MS:
            self._samples.popleft()

    def before(self, lag_ms: int) -> Sample:
        """Return the value as it was, or the first one known."""
        moment_ms = monotonic_ms() - lag_ms
        for noted_ms, sample in reversed(self._samples):
            if noted_ms <= moment_ms:
                return sample
        return self._samples[0][1]
