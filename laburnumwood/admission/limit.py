"""A concurrency limit that follows the latency of the worker.

The gradient of latencies is that of Netflix's concurrency-limits (its
Gradient2 limit); the decrease after refusals is the multiplicative one of
D.-M. Chiu and R. Jain, "Analysis of the increase and decrease algorithms for
congestion avoidance in computer networks", 1989.
"""

from collections.abc import Callable
from math import sqrt
from statistics import median

from laburnumwood.clock import Clock
from laburnumwood.decay import DecayingMean, weight_of_age

_WINDOW_MS = 200
_WINDOW_SAMPLES = 8
_LONG_HALF_LIFE_MS = 3_000
_TOLERANCE = 2.0  # latency may rise by this factor before the limit falls
_LEAST_GRADIENT = 0.5
_SMOOTHING = 0.2
_REFUSED_FACTOR = 0.9
_LOST_FACTOR = 0.7
_LEAST_LOST = 4  # answers in a window
_BACK_FACTOR = 2  # for each window in which a lost worker answers again
_HINT_HALF_LIFE_MS = 1_000


SlotCount = Callable[[], int]  # of the worker, as it says now


class ConcurrencyLimit:
    """How many requests may run on the worker at once, its slots at the most.

    What this node counts itself comes first.  A load report of the worker
    can only lower the limit, by the work that others seem to have there, and
    it counts less from one half-life to the next.
    """

    def __init__(self, slots: SlotCount, clock: Clock) -> None:
        self._slots = slots
        self._clock = clock
        self._limit: float = slots()
        self._long = DecayingMean(_LONG_HALF_LIFE_MS, clock)
        self._samples: list[float] = []
        self._lost = 0  # in this window
        self._before_lost: float = 0  # the limit before answers were lost
        self._busiest = 0
        self._window_ms = clock.now_ms()
        self._decreased_ms = clock.now_ms() - _WINDOW_MS
        self._foreign = 0
        self._hinted_ms = clock.now_ms()

    @property
    def current(self) -> int:
        """Return the limit now, at least one."""
        age_ms = self._clock.now_ms() - self._hinted_ms
        foreign = self._foreign * weight_of_age(age_ms, _HINT_HALF_LIFE_MS)
        usable = min(self._limit, self._slots() - foreign)
        return max(1, round(usable))

    def observe(self, latency_ms: float, running: int) -> None:
        """Take in the latency of an answer, and how many ran meanwhile."""
        self._samples.append(latency_ms)
        self._busiest = max(self._busiest, running)
        age_ms = self._clock.now_ms() - self._window_ms
        if age_ms >= _WINDOW_MS and len(self._samples) >= _WINDOW_SAMPLES:
            self._close_window()

    def record_refusal(self) -> None:
        """Lower the limit because the worker refused a request."""
        self._before_lost = 0
        self._decrease(_REFUSED_FACTOR)

    def record_loss(self) -> None:
        """Take in that the worker gave no whole answer to a request.

        Only where most requests end so is the worker taken to be overloaded:
        answers also get lost on their way.
        """
        self._lost += 1
        if self._lost >= _LEAST_LOST and self._lost > len(self._samples):
            self._before_lost = max(self._before_lost, self._limit)
            self._decrease(_LOST_FACTOR)
            self._begin_window()

    def record_load_report(self, reported: int, own: int) -> None:
        """Take in a load report, with the most that this node ran lately."""
        self._foreign = min(max(0, reported - own), self._slots() - 1)
        self._hinted_ms = self._clock.now_ms()

    def _decrease(self, factor: float) -> None:
        # What fails together was sent under one limit and lowers it once.
        now_ms = self._clock.now_ms()
        if now_ms - self._decreased_ms >= _WINDOW_MS:
            self._limit = max(1, self._limit * factor)
            self._decreased_ms = now_ms

    def _close_window(self) -> None:
        short = max(median(self._samples), 1)
        self._long.add(short)
        gradient = _TOLERANCE * self._long.mean / short
        gradient = max(_LEAST_GRADIENT, min(1, gradient))
        if self._limit < self._before_lost and gradient == 1:
            self._come_back()
        else:
            self._follow(gradient)
        self._begin_window()

    def _come_back(self) -> None:
        """Raise the limit of a worker that lost answers and gives them again.

        It was down rather than overloaded, and steps by few answers are slow.
        """
        whole = min(self._before_lost, self._slots())
        self._limit = max(1, min(self._limit * _BACK_FACTOR, whole))
        if self._limit >= whole:
            self._before_lost = 0

    def _follow(self, gradient: float) -> None:
        aimed = self._limit * gradient + sqrt(self._limit)
        # A limit that is not reached says nothing about a higher one.
        if aimed < self._limit or self._busiest * 2 >= self._limit:
            change = (aimed - self._limit) * _SMOOTHING
            self._limit = max(1, min(self._slots(), self._limit + change))

    def _begin_window(self) -> None:
        self._samples.clear()
        self._lost = 0
        self._busiest = 0
        self._window_ms = self._clock.now_ms()
