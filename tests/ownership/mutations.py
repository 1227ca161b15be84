"""The code with one of its safeguards left out, for proofs of the tests."""

from collections.abc import Iterable

from laburnumwood.leases.backless import (
    Candidate,
    IsWitnessReplaced,
    QuorumLossDetector,
)
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.witness import Witness
from laburnumwood.placement.ownership import OwnershipState
from laburnumwood.placement.shard_write import ShardWrite, WriteProgress
from laburnumwood.placement.tenure import OwnershipTracker
from laburnumwood.protocol.messages import Granted, Refused, Renew
from laburnumwood.records import (
    Digest,
    NodeName,
    ShardName,
    ShardRecord,
    WitnessSet,
)
from laburnumwood.store.interface import Store
from laburnumwood.upstream.attached_grants import AttachedGrants
from tests.ownership.node import Code


class _NoFloor(Lease):
    """Writes without telling the witnesses of it."""

    def raise_floor(self, shard: str, epoch: int) -> None:
        """Forget it."""

    def is_floor_acknowledged(self, shard: str, epoch: int) -> bool:
        """Pretend."""
        return True


class _FromReceipt(Lease):
    """Counts a grant from when it was received."""

    def record_grant(self, request: Renew, sent_ms: int) -> bool:
        """Leave the moment of sending out."""
        return super().record_grant(request, self._clock.now_ms())


class _NoJointMajority(Lease):
    """Relies on a new set of witnesses as soon as it is chosen."""

    @property
    def _active_sets(self) -> tuple[WitnessSet, ...]:
        return (self._next or self._current,)


class _KeptVote(Witness):
    """Answers for its earlier incarnations, of which it knows nothing."""

    def renew(self, request: Renew, digest: Digest) -> Granted | Refused:
        """Grant what an earlier incarnation may have refused."""
        if request.witness == self.name:
            return super().renew(request, digest)
        return Granted(digest)


class _ReadForWin(OwnershipTracker):
    """Takes the newest record that can be read for the newest there is."""

    def _ownership_state(
        self, shard: ShardName, record: ShardRecord
    ) -> OwnershipState:
        how = super()._ownership_state(shard, record)
        return OwnershipState.OWNER if how is OwnershipState.MUST_WRITE else how


class _ReopenOnConflict(OwnershipTracker):
    """Goes on with a record that is known to be stale."""

    def _apply_conflict(self, write: ShardWrite) -> None:
        self._held_shards.reopen(write.shard)


class _ReopenUnsettled(OwnershipTracker):
    """Reopens a moving shard although the move may have been written."""

    def update_held_shards(self) -> None:
        """Reopen all that moves."""
        super().update_held_shards()
        for shard in self._writes:
            self._held_shards.reopen(shard)


class _ForgottenTry(ShardWrite):
    """Takes the last try for all of them."""

    def step(self, platform: Store) -> WriteProgress:
        """Leave out that an earlier try may still land."""
        self._sent = False
        return super().step(platform)


class _LastTryOnly(OwnershipTracker):
    """Leaves a move once a try of it did not reach the store."""

    def begin_move(
        self, shard: ShardName, target: NodeName
    ) -> ShardWrite | None:
        """Return a write that knows of its last try only."""
        write = super().begin_move(shard, target)
        if write is not None:
            write.__class__ = _ForgottenTry
        return write


class _UnsettledMoves(OwnershipTracker):
    """Waits for the outcome of moves that did not reach the store."""

    def begin_move(
        self, shard: ShardName, target: NodeName
    ) -> ShardWrite | None:
        """Return a write that is repeated until it is settled."""
        write = super().begin_move(shard, target)
        if write is not None:
            write.stop_if_unreachable = False
        return write


class _ClosedAfterSplit(OwnershipTracker):
    """Leaves a shard closed once keys of it were split off."""

    def _apply_written(self, write: ShardWrite) -> None:
        if write.record.succession[0] != self._own:
            super()._apply_written(write)


class _NoEnd(QuorumLossDetector):
    """Leaves lost nodes to an operator."""

    def expired(
        self,
        candidates: Iterable[Candidate],
        is_witness_replaced: IsWitnessReplaced,
    ) -> tuple[Candidate, ...]:
        """Find nobody."""
        return ()


class _NoWaitForWorker(AttachedGrants):
    """Takes a worker for empty once its node gives an incarnation up."""

    def held_for_ms(self) -> int:
        """Return nothing."""
        return 0


MUTATIONS = {
    'the automatic end of lost nodes': Code(backless=_NoEnd),
    'nothing': Code(),
    'the floor': Code(lease=_NoFloor),
    'the write before a takeover': Code(ownership=_ReadForWin),
    'the count of grants from sending': Code(lease=_FromReceipt),
    'the new name of a restarted witness': Code(witness=_KeptVote),
    'the joint majority': Code(lease=_NoJointMajority),
    'the drop after a conflict': Code(ownership=_ReopenOnConflict),
    'the reopening after a split': Code(ownership=_ClosedAfterSplit),
    'the wait for the worker': Code(grants=_NoWaitForWorker),
    'the wait for an unsettled move': Code(ownership=_ReopenUnsettled),
    'the memory of earlier attempts': Code(ownership=_LastTryOnly),
    'the end of a move that was not sent': Code(ownership=_UnsettledMoves),
}
