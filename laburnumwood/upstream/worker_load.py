"""What a worker says about its load and about the pace of its VM."""

from dataclasses import dataclass

from laburnumwood.clock import Clock
from laburnumwood.decay import DecayingMean

_HALF_LIFE_MS = 3_000
_MAX_AGE_MS = 10_000  # a pace of which nothing was heard for so long has ended
# Means of the pace from which on a VM is slow, and below which it is usual
# again.  Slow spells that are short and rare stay below the first.
_SLOW_FROM = 2.0
_USUAL_BELOW = 1.5
_LASTING_MS = 2_000  # for which the mean has to stay high before it counts
_MAX_GAP_MS = 1_000  # without a stated pace, after which that time begins anew
_MAX_PACE = 10  # a higher one is not believed, and counts as this
_DECIMAL_PLACES = 1


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """The load of a worker as it states it with an answer.

    `running` and `waiting` are numbers of requests, and `slots` is how many run
    at a time.  `pace` is how long work takes on the worker's VM at this moment,
    where 1 is as usual; None if the worker does not tell.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None

    @property
    def has_free_slot(self) -> bool:
        """Return whether another request would have begun at once."""
        return not self.waiting and self.running < self.slots


class LastingPace:
    """The mean pace of a worker's VM over some seconds, while it is slow.

    The pace at a moment changes many times a second: it has changed before
    another node hears of it.  The mean begins to count when it has been well
    above the usual for a while, and stops counting when it is nearly usual
    again, so that what follows from it is not reversed at once.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._mean = DecayingMean(_HALF_LIFE_MS, clock)
        self._heard_ms = 0
        self._is_slow = False
        self._high_since_ms: int | None = None

    @property
    def slow_pace(self) -> float | None:
        """Return the mean pace of a VM that is slow, None if it is not."""
        is_recent = self._clock.now_ms() - self._heard_ms < _MAX_AGE_MS
        if not self._is_slow or not is_recent:
            return None
        return round(self._mean.mean, _DECIMAL_PLACES)

    def begin_instance(self) -> None:
        """Forget everything: another instance of the worker has started."""
        self._mean = DecayingMean(_HALF_LIFE_MS, self._clock)
        self._is_slow = False
        self._high_since_ms = None

    def record(self, load: WorkerLoad) -> None:
        """Record the load that an answer states."""
        if load.pace is None:
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._heard_ms > _MAX_GAP_MS:
            self._high_since_ms = None
        self._heard_ms = now_ms
        self._mean.add(min(load.pace, _MAX_PACE))
        least = _USUAL_BELOW if self._is_slow else _SLOW_FROM
        if self._mean.mean < least:
            self._is_slow = False
            self._high_since_ms = None
            return
        if self._high_since_ms is None:
            self._high_since_ms = now_ms
        high_ms = now_ms - self._high_since_ms
        self._is_slow = self._is_slow or high_ms >= _LASTING_MS
