"""The number of shards of a service, decided once by its first nodes.

The number of shards and the width of stripes are written into the record of
each shard.  While no record says what they are, only the first shard may be
created, so that all nodes adopt the values that the store accepted.
"""

from collections.abc import Set

from laburnumwood.clock import Clock
from laburnumwood.config.declarations import Service
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.sharding import planned_shards, planned_width
from laburnumwood.records import NodeName

FIRST_SHARD = 0  # the shard whose record is created before all others
# How long the nodes must stay the same before the number of shards is decided.
_STABLE_MS = 1_500

_NO_NODES: Set[NodeName] = frozenset()


class Partitioning:
    """What one node knows of the partitioning of its service."""

    def __init__(self, service: str, view: FleetView, clock: Clock) -> None:
        self._service = service
        self._view = view
        self._clock = clock
        self._nodes = _NO_NODES
        self._same_since_ms = 0

    @property
    def is_undecided(self) -> bool:
        """Return whether the number of shards has yet to be recorded."""
        declared = self._declared
        if declared is None or declared.shards_per_node is None:
            return False
        return FIRST_SHARD not in self._view.directory.shards(self._service)

    def creatable_shards(self) -> range:
        """Return the numbers of the shards that may be created now."""
        if self.is_undecided:
            return range(FIRST_SHARD, FIRST_SHARD + int(self._is_stable()))
        return range(self._declared.shards if self._declared else 0)

    def shard_count(self) -> int:
        """Return the number of shards to put on record, 0 for none."""
        declared = self._declared
        if declared is None or declared.shards_per_node is None:
            return 0
        if self.is_undecided:
            return planned_shards(declared, len(self._live()))
        return declared.shards

    def stripe_width(self) -> int:
        """Return the width of stripes to put on record, 0 for none."""
        declared = self._declared
        if declared is None or declared.shards_per_node is None:
            return 0
        if self.is_undecided:
            return planned_width(declared, len(self._live()))
        return declared.stripe_width or 0

    @property
    def _declared(self) -> Service | None:
        return self._view.directory.declarations.services.get(self._service)

    def _live(self) -> Set[NodeName]:
        return self._view.serving_nodes(self._service).keys()

    def _is_stable(self) -> bool:
        now_ms, nodes = self._clock.now_ms(), self._live()
        if nodes != self._nodes:
            self._nodes, self._same_since_ms = nodes, now_ms
        return now_ms - self._same_since_ms >= _STABLE_MS
