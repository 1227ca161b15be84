"""Choice of new owners for all shards of a node that is to have none."""

from collections.abc import Mapping

from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.placement.move_policy import Move, PlacementSnapshot
from laburnumwood.records import NodeName

# Candidates for a shard beside its successors.  Many nodes decide at once from
# the same loads, so each shard considers others.
_DRAWN_CANDIDATES = 2

Successions = Mapping[int, tuple[NodeName, ...]]  # by shard number


def _candidates(
    shard: int, succession: tuple[NodeName, ...], others: list[NodeName]
) -> list[NodeName]:
    successors = [name for name in succession if name in others]
    drawn = rendezvous_order(f'relocation {shard}', others)
    return [*successors, *drawn[:_DRAWN_CANDIDATES]]


def _busiest_first(snapshot: PlacementSnapshot) -> list[int]:
    own = snapshot.own
    return sorted(
        snapshot.shards_by_node[own],
        key=lambda shard: snapshot.utilization(shard, own),
        reverse=True,
    )


def relocate(
    snapshot: PlacementSnapshot, successions: Successions
) -> tuple[Move, ...]:
    """Return a move for each shard of the deciding node.

    Each goes to the candidate that would be least busy with it, the busiest
    shard first; of equal ones to a successor.  Without other nodes there are
    no moves.
    """
    own = snapshot.own
    others = [name for name in snapshot.shards_by_node if name != own]
    if not others:
        return ()
    added: dict[NodeName, float] = dict.fromkeys(others, 0)
    moves = []
    for shard in _busiest_first(snapshot):
        candidates = _candidates(shard, successions.get(shard, ()), others)
        usages = {
            name: snapshot.utilizations[name]
            + added[name]
            + snapshot.utilization(shard, name)
            for name in candidates
        }
        target = min(usages, key=usages.__getitem__)
        added[target] += snapshot.utilization(shard, target)
        moves.append(Move(shard, own, target, urgent=True))
    return tuple(moves)
