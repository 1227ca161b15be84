"""Who may act for a shard, derived from its record and the seals."""

from enum import Enum
from typing import Protocol

from laburnumwood.records import NodeName, ShardName, ShardRecord

# Tokens per epoch; more than the members of a succession.
_TOKENS_PER_EPOCH = 8


class Seals(Protocol):
    """What has to be known of lapsed leases."""

    def is_sealed(self, holder: NodeName) -> bool:
        """Return whether an incarnation has lapsed for ever."""

    def floor(self, holder: NodeName, shard: ShardName) -> int:
        """Return the highest epoch that a lapsed holder may have written."""


class OwnershipState(Enum):
    """The relation of a node to a shard."""

    OWNER = 'owner'
    MUST_WRITE = 'must win a write first'
    ORPHANED = 'all of the succession have lapsed'
    NOT_OWNER = 'another node is owner'
    UNCONFIRMED = 'the record is of an earlier era of the store'


def acting_owner(record: ShardRecord, seals: Seals) -> NodeName | None:
    """Return the first node of a succession that is not sealed, if any."""
    return next(
        (name for name in record.succession if not seals.is_sealed(name)),
        None,
    )


def succession_rank(record: ShardRecord, name: NodeName) -> int:
    """Return the place of a node in a succession, from zero.

    Raises `ValueError` if it is not in the succession.
    """
    return record.succession.index(name)


def fencing_token(record: ShardRecord, name: NodeName) -> int:
    """Return the fencing token of a node that acts for a shard.

    Every later owner gets a higher token.
    """
    return record.epoch * _TOKENS_PER_EPOCH + succession_rank(record, name)


def first_epoch(least_token: int) -> int:
    """Return the first epoch in which all fencing tokens reach a given one."""
    return -(-least_token // _TOKENS_PER_EPOCH)


def highest_floor(
    shard: ShardName, record: ShardRecord, name: NodeName, seals: Seals
) -> int:
    """Return the highest floor of the nodes before one in a succession."""
    before = record.succession[: succession_rank(record, name)]
    return max((seals.floor(each, shard) for each in before), default=0)


def ownership_state(
    shard: ShardName, record: ShardRecord, name: NodeName, seals: Seals
) -> OwnershipState:
    """Return the relation of a node to a shard.

    If lapsed owners may have written a record with a higher epoch than this
    one, a newer record may exist that is not known here yet.  The successor
    must then replace the record by a write that succeeds before it is owner.
    """
    acting = acting_owner(record, seals)
    if acting is None:
        return OwnershipState.ORPHANED
    if acting != name:
        return OwnershipState.NOT_OWNER
    if highest_floor(shard, record, name, seals) > record.epoch:
        return OwnershipState.MUST_WRITE
    return OwnershipState.OWNER
