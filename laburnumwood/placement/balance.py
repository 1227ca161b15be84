"""Policies that decide which shards move where."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial

from laburnumwood.records import NodeName

Shares = Mapping[NodeName, tuple[int, ...]]


@dataclass(frozen=True, slots=True)
class Move:
    """A shard's number, the owner that gives it up and the one to follow."""

    shard: int
    source: NodeName
    target: NodeName


Policy = Callable[[Shares], tuple[Move, ...]]
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a policy under a name."""

    def register(decide: Policy) -> Policy:
        POLICIES[name] = decide
        return decide

    return register


def _count_and_name(
    owned: Mapping[NodeName, list[int]], name: NodeName
) -> tuple[int, NodeName]:
    return len(owned[name]), name


@policy('never')
def never(_shares: Shares) -> tuple[Move, ...]:
    """Move nothing."""
    return ()


@policy('even-count')
def even_count(shares: Shares) -> tuple[Move, ...]:
    """Move as few shards as make their numbers differ by one at the most."""
    owned = {name: sorted(numbers) for name, numbers in shares.items()}
    moves: list[Move] = []
    while owned:
        by_count = sorted(owned, key=partial(_count_and_name, owned))
        least, most = by_count[0], by_count[-1]
        if len(owned[most]) - len(owned[least]) <= 1:
            break
        shard = owned[most].pop()
        owned[least].append(shard)
        moves.append(Move(shard, most, least))
    return tuple(moves)
