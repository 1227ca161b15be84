"""What a node believes of the load of others, by reports that fade."""

from collections.abc import Mapping
from dataclasses import dataclass

from laburnumwood.clock import Clock
from laburnumwood.decay import weight_of_age
from laburnumwood.records import NodeName

REPORT_HALF_LIFE_MS = 3_000
_FORGET_MS = 30_000


@dataclass(frozen=True, slots=True)
class LoadState:
    """The load of a node: requests in flight, and work a second by shard.

    Work is counted in slots, so that a rate of 2 keeps two slots busy.
    """

    running: int
    shards: Mapping[int, float]


@dataclass(frozen=True, slots=True)
class _Noted:
    state: LoadState
    when_ms: int


class LoadReports:
    """The newest load known of each node."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._noted: dict[NodeName, _Noted] = {}

    def record(self, name: NodeName, state: LoadState) -> None:
        """Take in the report of a node."""
        now_ms = self._clock.now_ms()
        self._noted[name] = _Noted(state, now_ms)
        old = [
            known
            for known, noted in self._noted.items()
            if now_ms - noted.when_ms > _FORGET_MS
        ]
        for known in old:
            self._noted.pop(known)

    def weight(self, name: NodeName) -> float:
        """Return how much the report of a node counts, from 1 down to 0."""
        noted = self._noted.get(name)
        if noted is None:
            return 0
        age_ms = self._clock.now_ms() - noted.when_ms
        return weight_of_age(age_ms, REPORT_HALF_LIFE_MS)

    def running(self, name: NodeName) -> float:
        """Return the requests in flight on a node, less as reports age."""
        noted = self._noted.get(name)
        return noted.state.running * self.weight(name) if noted else 0

    def shards(self, name: NodeName) -> Mapping[int, float]:
        """Return the last known work a second of a node's shards."""
        noted = self._noted.get(name)
        return noted.state.shards if noted else {}

    def is_known(self, name: NodeName) -> bool:
        """Tell whether a node has reported lately."""
        return name in self._noted
