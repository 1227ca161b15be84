"""Who may act for a shard, decided from its record and the seals."""

from enum import Enum
from typing import Protocol

from laburnumwood.records import NodeName, ShardName, ShardRecord

_RANKS = 8  # more than the places of a succession


class Seals(Protocol):
    """What has to be known of lapsed leases."""

    def is_sealed(self, holder: NodeName) -> bool:
        """Tell whether an incarnation has lapsed for ever."""

    def floor(self, holder: NodeName, shard: ShardName) -> int:
        """Return the least epoch that a sealed holder may have written."""


class OwnershipState(Enum):
    """How a node stands to a shard."""

    OWNER = 'owner'
    MUST_WRITE = 'must win a write first'
    ORPHANED = 'all of the succession have lapsed'
    NOT_OWNER = 'another node is owner'


def acting_owner(record: ShardRecord, seals: Seals) -> NodeName | None:
    """Return the first of a succession that is not sealed."""
    return next(
        (name for name in record.succession if not seals.is_sealed(name)),
        None,
    )


def succession_rank(record: ShardRecord, name: NodeName) -> int:
    """Return the place of a node in a succession, from zero."""
    return record.succession.index(name)


def fencing_token(record: ShardRecord, name: NodeName) -> int:
    """Return the fencing token of an acting node; it rises with every owner."""
    return record.epoch * _RANKS + succession_rank(record, name)


def highest_floor(
    shard: ShardName, record: ShardRecord, name: NodeName, seals: Seals
) -> int:
    """Return the highest floor among those before a node."""
    before = record.succession[: succession_rank(record, name)]
    return max((seals.floor(each, shard) for each in before), default=0)


def ownership_state(
    shard: ShardName, record: ShardRecord, name: NodeName, seals: Seals
) -> OwnershipState:
    """Return how a node stands to a shard.

    A successor whose record is older than a floor that the lapsed owners may
    have written under is not owner yet: a newer record may be on its way.
    """
    first = acting_owner(record, seals)
    if first is None:
        return OwnershipState.ORPHANED
    if first != name:
        return OwnershipState.NOT_OWNER
    if highest_floor(shard, record, name, seals) > record.epoch:
        return OwnershipState.MUST_WRITE
    return OwnershipState.OWNER
