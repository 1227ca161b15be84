"""Admission control: which requests run, wait, or are shed."""

from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from laburnumwood.admission.limit import ConcurrencyLimit, SlotCount
from laburnumwood.admission.queue import FairQueue
from laburnumwood.admission.tickets import Ticket, TicketResult, TicketState
from laburnumwood.clock import Clock
from laburnumwood.decay import DecayingMean
from laburnumwood.settings import AdmissionSettings

_TIMES_HALF_LIFE_MS = 2_000
_LEAST_RETRY_MS = 100
_MOST_RETRY_MS = 10_000
_LONGEST_BOOKED_MS = 1_000  # callers hardly come back after a longer time


class AdmissionPolicy(Protocol):
    """Decides about tickets; it never waits."""

    @property
    def running(self) -> int:
        """Return how many tickets have a slot."""

    @property
    def waiting(self) -> int:
        """Return how many tickets wait."""

    @property
    def slot_ms(self) -> float:
        """Return for how long a ticket keeps a slot, by the last ones."""

    def offer(self, ticket: Ticket) -> None:
        """Let a new ticket run, wait, or be shed."""

    def release(self, ticket: Ticket) -> None:
        """Take back the slot of a ticket, or its place in the queue."""

    def record_load_report(self, reported: int) -> None:
        """Take in how many requests the worker says it runs."""


PolicyFactory = Callable[[AdmissionSettings, SlotCount, Clock], AdmissionPolicy]
ADMISSION_POLICIES: dict[str, PolicyFactory] = {}


def admission_policy(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Register a way of admission under a name."""

    def register(maker: PolicyFactory) -> PolicyFactory:
        ADMISSION_POLICIES[name] = maker
        return maker

    return register


@admission_policy('adaptive')
class AdaptivePolicy:
    """An adaptive limit, and before it a short queue that is fair to keys.

    A ticket that could not be answered before its deadline, by the times that
    were observed, is shed at once.
    """

    def __init__(
        self, settings: AdmissionSettings, slots: SlotCount, clock: Clock
    ) -> None:
        self._clock = clock
        self._limit = ConcurrencyLimit(slots, clock)
        self._queue = FairQueue(lambda: slots() * settings.queue_per_slot)
        self._running: dict[Ticket, None] = {}  # in the order of their start
        self._by_key: Counter[str] = Counter()
        self._peaks = (0, 0)  # of running, since the last two load reports
        self._booked_ms: float = 0  # the last place given to one sent away
        self._latencies = DecayingMean(_TIMES_HALF_LIFE_MS, clock)
        self._slot_times = DecayingMean(_TIMES_HALF_LIFE_MS, clock)

    @property
    def running(self) -> int:
        """Return how many tickets have a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return how many tickets wait."""
        return len(self._queue)

    @property
    def slot_ms(self) -> float:
        """Return for how long a ticket keeps a slot, by the last ones."""
        return self._slot_times.mean

    @property
    def limit(self) -> int:
        """Return how many tickets may have a slot."""
        return self._limit.current

    def offer(self, ticket: Ticket) -> None:
        """Let a new ticket run, wait, or be shed."""
        self._fill()
        left_ms = ticket.useful_until_ms - self._clock.now_ms()
        if not self._queue and self.running < self.limit and left_ms > 0:
            self._start(ticket)
        elif self._may_wait(ticket, left_ms):
            self._enqueue(ticket)
        else:
            ticket.shed(self._retry_after_ms())

    def release(self, ticket: Ticket) -> None:
        """Take back the slot of a ticket, or its place in the queue."""
        if ticket.state is TicketState.WAITING:
            self._queue.remove(ticket)
            # One whose caller has gone does not come again.
            ticket.shed(0 if ticket.is_cancelled else self._retry_after_ms())
        elif ticket.state is TicketState.RUNNING:
            self._learn(ticket)
            self._running.pop(ticket)
            self._by_key[ticket.key] -= 1
            if not self._by_key[ticket.key]:
                self._by_key.pop(ticket.key)
            ticket.state = TicketState.RELEASED
        self._fill()

    def record_load_report(self, reported: int) -> None:
        """Take in how many requests the worker says it runs."""
        self._limit.record_load_report(reported, max(self._peaks))
        self._peaks = (self.running, self._peaks[0])

    def _may_wait(self, ticket: Ticket, left_ms: int) -> bool:
        ahead = self._queue.count_ahead_of(ticket.key, ticket.traffic_class)
        needed_ms = self._drain_ms(ahead + 1) + self._latency_ms()
        return needed_ms < left_ms and self._queue.has_room(ticket.key)

    def _enqueue(self, ticket: Ticket) -> None:
        victim = self._queue.put(ticket)
        if victim is not None:
            victim.shed(self._retry_after_ms())

    def _start(self, ticket: Ticket) -> None:
        self._running[ticket] = None
        self._by_key[ticket.key] += 1
        self._peaks = (max(self._peaks[0], self.running), self._peaks[1])
        ticket.start(self._clock.now_ms())

    def _fill(self) -> None:
        latest_ms = self._clock.now_ms() + round(self._latency_ms())
        for late in self._queue.with_deadline_before(latest_ms):
            self._queue.remove(late)
            late.shed(self._retry_after_ms())
        while self._queue and self.running < self.limit:
            self._start(self._queue.pop(self._by_key))

    def _learn(self, ticket: Ticket) -> None:
        if ticket.result is TicketResult.REFUSED:
            self._limit.record_refusal()
        elif ticket.result is TicketResult.LOST:
            self._limit.record_loss()
        if ticket.answered_ms is None:
            return
        latency_ms = ticket.answered_ms - ticket.started_ms
        self._latencies.add(latency_ms)
        self._slot_times.add(self._clock.now_ms() - ticket.started_ms)
        self._limit.observe(latency_ms, self.running)

    def _latency_ms(self) -> float:
        return max(self._latencies.mean, self._unanswered_ms())

    def _unanswered_ms(self) -> float:
        """Return the mean age of what the worker has not answered yet.

        It grows while a worker is frozen and nothing can be observed.
        """
        now_ms = self._clock.now_ms()
        ages = [
            now_ms - ticket.started_ms
            for ticket in self._running
            if ticket.answered_ms is None
        ]
        return sum(ages) / len(ages) if ages else 0

    def _drain_ms(self, count: int) -> float:
        slot_ms = max(self._slot_times.mean, self._unanswered_ms())
        return count * slot_ms / self.limit

    def _retry_after_ms(self) -> int:
        """Return when a request that is sent away should come again.

        Each is given the next place after all that run, wait or were sent
        away before, so that they do not come back together.
        """
        now_ms = self._clock.now_ms()
        ahead_ms = now_ms + self._drain_ms(len(self._queue) + self.running)
        latest_ms = max(ahead_ms, now_ms + _LONGEST_BOOKED_MS)
        place_ms = max(ahead_ms, self._booked_ms + self._drain_ms(1))
        self._booked_ms = min(place_ms, latest_ms)
        after_ms = round(self._booked_ms - now_ms)
        return min(max(after_ms, _LEAST_RETRY_MS), _MOST_RETRY_MS)


class _CountingPolicy:
    def __init__(
        self, _settings: AdmissionSettings, slots: SlotCount, clock: Clock
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
    def slot_ms(self) -> float:
        """Return zero: nothing is measured."""
        return 0

    def release(self, ticket: Ticket) -> None:
        """Take back the slot of a ticket, or its place in the queue."""
        if ticket.state is TicketState.WAITING:
            self._queue.remove(ticket)
            ticket.shed(_LEAST_RETRY_MS)
        elif ticket.state is TicketState.RUNNING:
            ticket.state = TicketState.RELEASED
            self._running -= 1
        if self._queue and self._running < self._slots():
            self._start(self._queue.popleft())

    def record_load_report(self, reported: int) -> None:
        """Ignore what the worker says of its load."""

    def _start(self, ticket: Ticket) -> None:
        self._running += 1
        ticket.start(self._clock.now_ms())


@admission_policy('unlimited')
class UnlimitedPolicy(_CountingPolicy):
    """Lets everything in at once; a baseline for measurements."""

    def offer(self, ticket: Ticket) -> None:
        """Let a new ticket run."""
        self._start(ticket)


@admission_policy('fixed-queue')
class FixedQueuePolicy(_CountingPolicy):
    """A queue of fixed length, first in, first out; a baseline."""

    def offer(self, ticket: Ticket) -> None:
        """Let a new ticket run, wait, or be shed."""
        slots = self._slots()
        if self._running < slots and not self._queue:
            self._start(ticket)
        elif len(self._queue) < slots * _FIXED_QUEUE_PER_SLOT:
            self._queue.append(ticket)
        else:
            ticket.shed(_LEAST_RETRY_MS)


_FIXED_QUEUE_PER_SLOT = 10
