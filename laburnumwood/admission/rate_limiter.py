"""A limiter of the rate at which requests are started.

The generic cell rate algorithm (ITU-T I.371): a request may start unless the
requests before it are ahead of an even schedule by more than the burst.
"""

from math import ceil
from typing import Protocol

from laburnumwood.clock import MS_PER_SECOND, Clock

# Under a lower limit some requests are still started: only their answers tell
# that the limit has ended.
_MIN_PER_SECOND = 0.5
_BURST_S = 0.2  # requests of this time may start together


class StartLimiter(Protocol):
    """Tells when requests may be started."""

    @property
    def limit(self) -> float | None:
        """Return the limit in requests a second, None if there is none."""

    @property
    def interval_ms(self) -> float:
        """Return the mean time between two starts, zero without a limit."""

    @property
    def wait_ms(self) -> int:
        """Return the time until a request may start."""

    def wait_for_ms(self, count: int) -> int:
        """Return the time until so many requests may have been started."""

    def record_start(self) -> None:
        """Count a request that is started now."""


class RateLimiter:
    """Limits the requests that are started in any span of time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limit: float | None = None
        # When the next request would start if all started at even intervals.
        self._next_ms: float = 0

    @property
    def limit(self) -> float | None:
        """Return the limit in requests a second, None if there is none."""
        return self._limit

    @limit.setter
    def limit(self, per_second: float | None) -> None:
        """Change the limit; requests that were started before count on."""
        self._limit = per_second

    @property
    def interval_ms(self) -> float:
        """Return the mean time between two starts, zero without a limit."""
        if self._limit is None:
            return 0
        return MS_PER_SECOND / max(self._limit, _MIN_PER_SECOND)

    @property
    def wait_ms(self) -> int:
        """Return the time until a request may start."""
        return self.wait_for_ms(1)

    def wait_for_ms(self, count: int) -> int:
        """Return the time until so many requests may have been started."""
        if self._limit is None:
            return 0
        now_ms = self._clock.now_ms()
        last_ms = max(self._next_ms, now_ms) + (count - 1) * self.interval_ms
        burst_ms = _BURST_S * MS_PER_SECOND
        return max(0, ceil(last_ms - burst_ms - now_ms))

    def record_start(self) -> None:
        """Count a request that is started now."""
        if self._limit is not None:
            now_ms = self._clock.now_ms()
            self._next_ms = max(self._next_ms, now_ms) + self.interval_ms


class CombinedLimiter:
    """Starts requests only when each of several limiters allows it."""

    def __init__(self, *limiters: StartLimiter) -> None:
        self._limiters = limiters

    @property
    def limit(self) -> float | None:
        """Return the lowest limit in requests a second, None if none is set."""
        limits = [each.limit for each in self._limiters]
        return min((each for each in limits if each is not None), default=None)

    @property
    def interval_ms(self) -> float:
        """Return the mean time between two starts, zero without a limit."""
        return max(each.interval_ms for each in self._limiters)

    @property
    def wait_ms(self) -> int:
        """Return the time until a request may start."""
        return max(each.wait_ms for each in self._limiters)

    def wait_for_ms(self, count: int) -> int:
        """Return the time until so many requests may have been started."""
        return max(each.wait_for_ms(count) for each in self._limiters)

    def record_start(self) -> None:
        """Count a request that is started now."""
        for each in self._limiters:
            each.record_start()
