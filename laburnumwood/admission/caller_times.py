"""How much of its time a request has used before it arrived."""

from dataclasses import dataclass

from laburnumwood.clock import Clock
from laburnumwood.decay import weight_of_age

_HALF_LIFE_MS = 20_000
# Requests with less of the longest time than this have waited elsewhere.
_WHOLE_SHARE = 0.98
# The least share of requests with the longest time from which on that counts
# as the time that callers begin with.  It is a third if all come back twice.
_LEAST_WHOLE_SHARE = 0.25
_MIN_REQUESTS = 8  # fewer tell nothing
_MAX_ROUTES = 1_024


@dataclass(slots=True)
class _Route:
    """Decaying numbers of a route's requests.

    `whole` counts those that came with about the longest time.
    """

    longest_ms: int = 0
    requests: float = 0
    whole: float = 0
    updated_ms: int = 0

    @property
    def is_regular(self) -> bool:
        """Return whether callers begin with the same time, as it seems."""
        has_many = self.requests >= _MIN_REQUESTS
        return has_many and self.whole >= _LEAST_WHOLE_SHARE * self.requests

    def record(self, left_ms: int, now_ms: int) -> None:
        """Count a request; `longest_ms` begins anew if it is not the usual."""
        kept = weight_of_age(now_ms - self.updated_ms, _HALF_LIFE_MS)
        self.requests *= kept
        self.whole *= kept
        self.updated_ms = now_ms
        is_longer = left_ms * _WHOLE_SHARE > self.longest_ms
        is_rare = self.requests >= _MIN_REQUESTS and not self.is_regular
        if is_longer or is_rare:
            self.longest_ms = left_ms
            self.requests = 0
            self.whole = 0
        self.requests += 1
        self.whole += left_ms >= _WHOLE_SHARE * self.longest_ms


class CallerTimes:
    """Estimates how long callers have been trying, by the time they have left.

    Most callers of a route give each request the same time.  What is missing
    of it has passed before, mostly in tries that were refused.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._routes: dict[str, _Route] = {}

    def used_ms(self, route: str, left_ms: int) -> int:
        """Return the time in ms that a request with `left_ms` left has used.

        It is 0 unless many requests of its route come with the same time.
        """
        known = self._routes.get(route)
        if known is None:
            if len(self._routes) >= _MAX_ROUTES:
                self._routes.pop(next(iter(self._routes)))
            known = _Route()
            self._routes[route] = known
        known.record(left_ms, self._clock.now_ms())
        if not known.is_regular:
            return 0
        return max(0, known.longest_ms - left_ms)
