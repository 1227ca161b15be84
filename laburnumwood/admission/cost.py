"""What it costs callers that one request is delayed or turned away."""

from dataclasses import dataclass

from laburnumwood.admission.tickets import Ticket

# What an answer after its objective is worth of one in time.
_LATE_SHARE = 0.3
# The run that waits for a call is lost with it, and took longer until then.
_CALL_FACTOR = 4


@dataclass(frozen=True, slots=True)
class Prospect:
    """When a ticket would be answered if it started now.

    `work_ms` is the time for which it is expected to keep its slot.
    """

    ticket: Ticket
    answered_ms: float
    work_ms: float

    @property
    def is_useful(self) -> bool:
        """Return whether the answer would come within the objective."""
        return self.answered_ms <= self.ticket.useful_until_ms

    @property
    def rejection_cost(self) -> float:
        """Return what callers lose by each ms that a rejection frees."""
        ticket = self.ticket
        if self.answered_ms > ticket.deadline_ms:
            return 0
        benefit = float(ticket.traffic_class.weight)
        benefit *= 1 if self.is_useful else _LATE_SHARE
        benefit *= _CALL_FACTOR if ticket.is_call else 1
        return benefit / max(1, self.work_ms)

    @property
    def turn(self) -> tuple[bool, int]:
        """Return a key that sorts tickets of equal claim: lowest first."""
        return not self.is_useful, self.ticket.useful_until_ms
