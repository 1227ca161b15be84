"""Admission control: which requests run, wait, or are shed."""

from collections import Counter, deque
from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from laburnumwood.admission.class_times import ClassTimes
from laburnumwood.admission.limit import ConcurrencyLimit, SlotCount
from laburnumwood.admission.queue import FairQueue
from laburnumwood.admission.rate_limiter import StartLimiter
from laburnumwood.admission.tickets import Ticket, TicketResult, TicketState
from laburnumwood.clock import Clock
from laburnumwood.settings import AdmissionSettings

_MIN_RETRY_AFTER_MS = 100
_MAX_RETRY_AFTER_MS = 10_000
_RETRY_HORIZON_MS = 1_000  # callers rarely retry after a longer delay
_LATE_CHECK_MS = 10  # least interval between two looks at all that wait
# The part of its time for which a request that has an objective may take: what
# comes later leaves its caller no time for another try.
_PATIENCE = 0.5
# A queue that is not empty for longer will not drain by itself.
_BURST_MS = 500


class AdmissionPolicy(Protocol):
    """Decides whether tickets run, wait or are shed; it never blocks."""

    @property
    def running(self) -> int:
        """Return how many tickets have a slot."""

    @property
    def waiting(self) -> int:
        """Return how many tickets wait."""

    @property
    def mean_slot_ms(self) -> float:
        """Return the mean time for which recent tickets kept their slots."""

    def offer(self, ticket: Ticket) -> None:
        """Start, queue or shed a new ticket."""

    def release(self, ticket: Ticket) -> None:
        """Release the slot of a ticket, or remove it from the queue.

        A ticket that is already released or shed is ignored.
        """

    def record_load_report(self, reported: int) -> None:
        """Record how many requests the worker reports to be running."""

    def begin_instance(self) -> None:
        """Forget what was observed: another instance of the worker started."""

    @property
    def next_start_in_ms(self) -> int | None:
        """Return when `dispatch` should be called, None if not at all.

        That is while tickets wait although a slot is free.
        """

    def dispatch(self) -> None:
        """Start the waiting tickets that may start now."""


PolicyFactory = Callable[
    [AdmissionSettings, SlotCount, Clock, StartLimiter], AdmissionPolicy
]
ADMISSION_POLICIES: dict[str, PolicyFactory] = {}


def admission_policy(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Return a decorator that registers an admission policy under a name."""

    def register(factory: PolicyFactory) -> PolicyFactory:
        ADMISSION_POLICIES[name] = factory
        return factory

    return register


def _answer_by_ms(ticket: Ticket, *, is_strict: bool) -> int:
    """Return until when a ticket that waits has to be answered."""
    useful_until_ms = min(ticket.useful_until_ms, ticket.deadline_ms)
    if is_strict:
        return useful_until_ms
    span_ms = ticket.deadline_ms - ticket.offered_ms
    patience_ms = round(span_ms * _PATIENCE)
    return max(useful_until_ms, ticket.offered_ms + patience_ms)


@admission_policy('adaptive')
class AdaptivePolicy:
    """An adaptive concurrency limit with a short queue that is fair to keys.

    A ticket that, by the latencies observed so far and the limit on the rate
    of starts, would not be answered before its deadline is shed at once.

    While the queue does not drain, as in "Controlling queue delay" by K.
    Nichols and V. Jacobson, 2012, a ticket of the least urgent class is also
    shed if it would be answered too late to be useful: another one that can be
    answered in time uses its slot better.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        slots: SlotCount,
        clock: Clock,
        rate_limiter: StartLimiter,
    ) -> None:
        self._clock = clock
        self._rate_limiter = rate_limiter
        self._limit = ConcurrencyLimit(slots, clock)
        self._latencies = ClassTimes(clock)
        self._slot_durations = ClassTimes(clock)
        self._queue = self._make_queue(
            lambda: slots() * settings.queue_per_slot
        )
        self._last_empty_ms = clock.now_ms()
        self._next_late_check_ms = 0
        self._weights: dict[str, int] = {}  # of the classes seen so far
        self._running: dict[Ticket, None] = {}  # in order of start
        self._running_by_key: Counter[str] = Counter()
        # The highest `running` since the last load report, and between that
        # report and the one before.
        self._peak_running = (0, 0)
        # The time at which the ticket that was shed last should be retried.
        self._last_retry_at_ms: float = 0

    @property
    def running(self) -> int:
        """Return how many tickets have a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return how many tickets wait."""
        return len(self._queue)

    @property
    def mean_slot_ms(self) -> float:
        """Return the mean time for which recent tickets kept their slots."""
        return self._slot_durations.mean

    @property
    def limit(self) -> int:
        """Return how many tickets may have a slot."""
        return self._limit.current

    def offer(self, ticket: Ticket) -> None:
        """Start, queue or shed a new ticket."""
        ticket.offered_ms = self._clock.now_ms()
        ticket.time_class = self._time_class(ticket)
        self._weights[ticket.traffic_class.name] = ticket.traffic_class.weight
        self.dispatch()
        left_ms = ticket.deadline_ms - self._clock.now_ms()
        if not self._queue and self._may_start and left_ms > 0:
            self._start(ticket)
        elif self._can_wait(ticket):
            self._enqueue(ticket)
        else:
            self._shed(ticket)

    def release(self, ticket: Ticket) -> None:
        """Release the slot of a ticket, or remove it from the queue.

        A ticket that is already released or shed is ignored.
        """
        if ticket.state is TicketState.WAITING:
            self._queue.remove(ticket)
            if ticket.is_cancelled:
                ticket.shed(0)  # a caller that has disconnected does not retry
            else:
                self._shed(ticket)
        elif ticket.state is TicketState.RUNNING:
            self._record_result(ticket)
            self._running.pop(ticket)
            self._running_by_key[ticket.key] -= 1
            if not self._running_by_key[ticket.key]:
                self._running_by_key.pop(ticket.key)
            ticket.state = TicketState.RELEASED
        self.dispatch()

    def record_load_report(self, reported: int) -> None:
        """Record how many requests the worker reports to be running."""
        self._limit.record_load_report(reported, max(self._peak_running))
        self._peak_running = (self.running, self._peak_running[0])

    def begin_instance(self) -> None:
        """Forget what was observed: another instance of the worker started."""
        self._limit.begin_instance()
        self.dispatch()

    @property
    def next_start_in_ms(self) -> int | None:
        """Return when `dispatch` should be called, None if not at all."""
        if not self._queue or self.running >= self.limit:
            return None
        return self._rate_limiter.wait_ms

    def dispatch(self) -> None:
        """Start the waiting tickets that may start now."""
        now_ms = self._clock.now_ms()
        if self._queue and now_ms >= self._next_late_check_ms:
            self._next_late_check_ms = now_ms + _LATE_CHECK_MS
            self._shed_late()
        while self._queue and self._may_start:
            self._start(self._queue.pop(self._running_by_key))
        if not self._queue:
            self._last_empty_ms = self._clock.now_ms()

    def _shed_late(self) -> None:
        """Shed the waiting tickets that would be answered too late."""
        now_ms = self._clock.now_ms()
        age_ms = self._mean_unanswered_age_ms()
        mean_of = self._latencies.mean_of
        must_be_useful = self._classes_to_be_useful()
        for ticket in self._queue.tickets():
            name = ticket.traffic_class.name
            limit_ms = _answer_by_ms(ticket, is_strict=name in must_be_useful)
            latency_ms = max(mean_of(ticket.time_class), age_ms)
            if now_ms + latency_ms > limit_ms:
                self._queue.remove(ticket)
                self._shed(ticket)

    def _classes_to_be_useful(self) -> Collection[str]:
        """Return the classes whose answers must not be late now."""
        full_for_ms = self._clock.now_ms() - self._last_empty_ms
        if full_for_ms <= _BURST_MS:
            return ()
        least = min(self._weights.values())
        return {
            name for name, weight in self._weights.items() if weight == least
        }

    @property
    def _may_start(self) -> bool:
        return self.running < self.limit and not self._rate_limiter.wait_ms

    def _shed(self, ticket: Ticket) -> None:
        if self._rate_limiter.wait_for_ms(len(self._queue) + 1):
            ticket.shed_by_limit = self._rate_limiter.limit
        ticket.shed(self._retry_after_ms())

    def _can_wait(self, ticket: Ticket) -> bool:
        name = ticket.traffic_class.name
        ahead = self._queue.count_ahead_of(ticket.key, ticket.traffic_class)
        start_in_ms = max(
            self._drain_time_ms(ahead),
            self._rate_limiter.wait_for_ms(int(sum(ahead.values())) + 1),
        )
        answered_ms = self._clock.now_ms() + start_in_ms
        answered_ms += self._expected_latency_ms(ticket.time_class)
        latest_ms = answered_ms + self._latencies.margin_of(ticket.time_class)
        is_strict = name in self._classes_to_be_useful()
        is_in_time = (
            answered_ms < _answer_by_ms(ticket, is_strict=is_strict)
            and latest_ms < ticket.deadline_ms
        )
        weight = ticket.traffic_class.weight
        return is_in_time and self._queue.has_room(ticket.key, weight)

    def _enqueue(self, ticket: Ticket) -> None:
        victim = self._queue.put(ticket)
        if victim is not None:
            self._shed(victim)

    def _start(self, ticket: Ticket) -> None:
        self._rate_limiter.record_start()
        self._running[ticket] = None
        self._running_by_key[ticket.key] += 1
        self._peak_running = (
            max(self._peak_running[0], self.running),
            self._peak_running[1],
        )
        ticket.start(self._clock.now_ms())

    def _record_result(self, ticket: Ticket) -> None:
        if ticket.result is TicketResult.REFUSED:
            self._limit.record_refusal()
        elif ticket.result is TicketResult.LOST:
            self._limit.record_loss()
        slot_ms = self._clock.now_ms() - ticket.started_ms
        if ticket.result is TicketResult.UNANSWERED:
            # The answer would have taken longer.
            self._record_times(ticket, slot_ms, slot_ms)
        if ticket.answered_ms is None:
            return
        latency_ms = ticket.answered_ms - ticket.started_ms
        self._record_times(ticket, latency_ms, slot_ms)
        self._limit.observe(latency_ms, self.running)

    def _time_class(self, ticket: Ticket) -> str:
        """Return the route of a ticket if it was observed, else its class."""
        if self._latencies.has(ticket.route):
            return ticket.route
        return ticket.traffic_class.name

    def _record_times(
        self, ticket: Ticket, latency_ms: int, slot_ms: int
    ) -> None:
        class_name = ticket.traffic_class.name
        names = {class_name, ticket.route or class_name}
        self._latencies.add(names, latency_ms)
        self._slot_durations.add(names, slot_ms)

    def _make_queue(self, capacity: Callable[[], int]) -> FairQueue:
        return FairQueue(capacity, self._slot_ms)

    def _slot_ms(self, class_name: str) -> float:
        """Return for how long a ticket of a class or route should run."""
        return max(1, self._slot_durations.mean_of(class_name))

    def _expected_latency_ms(self, class_name: str) -> float:
        latency_ms = self._latencies.mean_of(class_name)
        return max(latency_ms, self._mean_unanswered_age_ms())

    def _mean_unanswered_age_ms(self) -> float:
        """Return the mean age of the requests that are not answered yet.

        It grows while a worker hangs and no latencies can be observed.
        """
        now_ms = self._clock.now_ms()
        ages = [
            now_ms - ticket.started_ms
            for ticket in self._running
            if ticket.answered_ms is None
        ]
        return sum(ages) / len(ages) if ages else 0

    def _drain_time_ms(self, counts: Mapping[str, float]) -> float:
        """Return how long tickets and one more take to start.

        `counts` are their numbers by class.
        """
        least_ms = self._mean_unanswered_age_ms()
        needed_ms = max(self._slot_durations.mean, least_ms)
        for name, number in counts.items():
            mean_ms = self._slot_durations.mean_of(name)
            needed_ms += number * max(mean_ms, least_ms)
        return needed_ms / self.limit

    def _retry_after_ms(self) -> int:
        """Return the delay after which a shed request should be retried.

        Each shed request is scheduled after all requests that run, wait or
        were shed before it, so that the retries do not arrive together.
        """
        now_ms = self._clock.now_ms()
        waiting = len(self._queue)
        drained_ms = now_ms + max(
            self._drain_time_ms({'': waiting + self.running - 1}),
            self._rate_limiter.wait_for_ms(waiting + 1),
        )
        horizon_ms = max(drained_ms, now_ms + _RETRY_HORIZON_MS)
        interval_ms = max(
            self._drain_time_ms({}), self._rate_limiter.interval_ms
        )
        retry_at_ms = max(drained_ms, self._last_retry_at_ms + interval_ms)
        self._last_retry_at_ms = min(retry_at_ms, horizon_ms)
        after_ms = round(self._last_retry_at_ms - now_ms)
        return min(max(after_ms, _MIN_RETRY_AFTER_MS), _MAX_RETRY_AFTER_MS)


class _CountingPolicy:
    def __init__(
        self,
        _settings: AdmissionSettings,
        slots: SlotCount,
        clock: Clock,
        _rate_limiter: StartLimiter,
    ) -> None:
        self._slots = slots
        self._clock = clock
        self._running = 0
        self._queue: deque[Ticket] = deque()

    @property
    def running(self) -> int:
        """Return how many tickets have a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Return how many tickets wait."""
        return len(self._queue)

    @property
    def mean_slot_ms(self) -> float:
        """Return zero, because no times are measured."""
        return 0

    def release(self, ticket: Ticket) -> None:
        """Release the slot of a ticket, or remove it from the queue.

        A ticket that is already released or shed is ignored.
        """
        if ticket.state is TicketState.WAITING:
            self._queue.remove(ticket)
            ticket.shed(_MIN_RETRY_AFTER_MS)
        elif ticket.state is TicketState.RUNNING:
            ticket.state = TicketState.RELEASED
            self._running -= 1
        if self._queue and self._running < self._slots():
            self._start(self._queue.popleft())

    def record_load_report(self, reported: int) -> None:
        """Ignore the load reports of the worker."""

    def begin_instance(self) -> None:
        """Do nothing: nothing is observed."""

    @property
    def next_start_in_ms(self) -> int | None:
        """Return nothing: tickets wait for a free slot only."""

    def dispatch(self) -> None:
        """Do nothing: tickets start when a slot is released."""

    def _start(self, ticket: Ticket) -> None:
        self._running += 1
        ticket.start(self._clock.now_ms())


@admission_policy('unlimited')
class UnlimitedPolicy(_CountingPolicy):
    """Starts every ticket at once; a baseline for measurements."""

    def offer(self, ticket: Ticket) -> None:
        """Start a new ticket."""
        self._start(ticket)


@admission_policy('fixed-queue')
class FixedQueuePolicy(_CountingPolicy):
    """A FIFO queue of fixed length; a baseline for measurements."""

    def offer(self, ticket: Ticket) -> None:
        """Start, queue or shed a new ticket."""
        slots = self._slots()
        if self._running < slots and not self._queue:
            self._start(ticket)
        elif len(self._queue) < slots * _FIXED_QUEUE_PER_SLOT:
            self._queue.append(ticket)
        else:
            ticket.shed(_MIN_RETRY_AFTER_MS)


_FIXED_QUEUE_PER_SLOT = 10
