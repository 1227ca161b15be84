"""A bounded queue that is fair to keys and weights classes of traffic.

Classes share the time of the slots by weight, as in start-time fair queueing
(P. Goyal, H. M. Vin and H. Cheng, 1996): a request is charged the mean time for
which its class keeps a slot.  Within a class the key with the fewest running
requests is served next, and keys with equally many are served in turn; deficit
round robin would have to know the cost of a request in advance.  A full queue
drops from the class with the most waiting tickets relative to its weight, and
there from the key with the most waiting tickets, as in P. E. McKenney,
"Stochastic fairness queueing", 1990.
"""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import chain

from laburnumwood.admission.tickets import Ticket, TrafficClass


@dataclass(slots=True)
class ClassQueue:
    """The waiting tickets of one class, by key and in turn."""

    weight: int
    start_tag: float = 0
    keys: dict[str, deque[Ticket]] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return sum(len(waiting) for waiting in self.keys.values())

    @property
    def excess(self) -> float:
        """Return how many tickets wait beyond the first, divided by weight.

        Not counting the first one leaves each class at least one place.
        """
        return (len(self) - 1) / self.weight

    def longest(self, added: Ticket) -> deque[Ticket]:
        """Return the tickets of the key that has most of them."""
        # Among keys with equally many tickets, the key of the added ticket is
        # chosen, or else the one that is last in turn.
        return max(
            reversed(self.keys.values()),
            key=lambda tickets: (len(tickets), tickets[-1] is added),
        )

    def pop(self, key: str) -> Ticket:
        """Remove and return the first ticket of a key."""
        waiting = self.keys.pop(key)
        ticket = waiting.popleft()
        if waiting:
            self.keys[key] = waiting  # now last in turn
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket."""
        waiting = self.keys[ticket.key]
        waiting.remove(ticket)
        if not waiting:
            self.keys.pop(ticket.key)


def _same_cost(_class_name: str) -> float:
    return 1


class FairQueue:
    """Waiting tickets, at most `capacity()` of them.

    `cost_of` returns for how long a ticket of a class keeps its slot, in any
    unit.
    """

    def __init__(
        self,
        capacity: Callable[[], int],
        cost_of: Callable[[str], float] = _same_cost,
    ) -> None:
        self._capacity = capacity
        self._cost_of = cost_of
        self._classes: dict[str, ClassQueue] = {}
        self._length = 0
        self._virtual_time: float = 0

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return self._length

    def has_room(self, key: str, weight: int) -> bool:
        """Return whether a key occupies less than its share of the queue.

        The share of a key is half the capacity; its tickets of classes with
        less than `weight` do not count.  Tickets without a key may occupy the
        whole queue; adding one to a full queue removes another.
        """
        if not key:
            return True
        queued = sum(
            len(each.keys.get(key, ()))
            for each in self._classes.values()
            if each.weight >= weight
        )
        return queued < max(1, self._capacity() // 2)

    def count_ahead_of(
        self, key: str, traffic_class: TrafficClass
    ) -> dict[str, float]:
        """Return how many would be served before a new ticket, by class."""
        name = traffic_class.name
        in_class = self._count_in_class(key, traffic_class)
        ahead: dict[str, float] = {name: in_class}
        turn = (in_class + 1) * self._cost_of(name) / traffic_class.weight
        for other_name, other in self._classes.items():
            if other_name != name:
                share = turn * other.weight // self._cost_of(other_name)
                ahead[other_name] = min(len(other), share)
        return ahead

    def _count_in_class(self, key: str, traffic_class: TrafficClass) -> int:
        class_queue = self._classes.get(traffic_class.name)
        if class_queue is None:
            return 0
        round_count = len(class_queue.keys.get(key, ())) + 1
        return sum(
            min(len(each), round_count) for each in class_queue.keys.values()
        )

    def put(self, ticket: Ticket) -> Ticket | None:
        """Add a ticket; return the one that was removed for it, if any.

        The ticket that is removed may be the added one itself.
        """
        class_queue = self._classes.get(ticket.traffic_class.name)
        if class_queue is None:
            class_queue = ClassQueue(ticket.traffic_class.weight)
            self._classes[ticket.traffic_class.name] = class_queue
        if not class_queue.keys:
            class_queue.start_tag = max(
                class_queue.start_tag, self._virtual_time
            )
        class_queue.weight = ticket.traffic_class.weight
        class_queue.keys.setdefault(ticket.key, deque()).append(ticket)
        self._length += 1
        if self._length <= self._capacity():
            return None
        victim = self._eviction_candidate(ticket)
        self.remove(victim)
        return victim

    def pop(self, running: Counter[str]) -> Ticket:
        """Remove and return the next ticket.

        `running` is the number of running requests of each key.
        """
        waiting = [name for name, each in self._classes.items() if each.keys]
        name = min(waiting, key=lambda each: self._classes[each].start_tag)
        next_class = self._classes[name]
        self._virtual_time = next_class.start_tag
        self._length -= 1
        key = self._next_key(next_class, running)
        ticket = self._take(next_class, key)
        cost = self._cost_of(ticket.time_class)
        next_class.start_tag += cost / next_class.weight
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting ticket."""
        self._classes[ticket.traffic_class.name].remove(ticket)
        self._length -= 1

    def tickets(self) -> list[Ticket]:
        """Return all waiting tickets."""
        by_key = [
            tickets
            for each in self._classes.values()
            for tickets in each.keys.values()
        ]
        return list(chain.from_iterable(by_key))

    def _eviction_candidate(self, added: Ticket) -> Ticket:
        """Return the ticket to remove after `added` overfilled the queue."""
        largest = max(self._classes.values(), key=lambda each: each.excess)
        return largest.longest(added)[-1]

    def _next_key(self, class_queue: ClassQueue, running: Counter[str]) -> str:
        """Return the key with the fewest running requests."""
        return min(class_queue.keys, key=lambda key: running[key])

    def _take(self, class_queue: ClassQueue, key: str) -> Ticket:
        """Remove and return the next ticket of a class and key."""
        return class_queue.pop(key)
