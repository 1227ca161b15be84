"""Counters of the requests that were admitted and shed."""

from dataclasses import dataclass, field

from laburnumwood.admission.tickets import Ticket
from laburnumwood.clock import Clock


@dataclass(slots=True)
class ClassCounts:
    """The requests of one traffic class in an interval, and their times.

    Times are sums in ms: of the waits of admitted requests for their slots,
    of the times from a start to the head of the answer, and of the times for
    which released slots were held.
    """

    admitted: int = 0
    shed: int = 0
    answered: int = 0
    released: int = 0
    waited_ms: int = 0
    to_head_ms: int = 0
    held_ms: int = 0

    def summary(self) -> dict[str, int]:
        """Return the counts and the mean times in ms."""
        return {
            'let_in': self.admitted,
            'shed': self.shed,
            'wait_ms': self.waited_ms // max(1, self.admitted),
            'head_ms': self.to_head_ms // max(1, self.answered),
            'slot_ms': self.held_ms // max(1, self.released),
        }


@dataclass(frozen=True, slots=True)
class AdmissionSummary:
    """The requests of one interval.

    `busy` is the mean number of busy slots, `classes` the counts of each
    traffic class by its name.
    """

    busy: float
    classes: dict[str, ClassCounts] = field(default_factory=dict)

    @property
    def admitted(self) -> int:
        """Return the number of admitted requests."""
        return sum(each.admitted for each in self.classes.values())

    @property
    def shed(self) -> int:
        """Return the number of shed requests."""
        return sum(each.shed for each in self.classes.values())

    @property
    def is_empty(self) -> bool:
        """Return whether no request arrived or ran in the interval."""
        return not (self.busy or self.classes)


class AdmissionCounters:
    """Counts requests in the interval since the last `collect`."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running = 0
        self._busy_ms = 0
        self._classes: dict[str, ClassCounts] = {}
        self._interval_start_ms = clock.now_ms()
        self._updated_ms = self._interval_start_ms

    def record_admitted(self, ticket: Ticket, waited_ms: int) -> None:
        """Count a request that was given a slot after a wait."""
        self._advance()
        self._running += 1
        counts = self._counts(ticket)
        counts.admitted += 1
        counts.waited_ms += waited_ms

    def record_released(self, ticket: Ticket) -> None:
        """Count a request that released its slot."""
        self._advance()
        self._running -= 1
        counts = self._counts(ticket)
        counts.released += 1
        counts.held_ms += self._updated_ms - ticket.started_ms
        if ticket.answered_ms is not None:
            counts.answered += 1
            counts.to_head_ms += ticket.answered_ms - ticket.started_ms

    def record_shed(self, ticket: Ticket) -> None:
        """Count a request that was shed."""
        self._counts(ticket).shed += 1

    def collect(self) -> AdmissionSummary:
        """Return the counts of the interval and start the next one."""
        self._advance()
        span_ms = max(1, self._updated_ms - self._interval_start_ms)
        summary = AdmissionSummary(self._busy_ms / span_ms, self._classes)
        self._busy_ms = 0
        self._classes = {}
        self._interval_start_ms = self._updated_ms
        return summary

    def _counts(self, ticket: Ticket) -> ClassCounts:
        return self._classes.setdefault(
            ticket.traffic_class.name, ClassCounts()
        )

    def _advance(self) -> None:
        now_ms = self._clock.now_ms()
        self._busy_ms += self._running * (now_ms - self._updated_ms)
        self._updated_ms = now_ms
