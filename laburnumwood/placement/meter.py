"""What a node measures of the load of its shards and keys."""

from math import log, sqrt

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.decay import DecayingRate
from laburnumwood.placement.hotkeys import HotKeys

_HOTTEST = 400  # keys to look at for a split
_LEAST_LOAD = 0.0001  # of a slot; less is forgotten
_WORK_SPREAD = 1.3  # mean square of the work of a request, of its mean squared


def relative_error(per_second: float, half_life_ms: int) -> float:
    """Return the standard error of a measured load, as a share of it.

    `per_second` is how many requests came.  They come at random and differ in
    their work, so that a load by few of them says little.
    """
    counted = per_second * 2 * half_life_ms / log(2) / MS_PER_SECOND
    return sqrt(_WORK_SPREAD / counted) if counted else 0


class LoadMeter:
    """Measures the work of shards in slots, and finds the hot keys."""

    def __init__(self, half_life_ms: int, clock: Clock) -> None:
        self._half_life_ms = half_life_ms
        self._clock = clock
        self._rates: dict[int, DecayingRate] = {}
        self._requests = DecayingRate(half_life_ms, clock)
        self.hot_keys = HotKeys(clock, half_life_ms=half_life_ms * 2)

    def note(self, shard: int, key: str, busy_ms: float) -> None:
        """Count a request that kept a slot busy for some time."""
        if shard < 0:
            return
        self.hot_keys.note(key)
        self._requests.add(1)
        rate = self._rates.get(shard)
        if rate is None:
            rate = DecayingRate(self._half_life_ms, self._clock)
            self._rates[shard] = rate
        rate.add(busy_ms / MS_PER_SECOND)

    def error(self) -> float:
        """Return the standard error of all load here, as a share of it."""
        return relative_error(self._requests.per_second, self._half_life_ms)

    def key_counts(self) -> dict[int, float]:
        """Return how often the hottest keys came that are numbers."""
        found = self.hot_keys.hottest(_HOTTEST)
        return {
            int(each.key): each.count for each in found if each.key.isdecimal()
        }

    def shards(self) -> dict[int, float]:
        """Return how many slots each shard keeps busy."""
        self._rates = {
            shard: rate
            for shard, rate in self._rates.items()
            if rate.per_second >= _LEAST_LOAD
        }
        return {shard: rate.per_second for shard, rate in self._rates.items()}
