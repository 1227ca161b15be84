"""What it costs callers that one request is delayed or turned away."""

from dataclasses import dataclass

from laburnumwood.admission.tickets import Ticket

# The benefit of an answer after its objective, as a part of one in time.
_LATE_SHARE = 0.3
# A run of another worker waits for a call.  It is lost with the call, and so
# is the longer time that it has taken until then.
_CALL_FACTOR = 4


@dataclass(frozen=True, slots=True)
class Prospect:
    """When a ticket would be answered if it started now.

    `answered_ms` is a time of the clock, `work_ms` for how long the ticket is
    expected to keep its slot.
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
        """Return the benefit lost for each ms that a rejection frees."""
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
