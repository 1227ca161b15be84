"""Nodes that get no requests for a while if there are others."""

from collections.abc import Container, Mapping

from laburnumwood.clock import Clock
from laburnumwood.records import NodeName, NodeRecord

AVOID_MS = 1_000
ALL_RANKS = -1  # also the rank of requests without one


def _without(
    nodes: Mapping[NodeName, NodeRecord], excluded: Container[NodeName]
) -> Mapping[NodeName, NodeRecord]:
    return {
        name: record for name, record in nodes.items() if name not in excluded
    }


class AvoidedNodes:
    """Nodes that failed or shed requests lately, by rank.

    A node that shed a request may have room for a more urgent one; rank 0 is
    the most urgent.  A node that failed is avoided for `ALL_RANKS`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Keyed by node and the most urgent rank that avoids it.
        self._until_ms: dict[tuple[NodeName, int], int] = {}

    def avoid(self, target: NodeName, duration_ms: int, rank: int) -> None:
        """Avoid a node for requests that are not more urgent than `rank`."""
        now_ms = self._clock.now_ms()
        self._drop_ended(now_ms)
        self._until_ms[target, rank] = now_ms + duration_ms

    def usable(
        self, nodes: Mapping[NodeName, NodeRecord], rank: int
    ) -> Mapping[NodeName, NodeRecord]:
        """Return the nodes to choose from for a request of a rank.

        If all are avoided, these are the nodes that only shed requests, which
        may have room again.  If all failed, it is the one whose time ends
        first.
        """
        avoided = self._avoided(rank)
        if not avoided:
            return nodes
        usable = _without(nodes, avoided)
        if usable or not nodes:
            return usable
        failed = self._avoided(ALL_RANKS)
        first = min(nodes, key=lambda name: (failed.get(name, 0), name))
        return _without(nodes, failed) or {first: nodes[first]}

    def _avoided(self, rank: int) -> dict[NodeName, int]:
        """Return the nodes to avoid for a rank, with the end time in ms."""
        if not self._until_ms:
            return {}
        now_ms = self._clock.now_ms()
        until_by_node: dict[NodeName, int] = {}
        for (name, least_rank), until_ms in self._until_ms.items():
            if until_ms > now_ms and least_rank <= rank:
                until_by_node[name] = max(until_ms, until_by_node.get(name, 0))
        return until_by_node

    def _drop_ended(self, now_ms: int) -> None:
        self._until_ms = {
            avoided: until_ms
            for avoided, until_ms in self._until_ms.items()
            if until_ms > now_ms
        }
