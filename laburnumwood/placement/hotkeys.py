"""A bounded sketch of the most frequent keys.

The Space-Saving algorithm: A. Metwally, D. Agrawal and A. El Abbadi,
"Efficient computation of frequent and top-k elements in data streams", 2005;
with weights that rise over time instead of counts that fall, as in G. Cormode
and others, "Forward decay", 2009.
"""

from dataclasses import dataclass
from heapq import heapify, heappop, heappush, nlargest

from laburnumwood.clock import Clock

CAPACITY = 1_024
HALF_LIFE_MS = 30_000
_MAX_HALF_LIVES = 64  # age after which all counts are rescaled


@dataclass(frozen=True, slots=True)
class HotKey:
    """A key with its decayed count, which is too high by at most `error`."""

    key: str
    count: float
    error: float


class HotKeys:
    """The most frequent keys, with counts that decay over time."""

    def __init__(
        self,
        clock: Clock,
        capacity: int = CAPACITY,
        half_life_ms: int = HALF_LIFE_MS,
    ) -> None:
        self._half_life_ms = half_life_ms
        self._clock = clock
        self._capacity = capacity
        self._counts: dict[str, float] = {}
        self._errors: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []
        self._since_ms = clock.now_ms()

    def __len__(self) -> int:
        """Return how many keys are kept."""
        return len(self._counts)

    def record(self, key: str) -> None:
        """Count one request of a key."""
        weight = self._weight()
        if key in self._counts:
            self._counts[key] += weight
            return
        least: float = 0
        if len(self._counts) >= self._capacity:
            least = self._evict()
        self._counts[key] = least + weight
        self._errors[key] = least
        heappush(self._heap, (least + weight, key))

    def hottest(self, count: int) -> list[HotKey]:
        """Return at most `count` keys, the most frequent one first."""
        weight = self._weight()
        order = nlargest(count, self._counts.items(), key=lambda item: item[1])
        return [
            HotKey(key, weighted / weight, self._errors[key] / weight)
            for key, weighted in order
        ]

    def _weight(self) -> float:
        age = (self._clock.now_ms() - self._since_ms) / self._half_life_ms
        if age > _MAX_HALF_LIVES:
            self._rescale(2.0**-age)
            return 1
        return 2.0**age

    def _rescale(self, factor: float) -> None:
        self._since_ms = self._clock.now_ms()
        self._counts = {
            key: weighted * factor for key, weighted in self._counts.items()
        }
        self._errors = {
            key: error * factor for key, error in self._errors.items()
        }
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapify(self._heap)

    def _evict(self) -> float:
        """Remove the least frequent key; return its weighted count."""
        # Counts only rise, so the count of a heap entry may be outdated.  Such
        # an entry is pushed back with the current count, until the popped one
        # is up to date.
        while True:
            weighted, key = heappop(self._heap)
            current = self._counts[key]
            if current == weighted:
                self._counts.pop(key)
                self._errors.pop(key)
                return weighted
            heappush(self._heap, (current, key))
