"""Tasks that wait until they are let in."""

from collections.abc import Iterator
from contextlib import contextmanager

from eventlet import Timeout
from eventlet.event import Event

from laburnumwood.admission.control import AdmissionPolicy
from laburnumwood.admission.counters import AdmissionCounters
from laburnumwood.admission.tickets import Ticket, TicketState
from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import OverloadedError, RunCancelledError

_GONE = 'nobody waits for it'


class Admitter:
    """Lets the tasks of requests wait for what an admission decides."""

    def __init__(self, admission: AdmissionPolicy, clock: Clock) -> None:
        self._admission = admission
        self._clock = clock
        self._queued: set[Ticket] = set()
        self._responding: set[Ticket] = set()
        self.counters = AdmissionCounters(clock)

    @property
    def running(self) -> int:
        """Return how many requests have a slot."""
        return self._admission.running

    @property
    def responding(self) -> int:
        """Return how many have given their slot back and not ended yet."""
        return len(self._responding)

    @property
    def waiting(self) -> int:
        """Return how many requests wait for one."""
        return self._admission.waiting

    @property
    def slot_ms(self) -> float:
        """Return for how long a request keeps a slot, by the last ones."""
        return self._admission.slot_ms

    def record_load_report(self, reported: int) -> None:
        """Take in how many requests the worker says it runs."""
        self._admission.record_load_report(reported)

    @contextmanager
    def hold_slot(self, ticket: Ticket) -> Iterator[None]:
        """Hold a slot for the ticket while the block runs.

        Raises `OverloadedError` as soon as it is clear that there is none, and
        `RunCancelledError` if the ticket was cancelled before it had one.
        """
        if ticket.is_cancelled:
            raise RunCancelledError(_GONE)
        try:
            self._enter(ticket)
            self.counters.record_admitted()
            yield
        finally:
            self._responding.discard(ticket)
            self._release(ticket)

    def release_slot(self, ticket: Ticket) -> None:
        """Give the slot of a ticket back while its answer still leaves."""
        if ticket.state is TicketState.RUNNING:
            self._responding.add(ticket)
            self._release(ticket)

    def cancel(self, ticket: Ticket) -> None:
        """Give up the place of a ticket that has no slot yet."""
        ticket.is_cancelled = True
        if ticket in self._queued:
            self._admission.release(ticket)

    def _enter(self, ticket: Ticket) -> None:
        self._wait(ticket)
        if ticket.state is TicketState.RUNNING:
            return
        if ticket.is_cancelled:
            raise RunCancelledError(_GONE)
        self.counters.record_shed()
        raise OverloadedError(ticket.retry_after_ms)

    def _release(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.RUNNING:
            self.counters.record_released()
        self._admission.release(ticket)

    def _wait(self, ticket: Ticket) -> None:
        self._admission.offer(ticket)
        if ticket.state is TicketState.WAITING:
            self._queued.add(ticket)
            try:
                self._await_settled(ticket)
            finally:
                self._queued.discard(ticket)

    def _await_settled(self, ticket: Ticket) -> None:
        settled = Event()
        ticket.on_settled = settled.send
        left_ms = max(ticket.deadline_ms - self._clock.now_ms(), 0)
        with Timeout(left_ms / MS_PER_SECOND, False):
            settled.wait()
            return
        self._admission.release(ticket)
