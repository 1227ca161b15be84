"""The load of other nodes, by reports whose weight decays with age."""

from collections.abc import Mapping
from dataclasses import dataclass

from laburnumwood.clock import Clock
from laburnumwood.decay import weight_of_age
from laburnumwood.placement.worker_notices import WorkerNotices
from laburnumwood.records import NodeName

REPORT_HALF_LIFE_MS = 3_000
_EVICTION_AGE_MS = 30_000


@dataclass(frozen=True, slots=True)
class LoadState:
    """The load of a node: its requests in flight, and the work of its shards.

    The work of a shard is the number of slots that it keeps busy.
    """

    running: int
    shards: Mapping[int, float]


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    state: LoadState
    received_ms: int


class LoadReports:
    """The newest load report of each node, and the notices of the workers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received: dict[NodeName, _ReceivedReport] = {}
        self.notices = WorkerNotices(clock)

    def record(self, name: NodeName, state: LoadState) -> None:
        """Record the report of a node, and evict old reports of others."""
        now_ms = self._clock.now_ms()
        self._received[name] = _ReceivedReport(state, now_ms)
        old = [
            known
            for known, report in self._received.items()
            if now_ms - report.received_ms > _EVICTION_AGE_MS
        ]
        for known in old:
            self._received.pop(known)

    def weight(self, name: NodeName) -> float:
        """Return how much the report of a node counts, from 1 down to 0."""
        report = self._received.get(name)
        if report is None:
            return 0
        age_ms = self._clock.now_ms() - report.received_ms
        return weight_of_age(age_ms, REPORT_HALF_LIFE_MS)

    def running(self, name: NodeName) -> float:
        """Return the requests in flight on a node, scaled by the weight."""
        report = self._received.get(name)
        return report.state.running * self.weight(name) if report else 0

    def shards(self, name: NodeName) -> Mapping[int, float]:
        """Return the slots that each shard of a node keeps busy, if known."""
        report = self._received.get(name)
        return report.state.shards if report else {}

    def is_known(self, name: NodeName) -> bool:
        """Return whether a report of a node is kept."""
        return name in self._received
