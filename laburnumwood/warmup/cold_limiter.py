"""A limiter of the requests to a cold worker."""

from collections import deque
from math import ceil

from laburnumwood.admission.rate_limiter import RateLimiter
from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.warmup.cold_period import ColdPeriod, WarmUpTerms

# What may be sent in any one second beyond the even rate, as a part of it.
_BURST_SHARE = 0.2


def _most_in_a_second(terms: WarmUpTerms) -> int:
    """Return how many requests may be sent in any one second."""
    return 1 + int(terms.per_second * (1 + _BURST_SHARE))


class ColdLimiter:
    """Limits what a cold worker is sent, evenly and within any one second.

    Requests that were sent just before the worker turned cold count, too.  An
    earlier process of the node may have sent as many as allowed in the second
    before this one started.
    """

    def __init__(self, period: ColdPeriod, clock: Clock) -> None:
        self._period = period
        self._clock = clock
        self._paced = RateLimiter(clock)
        self._sent_ms: deque[int] = deque()  # in the last second
        self._unknown_until_ms = clock.now_ms() + MS_PER_SECOND

    @property
    def limit(self) -> float | None:
        """Return the limit in requests a second, None if there is none."""
        terms = self._period.current_terms
        return terms.per_second if terms else None

    @property
    def interval_ms(self) -> float:
        """Return the mean time between two starts, zero without a limit."""
        self._paced.limit = self.limit
        return self._paced.interval_ms

    @property
    def wait_ms(self) -> int:
        """Return the time until a request may start."""
        return self.wait_for_ms(1)

    def wait_for_ms(self, count: int) -> int:
        """Return the time until so many requests may have been started."""
        terms = self._period.current_terms
        if terms is None:
            return 0
        self._paced.limit = terms.per_second
        behind_ms = ceil((count - 1) * self._paced.interval_ms)
        return max(
            self._paced.wait_for_ms(count), self._room_in_ms(terms) + behind_ms
        )

    def record_start(self) -> None:
        """Count a request that is started now."""
        self._paced.limit = self.limit
        self._paced.record_start()

    def may_send(self) -> bool:
        """Return whether a request may be sent now.

        Requests that were started in time may have been held up since.
        """
        terms = self._period.current_terms
        return terms is None or not self._room_in_ms(terms)

    def record_send(self) -> None:
        """Count a request that is sent to the worker now."""
        now_ms = self._clock.now_ms()
        if self._period.terms() is None:
            # It is not counted, in case a warm-up is declared right after it.
            self._unknown_until_ms = now_ms + MS_PER_SECOND
            return
        self._forget_old()
        self._sent_ms.append(now_ms)

    def _room_in_ms(self, terms: WarmUpTerms) -> int:
        """Return in how many ms a second has room for one more request."""
        self._forget_old()
        room_at_ms = self._unknown_until_ms
        most = _most_in_a_second(terms)
        if len(self._sent_ms) >= most:
            room_at_ms = max(room_at_ms, self._sent_ms[-most] + MS_PER_SECOND)
        return max(0, room_at_ms - self._clock.now_ms())

    def _forget_old(self) -> None:
        since_ms = self._clock.now_ms() - MS_PER_SECOND
        while self._sent_ms and self._sent_ms[0] <= since_ms:
            self._sent_ms.popleft()
