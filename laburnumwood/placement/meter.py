"""What a node measures of the load of its shards and keys."""

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.decay import DecayingRate
from laburnumwood.placement.hotkeys import HotKeys

_HALF_LIFE_MS = 15_000
_LEAST_LOAD = 0.0001  # of a slot; less is forgotten


class LoadMeter:
    """Measures the work of shards in slots, and finds the hot keys."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rates: dict[int, DecayingRate] = {}
        self.hot_keys = HotKeys(clock)

    def note(self, shard: int, key: str, busy_ms: float) -> None:
        """Count a request that kept a slot busy for some time."""
        if shard < 0:
            return
        self.hot_keys.note(key)
        rate = self._rates.get(shard)
        if rate is None:
            rate = DecayingRate(_HALF_LIFE_MS, self._clock)
            self._rates[shard] = rate
        rate.note(busy_ms / MS_PER_SECOND)

    def shards(self) -> dict[int, float]:
        """Return how many slots each shard keeps busy."""
        self._rates = {
            shard: rate
            for shard, rate in self._rates.items()
            if rate.per_second >= _LEAST_LOAD
        }
        return {shard: rate.per_second for shard, rate in self._rates.items()}
