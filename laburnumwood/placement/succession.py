"""Choice of who follows the owner of a shard, or takes one of nobody."""

from collections.abc import Mapping
from functools import lru_cache

from laburnumwood.membership.choice import rendezvous
from laburnumwood.records import (
    NodeName,
    NodeRecord,
    ShardName,
    ShardRecord,
)

SUCCESSORS = 2
_REMEMBERED_ORDERS = 4


def _by_distance(
    owner: NodeName, order: list[NodeName], nodes: Mapping[NodeName, NodeRecord]
) -> list[NodeName]:
    home = nodes[owner].failure_domain if owner in nodes else ''
    return sorted(order, key=lambda name: nodes[name].failure_domain == home)


def choose_succession(
    shard: ShardName, owner: NodeName, nodes: Mapping[NodeName, NodeRecord]
) -> tuple[NodeName, ...]:
    """Return the owner and its successors among the live nodes of a service.

    The first successor is in another failure domain where there is one.
    """
    others = [name for name in nodes if name != owner]
    order = rendezvous(f'successor {shard}', others)
    return (owner, *_by_distance(owner, order, nodes)[:SUCCESSORS])


def needs_new_succession(
    owner: NodeName,
    succession: tuple[NodeName, ...],
    nodes: Mapping[NodeName, NodeRecord],
) -> bool:
    """Tell whether a succession should be written anew."""
    if succession[0] != owner:
        return True
    live = [name for name in succession[1:] if name in nodes]
    possible = min(SUCCESSORS, len(set(nodes).difference((owner,))))
    return len(live) < possible


def find_first_owner(
    record: ShardRecord, nodes: Mapping[NodeName, NodeRecord]
) -> NodeName | None:
    """Return what the node of a shard's first owner is called now, if live."""
    node_id = record.succession[0].node_id
    return next((name for name in nodes if name.node_id == node_id), None)


def find_restarted_owner(
    record: ShardRecord, nodes: Mapping[NodeName, NodeRecord]
) -> NodeName | None:
    """Return the node of a shard's first owner if its process is a new one.

    A process that lost its lease and joined again may still be cut off.
    """
    home = find_first_owner(record, nodes)
    if home is None or nodes[home].witness_as != home.incarnation:
        return None
    return home


@lru_cache(_REMEMBERED_ORDERS)
def _order_of(service: str, names: tuple[NodeName, ...]) -> list[NodeName]:
    return rendezvous(service, names)


def choose_claimant(
    shard: ShardName,
    record: ShardRecord | None,
    nodes: Mapping[NodeName, NodeRecord],
) -> NodeName:
    """Return who is first to take a shard that belongs to nobody.

    The last owner's node if it is back: its worker may still have what the
    keys need.
    """
    back = find_first_owner(record, nodes) if record else None
    if back is not None:
        return back
    # Neighbouring shards go to different nodes, and each gets as many.
    order = _order_of(shard.service, tuple(nodes))
    return order[shard.number % len(order)]
