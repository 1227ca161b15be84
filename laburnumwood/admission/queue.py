"""A bounded queue that is fair to keys and weighs classes of traffic.

Classes share by weight as in start-time fair queueing (P. Goyal, H. M. Vin
and H. Cheng, 1996).  Among the keys of a class the one with the fewest
requests in slots is next, in turn where they are equal: deficit round robin
would have to know the cost of a request beforehand.  A full queue drops from
the class that has most waiting for its weight, and there from the longest line,
as in P. E. McKenney, "Stochastic fairness queueing", 1990.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from laburnumwood.admission.tickets import Ticket, TrafficClass


@dataclass(slots=True)
class _Class:
    weight: int
    served: float = 0
    keys: dict[str, deque[Ticket]] = field(default_factory=dict)

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self.keys.values())

    @property
    def excess(self) -> float:
        """Return how many wait beyond the one that may, by weight."""
        return (len(self) - 1) / self.weight

    def newest_of_longest(self, added: Ticket) -> Ticket:
        """Return who leaves for the ticket that was added last."""
        # Of equal lines it is that of the ticket itself, or the last in turn.
        longest = max(
            reversed(self.keys.values()),
            key=lambda line: (len(line), line[-1] is added),
        )
        return longest[-1]

    def next_key(self, running: Counter[str]) -> str:
        return min(self.keys, key=lambda key: running[key])

    def take(self, key: str) -> Ticket:
        waiting = self.keys.pop(key)
        ticket = waiting.popleft()
        if waiting:
            self.keys[key] = waiting  # last in turn now
        return ticket

    def drop(self, ticket: Ticket) -> None:
        waiting = self.keys[ticket.key]
        waiting.remove(ticket)
        if not waiting:
            self.keys.pop(ticket.key)


class FairQueue:
    """Tickets that wait, at most `capacity` of them."""

    def __init__(self, capacity: Callable[[], int]) -> None:
        self._capacity = capacity
        self._classes: dict[str, _Class] = {}
        self._length = 0
        self._now_served: float = 0

    def __len__(self) -> int:
        """Return how many tickets wait."""
        return self._length

    def has_room(self, key: str) -> bool:
        """Tell whether a key fills less than its share of the queue.

        The share of a key is half of it.  What has no key may fill it all, and
        then something has to leave for it.
        """
        if not key:
            return True
        own = sum(
            len(each.keys.get(key, ())) for each in self._classes.values()
        )
        return own < max(1, self._capacity() // 2)

    def count_ahead_of(self, key: str, traffic_class: TrafficClass) -> int:
        """Return how many would be served before a new ticket of a key."""
        joined = self._classes.get(
            traffic_class.name, _Class(traffic_class.weight)
        )
        turns = len(joined.keys.get(key, ())) + 1
        same = sum(min(len(each), turns) for each in joined.keys.values())
        others = 0
        for name, other in self._classes.items():
            if name != traffic_class.name:
                share = (same + 1) * other.weight // traffic_class.weight
                others += min(len(other), share)
        return same + others

    def put(self, ticket: Ticket) -> Ticket | None:
        """Add a ticket; return the one that had to leave for it, if any."""
        joined = self._classes.get(ticket.traffic_class.name)
        if joined is None:
            joined = _Class(ticket.traffic_class.weight)
            self._classes[ticket.traffic_class.name] = joined
        if not joined.keys:
            joined.served = max(joined.served, self._now_served)
        joined.weight = ticket.traffic_class.weight
        joined.keys.setdefault(ticket.key, deque()).append(ticket)
        self._length += 1
        if self._length <= self._capacity():
            return None
        most = max(self._classes.values(), key=lambda each: each.excess)
        victim = most.newest_of_longest(ticket)
        self.remove(victim)
        return victim

    def pop(self, running: Counter[str]) -> Ticket:
        """Return the ticket that is next, given what keys have in slots."""
        waiting = [each for each in self._classes.values() if each.keys]
        first = min(waiting, key=lambda each: each.served)
        self._now_served = first.served
        first.served += 1 / first.weight
        self._length -= 1
        return first.take(first.next_key(running))

    def remove(self, ticket: Ticket) -> None:
        """Take a waiting ticket out."""
        self._classes[ticket.traffic_class.name].drop(ticket)
        self._length -= 1

    def with_deadline_before(self, latest_ms: int) -> list[Ticket]:
        """Return the tickets whose deadline is before a moment."""
        return [
            ticket
            for line in self._lines()
            for ticket in line
            if ticket.deadline_ms < latest_ms
        ]

    def _lines(self) -> Iterator[deque[Ticket]]:
        for each in self._classes.values():
            yield from each.keys.values()
