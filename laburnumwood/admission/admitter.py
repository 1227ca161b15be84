"""Blocks the tasks of requests until an admission policy has decided."""

from collections.abc import Iterator
from contextlib import contextmanager

from eventlet import Timeout, sleep
from eventlet.event import Event

from laburnumwood.admission.control import AdmissionPolicy
from laburnumwood.admission.counters import AdmissionCounters
from laburnumwood.admission.tickets import Ticket, TicketState
from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import OverloadedError, RunCancelledError
from laburnumwood.tasks import start

_CANCELLED = 'nobody waits for it'


class Admitter:
    """Blocks the task of each request until the policy admits or sheds it."""

    def __init__(self, policy: AdmissionPolicy, clock: Clock) -> None:
        self._policy = policy
        self._clock = clock
        self._queued: set[Ticket] = set()
        self._responding: set[Ticket] = set()
        self._is_pacing = False
        self.counters = AdmissionCounters(clock)

    @property
    def running(self) -> int:
        """Return how many requests have a slot."""
        return self._policy.running

    @property
    def responding(self) -> int:
        """Return how many requests have released their slot but not ended.

        Their answers are still being sent.
        """
        return len(self._responding)

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return self._policy.waiting

    @property
    def mean_slot_ms(self) -> float:
        """Return the mean time for which recent requests kept their slots."""
        return self._policy.mean_slot_ms

    def record_load_report(self, reported: int) -> None:
        """Record how many requests the worker reports to be running."""
        self._policy.record_load_report(reported)

    def begin_instance(self) -> None:
        """Forget what was observed of an earlier instance of the worker."""
        self._policy.begin_instance()

    @contextmanager
    def hold_slot(self, ticket: Ticket) -> Iterator[None]:
        """Wait for a slot and hold it while the block runs.

        Raises `OverloadedError` once the ticket is shed, and
        `RunCancelledError` if it was cancelled before it was given a slot.
        """
        if ticket.is_cancelled:
            raise RunCancelledError(_CANCELLED)
        offered_ms = self._clock.now_ms()
        try:
            self._acquire(ticket)
            waited_ms = self._clock.now_ms() - offered_ms
            self.counters.record_admitted(ticket, waited_ms)
            yield
        finally:
            self._responding.discard(ticket)
            self._release(ticket)

    def release_slot(self, ticket: Ticket) -> None:
        """Release the slot of a ticket whose answer is still being sent."""
        if ticket.state is TicketState.RUNNING:
            self._responding.add(ticket)
            self._release(ticket)

    def cancel(self, ticket: Ticket) -> None:
        """Cancel a ticket; remove it from the queue if it waits there."""
        ticket.is_cancelled = True
        if ticket in self._queued:
            self._policy.release(ticket)
            self._pace_starts()

    def _acquire(self, ticket: Ticket) -> None:
        self._wait(ticket)
        if ticket.state is TicketState.RUNNING:
            return
        if ticket.is_cancelled:
            raise RunCancelledError(_CANCELLED)
        self.counters.record_shed(ticket)
        raise OverloadedError(ticket.retry_after_ms, ticket.shed_by_limit)

    def _release(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.RUNNING:
            self.counters.record_released(ticket)
        self._policy.release(ticket)
        self._pace_starts()

    def _wait(self, ticket: Ticket) -> None:
        self._policy.offer(ticket)
        if ticket.state is TicketState.WAITING:
            self._queued.add(ticket)
            self._pace_starts()
            try:
                self._wait_until_settled(ticket)
            finally:
                self._queued.discard(ticket)

    def _wait_until_settled(self, ticket: Ticket) -> None:
        settled = Event()
        ticket.on_settled = settled.send
        left_ms = max(ticket.deadline_ms - self._clock.now_ms(), 0)
        with Timeout(left_ms / MS_PER_SECOND, False):
            settled.wait()
            return
        self._policy.release(ticket)

    def _next_start_in_ms(self) -> int | None:
        return self._policy.next_start_in_ms

    def _pace_starts(self) -> None:
        """Start tickets in time that wait for the rate limit, not a slot."""
        if not self._is_pacing and self._next_start_in_ms() is not None:
            self._is_pacing = True
            start(self._dispatch_when_due)

    def _dispatch_when_due(self) -> None:
        try:
            for delay_ms in iter(self._next_start_in_ms, None):
                sleep(delay_ms / MS_PER_SECOND)
                self._policy.dispatch()
        finally:
            self._is_pacing = False
