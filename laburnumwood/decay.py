"""Means and rates in which what is older counts less."""

from math import log

from laburnumwood.clock import MS_PER_SECOND, Clock

_LEAST_AGE_MS = 500  # a rate of a shorter time says too little


def weight_of_age(age_ms: float, half_life_ms: float) -> float:
    """Return how much something of an age still counts, from 1 down to 0."""
    return 0.5 ** (max(age_ms, 0) / half_life_ms)


class DecayingMean:
    """A mean of samples; each counts half after a half-life."""

    def __init__(self, half_life_ms: int, clock: Clock) -> None:
        self._half_life_ms = half_life_ms
        self._clock = clock
        self._sum: float = 0
        self._count: float = 0
        self._updated_ms = clock.now_ms()

    @property
    def mean(self) -> float:
        """Return the mean, zero before the first sample."""
        return self._sum / self._count if self._count else 0

    def add(self, sample: float) -> None:
        """Take in a sample."""
        now_ms = self._clock.now_ms()
        kept = weight_of_age(now_ms - self._updated_ms, self._half_life_ms)
        self._updated_ms = now_ms
        self._sum = self._sum * kept + sample
        self._count = self._count * kept + 1


class DecayingRate:
    """How much comes a second; what came counts half after a half-life."""

    def __init__(self, half_life_ms: int, clock: Clock) -> None:
        self._half_life_ms = half_life_ms
        self._clock = clock
        self._sum: float = 0
        self._updated_ms = clock.now_ms()
        self._since_ms = clock.now_ms()

    @property
    def per_second(self) -> float:
        """Return the rate now.

        What could not come yet, because it is measured for a short time
        only, does not count as missing.
        """
        age_ms = max(self._clock.now_ms() - self._since_ms, _LEAST_AGE_MS)
        measured = 1 - weight_of_age(age_ms, self._half_life_ms)
        mean_age_ms = self._half_life_ms / log(2) * measured
        return self._decayed() / mean_age_ms * MS_PER_SECOND

    def add(self, amount: float) -> None:
        """Count an amount that came now."""
        self._sum = self._decayed() + amount
        self._updated_ms = self._clock.now_ms()

    def _decayed(self) -> float:
        age_ms = self._clock.now_ms() - self._updated_ms
        return self._sum * weight_of_age(age_ms, self._half_life_ms)
