"""The tries of requests that are in flight at other nodes."""

from collections.abc import Hashable
from dataclasses import dataclass
from weakref import WeakSet

from laburnumwood.clock import Clock
from laburnumwood.records import NodeName


@dataclass(frozen=True, slots=True, eq=False, weakref_slot=True)
class Try:
    """A request that was sent to a node.

    `kind` names requests that take about as long.  `queueing` is by how much
    the work ahead of it was expected to prolong its time, at least 1.
    """

    target: NodeName
    rank: int
    kind: Hashable
    queueing: float
    started_ms: int


class TriesInFlight:
    """Counts the tries that have not ended, by node.

    A try that is dropped without an end counts no more either.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tries: dict[NodeName, WeakSet[Try]] = {}

    def count(self, node: NodeName) -> int:
        """Return the number of tries in flight at a node."""
        return len(self._tries.get(node, ()))

    def begin(
        self, target: NodeName, rank: int, kind: Hashable, queueing: float
    ) -> Try:
        """Return a new try, which counts until it ends."""
        begun = Try(target, rank, kind, queueing, self._clock.now_ms())
        self._tries.setdefault(target, WeakSet()).add(begun)
        return begun

    def end(self, ended: Try) -> None:
        """Stop counting a try; does nothing if it has ended."""
        tries = self._tries.get(ended.target)
        if tries is None:
            return
        tries.discard(ended)
        if not tries:
            self._tries.pop(ended.target)
