"""A concurrency limit that adapts to the latency of the worker.

The latency gradient is the one of the Gradient2 limit in Netflix's
concurrency-limits library.  The decrease after refusals is multiplicative, as
in D.-M. Chiu and R. Jain, "Analysis of the increase and decrease algorithms
for congestion avoidance in computer networks", 1989.
"""

from collections.abc import Callable
from math import sqrt
from statistics import median

from laburnumwood.clock import Clock
from laburnumwood.decay import DecayingMean, weight_of_age

_WINDOW_MS = 200
_WINDOW_SAMPLES = 8
_LONG_TERM_HALF_LIFE_MS = 3_000
# The latency may rise by this factor before the limit is lowered.
_LATENCY_TOLERANCE = 2.0
_MIN_GRADIENT = 0.5
_SMOOTHING = 0.2
_REFUSAL_FACTOR = 0.9
_LOSS_FACTOR = 0.7
_MIN_LOSSES = 4  # lost answers in a window
# The limit of a recovering worker grows by this factor in each window.
_RECOVERY_FACTOR = 2
_REPORT_HALF_LIFE_MS = 1_000


SlotCount = Callable[[], int]  # the slots that the worker has at present


class ConcurrencyLimit:
    """The number of requests that may run on the worker at the same time.

    It is at least one and at most the number of the worker's slots, and is
    computed from what this node observes.  A load report of the worker can
    only lower the limit, by the number of requests that other nodes seem to
    run there; the influence of a report halves with each half-life.
    """

    def __init__(self, slots: SlotCount, clock: Clock) -> None:
        self._slots = slots
        self._clock = clock
        self._limit: float = slots()
        self._long_term_latency = DecayingMean(_LONG_TERM_HALF_LIFE_MS, clock)
        self._samples: list[float] = []
        self._losses = 0  # in the current window
        # The limit before the worker lost answers, zero if it did not.
        self._limit_before_losses: float = 0
        self._peak_running = 0
        self._window_start_ms = clock.now_ms()
        self._last_decrease_ms = clock.now_ms() - _WINDOW_MS
        self._foreign_running = 0
        self._reported_ms = clock.now_ms()

    @property
    def current(self) -> int:
        """Return the present limit, at least one."""
        age_ms = self._clock.now_ms() - self._reported_ms
        foreign_running = self._foreign_running * weight_of_age(
            age_ms, _REPORT_HALF_LIFE_MS
        )
        usable = min(self._limit, self._slots() - foreign_running)
        return max(1, round(usable))

    def begin_instance(self) -> None:
        """Forget what was observed: another instance of the worker started."""
        self._limit = self._slots()
        self._long_term_latency = DecayingMean(
            _LONG_TERM_HALF_LIFE_MS, self._clock
        )
        self._limit_before_losses = 0
        self._foreign_running = 0
        self._begin_window()

    def observe(self, latency_ms: float, running: int) -> None:
        """Record the latency of an answer and how many requests were running.

        At most once per window this recomputes the limit.
        """
        self._samples.append(latency_ms)
        self._peak_running = max(self._peak_running, running)
        age_ms = self._clock.now_ms() - self._window_start_ms
        if age_ms >= _WINDOW_MS and len(self._samples) >= _WINDOW_SAMPLES:
            self._close_window()

    def record_refusal(self) -> None:
        """Lower the limit because the worker refused a request for its load."""
        self._limit_before_losses = 0
        self._decrease(_REFUSAL_FACTOR)

    def record_loss(self) -> None:
        """Record that the worker gave no complete answer to a request.

        The limit is lowered only if most requests of a window end like this,
        because single answers are also lost in the network.
        """
        self._losses += 1
        if self._losses >= _MIN_LOSSES and self._losses > len(self._samples):
            self._limit_before_losses = max(
                self._limit_before_losses, self._limit
            )
            self._decrease(_LOSS_FACTOR)
            self._begin_window()

    def record_load_report(self, reported: int, own: int) -> None:
        """Record a load report.

        `reported` is the number of requests that the worker reports to be
        running, `own` the highest number that this node had running lately.
        The difference is assumed to be requests of other nodes.
        """
        self._foreign_running = min(max(0, reported - own), self._slots() - 1)
        self._reported_ms = self._clock.now_ms()

    def _decrease(self, factor: float) -> None:
        # Requests that fail together were sent under the same limit, so they
        # lower it only once.
        now_ms = self._clock.now_ms()
        if now_ms - self._last_decrease_ms >= _WINDOW_MS:
            self._limit = max(1, self._limit * factor)
            self._last_decrease_ms = now_ms

    def _close_window(self) -> None:
        window_latency_ms = max(median(self._samples), 1)
        self._long_term_latency.add(window_latency_ms)
        gradient = (
            _LATENCY_TOLERANCE
            * self._long_term_latency.mean
            / window_latency_ms
        )
        gradient = max(_MIN_GRADIENT, min(1, gradient))
        if self._limit < self._limit_before_losses and gradient == 1:
            self._recover()
        else:
            self._apply_gradient(gradient)
        self._begin_window()

    def _recover(self) -> None:
        """Raise the limit quickly after the worker has stopped losing answers.

        The worker was down rather than overloaded, and the gradient would
        raise a low limit only slowly, since few answers come at a time.
        """
        full_limit = min(self._limit_before_losses, self._slots())
        self._limit = max(1, min(self._limit * _RECOVERY_FACTOR, full_limit))
        if self._limit >= full_limit:
            self._limit_before_losses = 0

    def _apply_gradient(self, gradient: float) -> None:
        target = self._limit * gradient + sqrt(self._limit)
        # The limit is raised only if it is at least half used: otherwise the
        # latencies do not show how the worker would do under a higher one.
        if target < self._limit or self._peak_running * 2 >= self._limit:
            change = (target - self._limit) * _SMOOTHING
            self._limit = max(1, min(self._slots(), self._limit + change))

    def _begin_window(self) -> None:
        self._samples.clear()
        self._losses = 0
        self._peak_running = 0
        self._window_start_ms = self._clock.now_ms()
