"""A value that can be read with a delay."""

from collections import deque
from typing import Generic, TypeVar

from standins.clock import monotonic_ms

MAX_LAG_MS = 60_000

Sample = TypeVar('Sample')


class Lagged(Generic[Sample]):
    """Keeps the history of a value over the last minute."""

    def __init__(self, initial: Sample) -> None:
        self._samples = deque([(monotonic_ms(), initial)])

    @property
    def latest(self) -> Sample:
        """Return the current value."""
        return self._samples[-1][1]

    def record(self, sample: Sample) -> None:
        """Set the current value."""
        now_ms = monotonic_ms()
        self._samples.append((now_ms, sample))
        while self._samples[1][0] < now_ms - MAX_LAG_MS:
            self._samples.popleft()

    def delayed_by(self, lag_ms: int) -> Sample:
        """Return the value as it was `lag_ms` ago, or the oldest one kept."""
        as_of_ms = monotonic_ms() - lag_ms
        for recorded_ms, sample in reversed(self._samples):
            if recorded_ms <= as_of_ms:
                return sample
        return self._samples[0][1]
