"""Variants of the code without one safeguard, to show that tests detect it."""

from collections.abc import Iterable, Iterator
from dataclasses import replace

from laburnumwood.leases.lease import Lease
from laburnumwood.leases.quorum_loss import (
    Candidate,
    IsWitnessReplaced,
    QuorumLossDetector,
)
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.eras.forgotten_records import ForgottenRecords
from laburnumwood.membership.eras.proxy import EraProxy
from laburnumwood.membership.eras.recovery import EraRecovery
from laburnumwood.placement.ownership import OwnershipState, ownership_state
from laburnumwood.placement.ownership_tracker import OwnershipTracker
from laburnumwood.placement.shard_write import ShardWrite, WriteProgress
from laburnumwood.protocol.messages import Granted, Refused, Renew
from laburnumwood.protocol.store_messages import Memory
from laburnumwood.records import (
    Digest,
    NodeName,
    ShardName,
    ShardRecord,
    StoredObject,
    WitnessSet,
)
from laburnumwood.store.interface import Store
from laburnumwood.upstream.attached_grants import AttachedGrants
from tests.ownership.fence_mutations import FENCE_MUTATIONS
from tests.ownership.node import Components


class _LeaseWithoutFloors(Lease):
    """Lets records be written without floors at the witnesses."""

    def raise_floor(self, shard: str, epoch: int) -> None:
        """Send no floor to the witnesses."""

    def is_floor_acknowledged(self, shard: str, epoch: int) -> bool:
        """Return that majorities know the floor, which none does."""
        return True


class _LeaseCountedFromReceipt(Lease):
    """Counts the duration of a grant from its receipt."""

    def record_grant(self, request: Renew, sent_ms: int) -> bool:
        """Record a grant as if its request had been sent now."""
        return super().record_grant(request, self._clock.now_ms())


class _LeaseWithoutJointMajority(Lease):
    """Relies on a new witness set as soon as it is proposed."""

    @property
    def active_sets(self) -> tuple[WitnessSet, ...]:
        return (self._next or self._current,)


class _WitnessIgnoringRestart(Witness):
    """Answers for earlier incarnations, whose state it does not have."""

    def renew(self, request: Renew, digest: Digest) -> Granted | Refused:
        """Grant renewals that an earlier incarnation may have refused."""
        if request.witness == self.name:
            return super().renew(request, digest)
        return Granted(digest)


class _TakeoverWithoutWrite(OwnershipTracker):
    """Treats the newest record that it has read as the current one."""

    def _ownership_state(
        self, shard: ShardName, record: ShardRecord
    ) -> OwnershipState:
        state = super()._ownership_state(shard, record)
        return (
            OwnershipState.OWNER
            if state is OwnershipState.MUST_WRITE
            else state
        )


class _ReopenAfterConflict(OwnershipTracker):
    """Keeps serving a shard although its record is known to be stale."""

    def _apply_conflict(self, write: ShardWrite) -> None:
        self._held_shards.reopen(write.shard)


class _ReopenBeforeOutcome(OwnershipTracker):
    """Reopens a moving shard whose move may have been written."""

    def update_held_shards(self) -> None:
        """Reopen all shards that move."""
        super().update_held_shards()
        for shard in self._writes:
            self._held_shards.reopen(shard)


class _WriteWithoutAttemptHistory(ShardWrite):
    """Ignores earlier attempts of the same write."""

    def step(self, platform: Store) -> WriteProgress:
        """Attempt the write as if no earlier attempt could take effect."""
        self._sent = False
        return super().step(platform)


class _MovesWithoutAttemptHistory(OwnershipTracker):
    """Abandons a move as soon as one attempt does not reach the store."""

    def begin_move(
        self, shard: ShardName, target: NodeName
    ) -> ShardWrite | None:
        """Return a write that ignores its earlier attempts."""
        write = super().begin_move(shard, target)
        if write is not None:
            write.__class__ = _WriteWithoutAttemptHistory
        return write


class _MovesNeverAbandoned(OwnershipTracker):
    """Repeats moves whose first attempt did not reach the store."""

    def begin_move(
        self, shard: ShardName, target: NodeName
    ) -> ShardWrite | None:
        """Return a write that is repeated until its outcome is known."""
        write = super().begin_move(shard, target)
        if write is not None:
            write.stop_if_unreachable = False
        return write


class _NoReopeningAfterSplit(OwnershipTracker):
    """Leaves a shard closed after keys were split off from it."""

    def _apply_written(self, write: ShardWrite) -> None:
        if write.record.succession[0] != self._own:
            super()._apply_written(write)


class _MoveEndsLost(OwnershipTracker):
    """Leaves a shard closed whose move did not reach the store."""

    def finish(self, write: ShardWrite, progress: WriteProgress) -> None:
        """Apply the end of a write, unless nothing was sent."""
        if progress is WriteProgress.NOT_SENT:
            self._writes.pop(write.shard, None)
        else:
            super().finish(write, progress)


class _NoExpiredLeases(QuorumLossDetector):
    """Records no end of lost nodes, which is left to an operator."""

    def expired(
        self,
        candidates: Iterable[Candidate],
        is_witness_replaced: IsWitnessReplaced,
    ) -> tuple[Candidate, ...]:
        """Return no candidate."""
        return ()


class _NoWaitForWorker(AttachedGrants):
    """Assumes that the worker of an ended incarnation holds nothing."""

    def held_for_ms(self) -> int:
        """Return that no grant is held."""
        return 0


class _TrustInCopies(OwnershipTracker):
    """Acts at once on what the store has after it came back."""

    def _ownership_state(
        self, shard: ShardName, record: ShardRecord
    ) -> OwnershipState:
        return ownership_state(shard, record, self._own, self._view)


class _NothingForgotten(ForgottenRecords):
    """Finds no record that the store has forgotten."""

    def find(self) -> Iterator[StoredObject]:
        """Yield nothing."""
        return iter(())


class _ConfirmationWithoutWriting(EraRecovery):
    """Confirms an era without writing back what the store has forgotten."""

    records_class = _NothingForgotten


class _ProxyWithoutWriting(EraProxy):
    """Confirms an era for others without writing back what they remember."""

    records_class = _NothingForgotten


class _ProxyWithoutMemory(EraProxy):
    """Confirms an era for others without regard to what they remember."""

    def confirm(self, name: NodeName, era: int, memory: Memory) -> bool:
        """Confirm an era for a node as if it remembered nothing."""
        nothing = replace(memory, objects=(), renewed=())
        return super().confirm(name, era, nothing)


class _EpochsOfTheCopy(OwnershipTracker):
    """Continues the epochs that the store has, in whatever era."""

    def _next_record(
        self, shard: ShardName, succession: tuple[NodeName, ...]
    ) -> ShardRecord:
        record = super()._next_record(shard, succession)
        entry = self._view.directory.shard(shard)
        before = entry.record.epoch if entry else 0
        return replace(record, epoch=before + 1)


class _UndecidedWritesForgotten(OwnershipTracker):
    """Holds on to a shard while a write of an earlier era may arrive."""

    def _apply_conflict(self, write: ShardWrite) -> None:
        super()._apply_conflict(write)
        self._trust.record_written(write)


MUTATIONS = {
    **FENCE_MUTATIONS,
    'the automatic end of lost nodes': Components(
        quorum_loss_detector=_NoExpiredLeases
    ),
    'nothing': Components(),
    'the floor': Components(lease=_LeaseWithoutFloors),
    'the write before a takeover': Components(
        ownership_tracker=_TakeoverWithoutWrite
    ),
    'the count of grants from sending': Components(
        lease=_LeaseCountedFromReceipt
    ),
    'the new name of a restarted witness': Components(
        witness=_WitnessIgnoringRestart
    ),
    'the joint majority': Components(lease=_LeaseWithoutJointMajority),
    'the drop after a conflict': Components(
        ownership_tracker=_ReopenAfterConflict
    ),
    'the reopening after a split': Components(
        ownership_tracker=_NoReopeningAfterSplit
    ),
    'the reopening after a move that was not sent': Components(
        ownership_tracker=_MoveEndsLost
    ),
    'the wait for the worker': Components(attached_grants=_NoWaitForWorker),
    'the wait for an unsettled move': Components(
        ownership_tracker=_ReopenBeforeOutcome
    ),
    'the memory of earlier attempts': Components(
        ownership_tracker=_MovesWithoutAttemptHistory
    ),
    'the end of a move that was not sent': Components(
        ownership_tracker=_MovesNeverAbandoned
    ),
    'the wait for all nodes to confirm an era': Components(
        ownership_tracker=_TrustInCopies
    ),
    'the writing back of forgotten records': Components(
        era_recovery=_ConfirmationWithoutWriting,
        era_proxy=_ProxyWithoutWriting,
    ),
    'the memory of nodes that are turned away': Components(
        era_proxy=_ProxyWithoutMemory
    ),
    'the epochs of its own in each era': Components(
        ownership_tracker=_EpochsOfTheCopy
    ),
    'the memory of undecided writes': Components(
        ownership_tracker=_UndecidedWritesForgotten
    ),
}
