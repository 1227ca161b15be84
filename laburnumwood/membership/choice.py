"""Choice of nodes by rendezvous hashing, spread over failure domains.

Rendezvous hashing: D. G. Thaler and C. V. Ravishankar, "Using name-based
mappings to increase hit rates", 1998.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from xxhash import xxh3_64_intdigest

from laburnumwood.records import NodeName, NodeRecord

WITNESS_COUNTS = (5, 3, 1)


def rendezvous_order(key: str, names: Iterable[NodeName]) -> list[NodeName]:
    """Return names in the order of their rendezvous hashes for a key.

    Every node computes the same order; different keys have different ones.
    """
    return sorted(
        names, key=lambda name: xxh3_64_intdigest(f'{key} {name}'.encode())
    )


def _select_up_to(
    order: Iterable[NodeName],
    nodes: Mapping[NodeName, NodeRecord],
    count: int,
    max_per_domain: int,
) -> list[NodeName]:
    domain_counts: Counter[str] = Counter()
    chosen: list[NodeName] = []
    for name in order:
        domain = nodes[name].failure_domain
        if len(chosen) < count and domain_counts[domain] < max_per_domain:
            domain_counts[domain] += 1
            chosen.append(name)
    return chosen


def spread_over_domains(
    order: list[NodeName], nodes: Mapping[NodeName, NodeRecord], count: int
) -> tuple[NodeName, ...]:
    """Return the first `count` names, spread evenly over failure domains.

    A domain gets a second name only if there are too few domains, and so on.
    Returns fewer names if `order` has fewer.
    """
    for max_per_domain in range(1, count + 1):
        chosen = _select_up_to(order, nodes, count, max_per_domain)
        if len(chosen) == count:
            return tuple(chosen)
    return tuple(order[:count])


def witness_count(nodes: int) -> int:
    """Return the number of witnesses of a node in a fleet of `nodes` nodes."""
    return next(count for count in WITNESS_COUNTS if count <= max(nodes, 1))


def choose_witnesses(
    holder: NodeName, nodes: Mapping[NodeName, NodeRecord]
) -> tuple[NodeName, ...]:
    """Return the witnesses for a holder's lease, chosen from live nodes.

    `nodes` maps the names under which nodes witness to their records.  The
    holder itself is chosen last, but is the only witness in a fleet too small
    for a majority without it.
    """
    return replace_witnesses(holder, (), nodes)


def replace_witnesses(
    holder: NodeName,
    current: Iterable[NodeName],
    nodes: Mapping[NodeName, NodeRecord],
) -> tuple[NodeName, ...]:
    """Return witnesses for a lease, keeping as many current ones as possible.

    See `choose_witnesses` for `nodes` and for the place of the holder.
    """
    count = witness_count(len(nodes))
    current_names = set(current)
    order = rendezvous_order(f'witness {holder}', nodes)
    order.sort(
        key=lambda name: (
            name not in current_names,
            name.node_id == holder.node_id,
        )
    )
    if count == 1:
        holder_only = [name for name in nodes if name.node_id == holder.node_id]
        return tuple(holder_only)
    return spread_over_domains(order, nodes, count)
