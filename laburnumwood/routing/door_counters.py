"""Counters of the requests that this door has answered."""

from collections import defaultdict
from dataclasses import asdict, dataclass

from laburnumwood.events import DOOR_LOAD
from laburnumwood.loop_delay import LOOP_DELAY
from laburnumwood.protocol.messages import Failure, Work
from laburnumwood.routing.pending_answer import PendingAnswer


@dataclass(slots=True)
class DoorCounts:
    """The requests of one service and rank in an interval.

    A request is served in time if the head of its answer came within the
    objective of its route.  `served_ms` and `refused_ms` are sums of the
    times from the arrival of a request to the head of its answer.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    served_ms: int = 0
    refused_ms: int = 0

    def summary(self) -> dict[str, int]:
        """Return the counts and the mean times in ms."""
        served = max(1, self.in_time + self.late)
        means = {
            'served_ms': self.served_ms // served,
            'refused_ms': self.refused_ms // max(1, self.refused),
        }
        return asdict(self) | means


class DoorCounters:
    """Counts requests in the interval since the last report."""

    def __init__(self) -> None:
        self._counts: dict[str, DoorCounts] = defaultdict(DoorCounts)

    def record(
        self, work: Work, answer: PendingAnswer | Failure, elapsed_ms: int
    ) -> None:
        """Count a request that is answered `elapsed_ms` after its arrival."""
        counts = self._counts[f'{work.service} {work.priority}']
        if isinstance(answer, Failure):
            counts.failed += answer.ran
            counts.refused += not answer.ran
            counts.refused_ms += 0 if answer.ran else elapsed_ms
            return
        is_late = bool(work.objective_ms) and elapsed_ms > work.objective_ms
        counts.late += is_late
        counts.in_time += not is_late
        counts.served_ms += elapsed_ms

    def report(self) -> None:
        """Log the counts since the last report, if there are any."""
        counts, self._counts = self._counts, defaultdict(DoorCounts)
        loop_ms = LOOP_DELAY.take_longest_ms()
        if counts:
            DOOR_LOAD.report(
                loop_ms=loop_ms,
                classes={name: each.summary() for name, each in counts.items()},
            )
