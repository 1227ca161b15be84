"""Means and rates with exponential decay."""

from math import log

from laburnumwood.clock import MS_PER_SECOND, Clock

_MIN_AGE_MS = 500  # a rate over a shorter time is too noisy


def weight_of_age(age_ms: float, half_life_ms: float) -> float:
    """Return the weight of a sample of some age: 1 when new, then to 0."""
    return 0.5 ** (max(age_ms, 0) / half_life_ms)


class DecayingMean:
    """A mean of samples; a sample's weight halves every half-life."""

    def __init__(self, half_life_ms: int, clock: Clock) -> None:
        self._half_life_ms = half_life_ms
        self._clock = clock
        self._sum: float = 0
        self._count: float = 0
        self._updated_ms = clock.now_ms()

    @property
    def mean(self) -> float:
        """Return the mean; 0 before the first sample."""
        return self._sum / self._count if self._count else 0

    def add(self, sample: float) -> None:
        """Add a sample."""
        now_ms = self._clock.now_ms()
        kept = weight_of_age(now_ms - self._updated_ms, self._half_life_ms)
        self._updated_ms = now_ms
        self._sum = self._sum * kept + sample
        self._count = self._count * kept + 1


class DecayingRate:
    """A rate per second; an amount's weight halves every half-life."""

    def __init__(self, half_life_ms: int, clock: Clock) -> None:
        self._half_life_ms = half_life_ms
        self._clock = clock
        self._sum: float = 0
        self._updated_ms = clock.now_ms()
        self._started_ms = clock.now_ms()

    @property
    def per_second(self) -> float:
        """Return the current rate.

        The sum is divided by the weight of the time measured so far, so that
        a rate is not too low while that time is short.
        """
        age_ms = max(self._clock.now_ms() - self._started_ms, _MIN_AGE_MS)
        measured = 1 - weight_of_age(age_ms, self._half_life_ms)
        mean_age_ms = self._half_life_ms / log(2) * measured
        return self._decayed() / mean_age_ms * MS_PER_SECOND

    def add(self, amount: float) -> None:
        """Add an amount that arrives now."""
        self._sum = self._decayed() + amount
        self._updated_ms = self._clock.now_ms()

    def _decayed(self) -> float:
        age_ms = self._clock.now_ms() - self._updated_ms
        return self._sum * weight_of_age(age_ms, self._half_life_ms)
