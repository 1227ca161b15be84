"""A bounded sketch of the hottest keys.

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
_MOST_HALF_LIVES = 64


@dataclass(frozen=True, slots=True)
class HotKey:
    """A key with its decayed count, which is too high by at most `error`."""

    key: str
    count: float
    error: float


class HotKeys:
    """The hottest keys lately; what is older counts less."""

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
        """Return the hottest keys, the hottest one first."""
        weight = self._weight()
        order = nlargest(count, self._counts.items(), key=lambda item: item[1])
        return [
            HotKey(key, weighed / weight, self._errors[key] / weight)
            for key, weighed in order
        ]

    def _weight(self) -> float:
        age = (self._clock.now_ms() - self._since_ms) / self._half_life_ms
        if age > _MOST_HALF_LIVES:
            self._rescale(2.0**-age)
            return 1
        return 2.0**age

    def _rescale(self, factor: float) -> None:
        self._since_ms = self._clock.now_ms()
        self._counts = {
            key: weighed * factor for key, weighed in self._counts.items()
        }
        self._errors = {
            key: error * factor for key, error in self._errors.items()
        }
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapify(self._heap)

    def _evict(self) -> float:
        # Counts only rise, so an entry of the heap may be too low; it is put
        # back with its count of now until the least one is true.
        while True:
            weighed, key = heappop(self._heap)
            now = self._counts[key]
            if now == weighed:
                self._counts.pop(key)
                self._errors.pop(key)
                return weighed
            heappush(self._heap, (now, key))
