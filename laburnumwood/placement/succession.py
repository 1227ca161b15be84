"""Choice of the successors of an owner, and of who claims orphaned shards."""

from collections.abc import Mapping
from functools import lru_cache

from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.records import (
    NodeName,
    NodeRecord,
    ShardName,
    ShardRecord,
)

SUCCESSORS = 2
_ORDER_CACHE_SIZE = 4


def _other_domains_first(
    owner: NodeName, order: list[NodeName], nodes: Mapping[NodeName, NodeRecord]
) -> list[NodeName]:
    own_domain = nodes[owner].failure_domain if owner in nodes else ''
    return sorted(
        order, key=lambda name: nodes[name].failure_domain == own_domain
    )


def choose_succession(
    shard: ShardName, owner: NodeName, nodes: Mapping[NodeName, NodeRecord]
) -> tuple[NodeName, ...]:
    """Return the owner and its successors among the live nodes of a service.

    The first successor is in another failure domain if there is one.
    """
    others = [name for name in nodes if name != owner]
    order = rendezvous_order(f'successor {shard}', others)
    return (owner, *_other_domains_first(owner, order, nodes)[:SUCCESSORS])


def needs_new_succession(
    owner: NodeName,
    succession: tuple[NodeName, ...],
    nodes: Mapping[NodeName, NodeRecord],
) -> bool:
    """Return whether the owner should write a new succession."""
    if succession[0] != owner:
        return True
    live = [name for name in succession[1:] if name in nodes]
    possible = min(SUCCESSORS, len(set(nodes).difference((owner,))))
    return len(live) < possible


def find_first_owner(
    record: ShardRecord, nodes: Mapping[NodeName, NodeRecord]
) -> NodeName | None:
    """Return the live incarnation of the node that a record names first."""
    node_id = record.succession[0].node_id
    return next((name for name in nodes if name.node_id == node_id), None)


def find_restarted_owner(
    record: ShardRecord, nodes: Mapping[NodeName, NodeRecord]
) -> NodeName | None:
    """Return the node that a record names first if its process restarted.

    A process that only lost its lease and joined again does not count: it may
    still be cut off.
    """
    owner = find_first_owner(record, nodes)
    if owner is None or nodes[owner].witness_as != owner.incarnation:
        return None
    return owner


@lru_cache(_ORDER_CACHE_SIZE)
def _order_of(service: str, names: tuple[NodeName, ...]) -> list[NodeName]:
    return rendezvous_order(service, names)


def choose_claimant(
    shard: ShardName,
    record: ShardRecord | None,
    nodes: Mapping[NodeName, NodeRecord],
) -> NodeName:
    """Return the node that should claim a shard that has no owner.

    This is the node of the last owner if it is live again: its worker may
    still have the data of the keys.
    """
    returned = find_first_owner(record, nodes) if record else None
    if returned is not None:
        return returned
    # Neighbouring shards go to different nodes, and each gets as many.
    order = _order_of(shard.service, tuple(nodes))
    return order[shard.number % len(order)]
