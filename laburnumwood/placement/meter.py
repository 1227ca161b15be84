"""Measurement of the load of a node's shards and keys."""

from math import log, sqrt

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.decay import DecayingRate
from laburnumwood.placement.hotkeys import HotKeys

_HOTTEST = 400  # keys that are considered for a split
_MIN_LOAD = 0.0001  # busy slots; the rate of a shard with less is discarded
# Mean square of the work of a request, divided by the square of its mean.
_WORK_VARIATION = 1.3


def relative_error(per_second: float, half_life_ms: int) -> float:
    """Return the standard error of a measured load, as a fraction of it.

    `per_second` is the rate of requests.  They arrive at random and differ in
    their work, so a load measured from few of them is uncertain.
    """
    counted = per_second * 2 * half_life_ms / log(2) / MS_PER_SECOND
    return sqrt(_WORK_VARIATION / counted) if counted else 0


class LoadMeter:
    """Measures the work of shards in busy slots, and finds the hot keys."""

    def __init__(self, half_life_ms: int, clock: Clock) -> None:
        self._half_life_ms = half_life_ms
        self._clock = clock
        self._rates: dict[int, DecayingRate] = {}
        self._requests = DecayingRate(half_life_ms, clock)
        self.hot_keys = HotKeys(clock, half_life_ms=half_life_ms * 2)

    def record(self, shard: int, key: str, busy_ms: float) -> None:
        """Count a request that kept a slot busy for `busy_ms`.

        Requests without a shard, whose number is negative, are left out.
        """
        if shard < 0:
            return
        self.hot_keys.record(key)
        self._requests.add(1)
        rate = self._rates.get(shard)
        if rate is None:
            rate = DecayingRate(self._half_life_ms, self._clock)
            self._rates[shard] = rate
        rate.add(busy_ms / MS_PER_SECOND)

    def relative_error(self) -> float:
        """Return the standard error of the load here, as a fraction of it."""
        return relative_error(self._requests.per_second, self._half_life_ms)

    def key_counts(self) -> dict[int, float]:
        """Return the counts of the hottest keys that are numbers."""
        found = self.hot_keys.hottest(_HOTTEST)
        return {
            int(each.key): each.count for each in found if each.key.isdecimal()
        }

    def shards(self) -> dict[int, float]:
        """Return how many slots each shard keeps busy."""
        self._rates = {
            shard: rate
            for shard, rate in self._rates.items()
            if rate.per_second >= _MIN_LOAD
        }
        return {shard: rate.per_second for shard, rate in self._rates.items()}
