"""Admission that delays and turns away what costs callers least."""

from collections import Counter
from collections.abc import Callable

from laburnumwood.admission.control import AdaptivePolicy, admission_policy
from laburnumwood.admission.cost import Prospect
from laburnumwood.admission.queue import ClassQueue, FairQueue
from laburnumwood.admission.tickets import Ticket

LEAST_COST = 'least-cost'  # the name of the policy


class LeastCostQueue(FairQueue):
    """A fair queue that drops what costs least, and starts the useful first.

    `prospect_of` returns the prospect of a ticket if it started now.
    """

    def __init__(
        self,
        capacity: Callable[[], int],
        cost_of: Callable[[str], float],
        prospect_of: Callable[[Ticket], Prospect],
    ) -> None:
        super().__init__(capacity, cost_of)
        self._prospect_of = prospect_of

    def _eviction_candidate(self, added: Ticket) -> Ticket:
        # A class with a single ticket keeps it.
        candidates = [
            ticket
            for each in self._classes.values()
            if len(each) > 1
            for ticket in reversed(each.longest(added))
        ]
        return min(candidates or [added], key=self._rejection_cost)

    def _next_key(self, class_queue: ClassQueue, running: Counter[str]) -> str:
        waiting = class_queue.keys
        return min(
            waiting,
            key=lambda each: (running[each], self._turn(waiting[each][0])),
        )

    def _take(self, class_queue: ClassQueue, key: str) -> Ticket:
        waiting = class_queue.keys[key]
        if len(waiting) > 1:
            first = min(waiting, key=self._turn)
            waiting.remove(first)
            waiting.appendleft(first)
        return super()._take(class_queue, key)

    def _rejection_cost(self, ticket: Ticket) -> float:
        return self._prospect_of(ticket).rejection_cost

    def _turn(self, ticket: Ticket) -> tuple[bool, int]:
        return self._prospect_of(ticket).turn


@admission_policy(LEAST_COST)
class LeastCostPolicy(AdaptivePolicy):
    """The adaptive policy with the order of least cost."""

    def _make_queue(self, capacity: Callable[[], int]) -> FairQueue:
        return LeastCostQueue(capacity, self._slot_ms, self._prospect)

    def _prospect(self, ticket: Ticket) -> Prospect:
        name = ticket.time_class
        answered_ms = self._clock.now_ms() + self._latencies.mean_of(name)
        return Prospect(ticket, answered_ms, self._slot_ms(name))
