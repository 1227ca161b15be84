"""Choice of nodes by rendezvous hashing, spread over failure domains.

Rendezvous hashing: D. G. Thaler and C. V. Ravishankar, "Using name-based
mappings to increase hit rates", 1998.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from xxhash import xxh3_64_intdigest

from laburnumwood.records import NodeName, NodeRecord

WITNESS_COUNTS = (5, 3, 1)


def rendezvous_order(topic: str, names: Iterable[NodeName]) -> list[NodeName]:
    """Return names in an order that differs from topic to topic."""
    return sorted(
        names, key=lambda name: xxh3_64_intdigest(f'{topic} {name}'.encode())
    )


def _capped(
    order: Iterable[NodeName],
    nodes: Mapping[NodeName, NodeRecord],
    count: int,
    cap: int,
) -> list[NodeName]:
    used: Counter[str] = Counter()
    chosen: list[NodeName] = []
    for name in order:
        domain = nodes[name].failure_domain
        if len(chosen) < count and used[domain] < cap:
            used[domain] += 1
            chosen.append(name)
    return chosen


def spread_over_domains(
    order: list[NodeName], nodes: Mapping[NodeName, NodeRecord], count: int
) -> tuple[NodeName, ...]:
    """Return the first `count` names, as evenly over domains as can be."""
    for cap in range(1, count + 1):
        chosen = _capped(order, nodes, count, cap)
        if len(chosen) == count:
            return tuple(chosen)
    return tuple(order[:count])


def witness_count(nodes: int) -> int:
    """Return how many witnesses a node has in a fleet of so many nodes."""
    return next(count for count in WITNESS_COUNTS if count <= max(nodes, 1))


def choose_witnesses(
    holder: NodeName, nodes: Mapping[NodeName, NodeRecord]
) -> tuple[NodeName, ...]:
    """Return the witnesses of a holder among live nodes.

    `nodes` is by the names under which they witness.  The holder itself
    comes last, but is the only one in a fleet too small for a majority
    without it.
    """
    return replace_witnesses(holder, (), nodes)


def replace_witnesses(
    holder: NodeName,
    kept: Iterable[NodeName],
    nodes: Mapping[NodeName, NodeRecord],
) -> tuple[NodeName, ...]:
    """Return witnesses that keep as many as can be of those that stand."""
    count = witness_count(len(nodes))
    standing = set(kept)
    order = rendezvous_order(f'witness {holder}', nodes)
    order.sort(
        key=lambda name: (
            name not in standing,
            name.node_id == holder.node_id,
        )
    )
    if count == 1:
        own = [name for name in nodes if name.node_id == holder.node_id]
        return tuple(own)
    return spread_over_domains(order, nodes, count)
