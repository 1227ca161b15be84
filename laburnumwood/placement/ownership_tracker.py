"""Decisions of a node about its shards, by records, seals and its lease."""

from collections.abc import Iterator
from dataclasses import replace

from xxhash import xxh3_64_intdigest

from laburnumwood.clock import Clock
from laburnumwood.events import SHARD_CLAIMED, SHARD_MOVED, SHARD_TAKEN_OVER
from laburnumwood.leases.lease import Lease
from laburnumwood.membership.directory import VersionedRecord
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.layout import split_ranges, split_shard_number
from laburnumwood.placement.lost_splits import LostSplits
from laburnumwood.placement.ownership import (
    OwnershipState,
    acting_owner,
    fencing_token,
    first_epoch,
    ownership_state,
    succession_rank,
)
from laburnumwood.placement.partitioning import Partitioning
from laburnumwood.placement.record_trust import RecordTrust
from laburnumwood.placement.shard_write import ShardWrite, WriteProgress
from laburnumwood.placement.succession import (
    choose_claimant,
    choose_succession,
    find_restarted_owner,
    needs_new_succession,
)
from laburnumwood.records import (
    KeyRange,
    NodeName,
    NodeRecord,
    ShardName,
    ShardRecord,
)
from laburnumwood.store.versions import first_number, next_number

# After this time any node claims a shard whose chosen claimant did not.
_CLAIM_TIMEOUT_MS = 3_000
# Spreads the writes after the loss of a failure domain, so that the platform
# gets no more than a few hundred a second from a fleet of any size.
_SPREAD_MS_PER_NODE = 10
# A shard with one successor left waits, so that a single write is enough for
# all the nodes of a rolling restart that leave and return meanwhile.
_ONE_SUCCESSOR_DELAY_MS = 4_000


def _split_ranges(
    view: FleetView, service: str
) -> Iterator[tuple[KeyRange, ShardRecord]]:
    return split_ranges(view.directory.shard_records(service))


def _may_lack_owner(view: FleetView, service: str, own: NodeName) -> set[int]:
    """Return the shards whose record names this node or a lapsed one.

    All others have another live owner.  This saves going through all shards
    of a large service.
    """
    directory = view.directory
    return {
        shard.number
        for name in (own, *filter(view.is_sealed, directory.listed_nodes()))
        for shard in directory.shards_listing(name)
        if shard.service == service
    }


def _shards_to_check(
    view: FleetView, service: str, own: NodeName
) -> Iterator[tuple[ShardName, VersionedRecord[ShardRecord]]]:
    """Yield the shards that this node or no node acts for."""
    entries = view.directory.shards(service)
    for number in sorted(_may_lack_owner(view, service, own)):
        entry = entries[number]
        acting = acting_owner(entry.record, view)
        if acting is None or acting == own:
            yield ShardName(service, number), entry


class OwnershipTracker:
    """Tracks which shards an incarnation owns and which records it must write.

    Its methods do not block: tasks call them again and again.
    """

    lost_splits_class = LostSplits

    def __init__(
        self,
        service: str,
        view: FleetView,
        lease: Lease,
        held_shards: HeldShards,
        clock: Clock,
    ) -> None:
        self._service = service
        self._own = lease.holder
        self._view = view
        self._lease = lease
        self._held_shards = held_shards
        self._clock = clock
        self._writes: dict[ShardName, ShardWrite] = {}
        self._stale: dict[ShardName, int] = {}
        self._unowned_since_ms: dict[ShardName, int] = {}
        self._unowned_before_ms: dict[ShardName, int] = {}
        self._lacking_successors_since_ms: dict[ShardName, int] = {}
        self._partitioning = Partitioning(service, view, clock)
        self._lost_splits = self.lost_splits_class(service, view)
        self._trust = RecordTrust(self._own, view, held_shards, clock)

    @property
    def stale_shards(self) -> tuple[ShardName, ...]:
        """Return the shards whose record has to be read again."""
        return tuple(self._stale)

    @property
    def version(self) -> tuple[int, int, int, bool, bool]:
        """Return a value that differs when held shards may need an update."""
        # Time alone makes the records of a store that came back reliable.
        is_reliable = self._trust.may_create()
        return (*self._view.version, self._lease.is_held(), is_reliable)

    @property
    def is_settled(self) -> bool:
        """Return whether no shard waits for a write of this node."""
        waiting = (
            self._writes or self._stale or self._lacking_successors_since_ms
        )
        claims = self._unowned_since_ms or self._held_shards.any_needs_new_token
        return (
            not waiting and not claims and not self._partitioning.is_undecided
        )

    @property
    def pending_owners(self) -> dict[int, NodeName]:
        """Return the first owners in the records that are being written."""
        return {
            shard.number: write.record.succession[0]
            for shard, write in self._writes.items()
        }

    @property
    def own(self) -> NodeName:
        """Return the incarnation that holds the shards."""
        return self._own

    def live(self) -> dict[NodeName, NodeRecord]:
        """Return the live nodes of the service."""
        return self._view.serving_nodes(self._service)

    def update_held_shards(self) -> None:
        """Hold or drop shards according to the known records and seals."""
        if not self._lease.is_held():
            return
        named = self._view.directory.shards_listing(self._own)
        for shard in sorted(
            {*named, *self._held_shards.tokens(), *self._stale}
        ):
            entry = self._view.directory.shard(shard)
            if entry is not None:
                self._update_held_shard(shard, entry)

    def shards_to_write(self) -> list[ShardName]:
        """Return the shards whose record this node should write now.

        Call it regularly: it also tracks for how long shards have had no
        owner.
        """
        if not self._lease.is_held():
            return []
        self._unowned_before_ms = self._unowned_since_ms
        self._unowned_since_ms = {}
        known = (
            shard
            for shard, entry in _shards_to_check(
                self._view, self._service, self._own
            )
            if self._needs_write(shard, entry)
        )
        return [
            shard
            for shard in (*known, *self._shards_to_create())
            if self._may_begin(shard) and shard not in self._stale
        ]

    def returned_owner(self, shard: ShardName) -> NodeName | None:
        """Return the node that lost a shard if it has returned.

        None if it has not, or if it is this node.
        """
        entry = self._view.directory.shard(shard)
        owner = (
            find_restarted_owner(entry.record, self.live()) if entry else None
        )
        return None if owner == self._own else owner

    def begin_write(self, shard: ShardName) -> ShardWrite:
        """Return the write that makes this node the first owner of a shard.

        If it takes keys out of the shard, the same conditions as for a move
        hold before it is stepped.
        """
        write = self._begin(shard, self._own)
        write.takes_keys_out = bool(self._lost_splits.of_shard(shard))
        return write

    def begin_give_back(
        self, shard: ShardName, owner: NodeName
    ) -> ShardWrite | None:
        """Return the write that gives a shard back before it is held here.

        None if this node is owner already, without a write of the record, or
        if another write of the record is pending.
        """
        entry = self._view.directory.shard(shard)
        if entry is None or not self._may_begin(shard):
            return None
        state = self._ownership_state(shard, entry.record)
        return (
            self._begin(shard, owner)
            if state is OwnershipState.MUST_WRITE
            else None
        )

    def begin_move(
        self, shard: ShardName, target: NodeName
    ) -> ShardWrite | None:
        """Return the write that moves a shard, or None if it can't move now.

        Step it only when no request runs in the shard any more and its worker
        has released it.
        """
        if not self._held_shards.is_held(shard) or not self._may_begin(shard):
            return None
        write = self._begin(shard, target)
        write.stop_if_unreachable = True
        return write

    def begin_split(
        self, shard: ShardName, ranges: tuple[KeyRange, ...]
    ) -> ShardWrite | None:
        """Return the write that takes ranges out of a shard.

        None if the shard can't be split now.  The same conditions as for a
        move hold before it is stepped.
        """
        entry = self._view.directory.shard(shard)
        held = self._held_shards.is_held(shard)
        if entry is None or not held or not self._may_begin(shard):
            return None
        write = self._begin(shard, self._own)
        split_off = (*write.record.split_off, *ranges)
        write.record = replace(write.record, split_off=split_off)
        write.stop_if_unreachable = True
        return write

    def begin_create(
        self, shard: ShardName, first: NodeName, handover: str
    ) -> ShardWrite | None:
        """Return the write that creates a shard which was split off.

        None if its record exists or is being written.
        """
        if shard in self._writes or self._view.directory.shard(shard):
            return None
        write = self._begin(shard, first)
        handovers = (handover,) if handover else ()
        write.record = replace(write.record, handovers=handovers)
        return write

    def finish(self, write: ShardWrite, progress: WriteProgress) -> None:
        """Apply the final progress of a write."""
        self._writes.pop(write.shard, None)
        self._unowned_since_ms.pop(write.shard, None)
        self._lacking_successors_since_ms.pop(write.shard, None)
        if progress is WriteProgress.WRITTEN and write.stored is not None:
            self._trust.record_written(write)
            self._view.directory.apply(write.stored)
            self._apply_written(write)
        elif progress is WriteProgress.CONFLICT:
            self._apply_conflict(write)
        elif progress is WriteProgress.NOT_SENT:
            self._held_shards.reopen(write.shard)

    def _ownership_state(
        self, shard: ShardName, record: ShardRecord
    ) -> OwnershipState:
        state = ownership_state(shard, record, self._own, self._view)
        if state is OwnershipState.NOT_OWNER:
            return state
        is_held = self._held_shards.is_held(shard)
        is_unlisted = not is_held and self._lost_splits.is_unlisted(shard)
        if is_unlisted or not self._trust.may_act(shard, record):
            return OwnershipState.UNCONFIRMED
        must_write = (
            self._trust.is_undecided(shard, record)
            or self._lost_splits.of_shard(shard)
            or (not is_held and self._lost_splits.is_overtaken(shard))
        )
        if state is OwnershipState.OWNER and must_write:
            return OwnershipState.MUST_WRITE
        return state

    def _may_begin(self, shard: ShardName) -> bool:
        """Return whether a write of a shard's record may begin now.

        No other one is in progress, and the condition is of this era.
        """
        is_current = self._trust.has_current_condition(shard)
        return is_current and shard not in self._writes

    def _update_held_shard(
        self, shard: ShardName, entry: VersionedRecord[ShardRecord]
    ) -> None:
        if entry.condition > self._stale.get(shard, entry.condition):
            self._stale.pop(shard)
            self._held_shards.drop_lost(shard, 'its record was overtaken')
        if shard in self._stale:
            return
        state = self._ownership_state(shard, entry.record)
        if state is OwnershipState.OWNER:
            self._hold(shard, entry.record)
        elif state is OwnershipState.UNCONFIRMED:
            return
        elif not self._held_shards.is_closed(shard):
            self._held_shards.drop_lost(shard, state.value)

    def _hold(self, shard: ShardName, record: ShardRecord) -> None:
        token = fencing_token(record, self._own)
        if not self._held_shards.hold(shard, token):
            return
        is_successor = succession_rank(record, self._own) > 0
        event = SHARD_TAKEN_OVER if is_successor else SHARD_CLAIMED
        event.report(
            shard=shard, epoch=record.epoch, token=token, node=self._own
        )

    def _needs_write(
        self, shard: ShardName, entry: VersionedRecord[ShardRecord]
    ) -> bool:
        state = self._ownership_state(shard, entry.record)
        if state is OwnershipState.OWNER:
            if self._held_shards.needs_new_token(shard) or self.returned_owner(
                shard
            ):
                return True
            return self._is_succession_due(shard, entry.record)
        if state is OwnershipState.ORPHANED:
            return self._may_claim(shard)
        return state is OwnershipState.MUST_WRITE

    def _is_succession_due(self, shard: ShardName, record: ShardRecord) -> bool:
        nodes = self.live()
        if not needs_new_succession(self._own, record.succession, nodes):
            self._lacking_successors_since_ms.pop(shard, None)
            return False
        now_ms = self._clock.now_ms()
        since_ms = self._lacking_successors_since_ms.setdefault(shard, now_ms)
        has_successor = any(name in nodes for name in record.succession[1:])
        delay_ms = _ONE_SUCCESSOR_DELAY_MS if has_successor else 0
        spread_ms = _SPREAD_MS_PER_NODE * len(nodes)
        topic = f'{self._own} {shard} {record.epoch}'.encode()
        delay_ms += xxh3_64_intdigest(topic) % (spread_ms + 1)
        return now_ms - since_ms >= delay_ms

    def _may_claim(self, shard: ShardName) -> bool:
        """Return whether this node should claim a shard without an owner."""
        now_ms = self._clock.now_ms()
        since_ms = self._unowned_before_ms.get(shard, now_ms)
        self._unowned_since_ms[shard] = since_ms
        is_waiting = now_ms - since_ms < _CLAIM_TIMEOUT_MS
        live = self.live()
        if self._own not in live:
            return False
        entry = self._view.directory.shard(shard)
        claimant = choose_claimant(shard, entry.record if entry else None, live)
        return claimant == self._own or not is_waiting

    def _shards_to_create(self) -> Iterator[ShardName]:
        known = self._view.directory.shards(self._service)
        numbers = list(self._partitioning.creatable_shards())
        if not self._trust.may_create():
            return
        numbers.extend(
            split_shard_number(keys)
            for keys, _ in _split_ranges(self._view, self._service)
        )
        for number in numbers:
            if number in known:
                continue
            shard = ShardName(self._service, number)
            if self._lost_splits.is_unlisted(shard):
                continue
            if self._may_claim(shard):
                yield shard

    def _begin(self, shard: ShardName, first: NodeName) -> ShardWrite:
        succession = choose_succession(shard, first, self.live())
        entry = self._view.directory.shard(shard)
        write = ShardWrite(
            shard,
            self._next_record(shard, succession),
            entry.condition if entry else None,
            self._lease,
            self._clock,
            self._view.directory.era,
        )
        self._writes[shard] = write
        return write

    def _next_record(
        self, shard: ShardName, succession: tuple[NodeName, ...]
    ) -> ShardRecord:
        entry = self._view.directory.shard(shard)
        era = self._view.directory.era
        lost_splits = self._lost_splits.of_shard(shard)
        if entry is not None:
            epoch = next_number(entry.record.epoch, entry.record.epoch_era, era)
            least_token = self._held_shards.least_token(shard)
            epoch = max(epoch, self._lost_splits.least_epoch(shard))
            return replace(
                entry.record,
                epoch=max(epoch, first_epoch(least_token)),
                epoch_era=era,
                succession=succession,
                handovers=(),
                split_off=(*entry.record.split_off, *lost_splits),
            )
        for keys, parent in _split_ranges(self._view, self._service):
            if split_shard_number(keys) == shard.number:
                # The fencing tokens of the keys must not fall: the new shard
                # begins with the epoch of its parent, which was raised by the
                # split.
                epoch = next_number(parent.epoch - 1, parent.epoch_era, era)
                return ShardRecord(
                    epoch,
                    succession,
                    keys=keys,
                    split_off=lost_splits,
                    epoch_era=era,
                )
        return ShardRecord(
            first_number(era),
            succession,
            split_off=lost_splits,
            epoch_era=era,
            shards=self._partitioning.shard_count(),
            stripe_width=self._partitioning.stripe_width(),
        )

    def _apply_written(self, write: ShardWrite) -> None:
        target = write.record.succession[0]
        if target == self._own:
            self._held_shards.reopen(write.shard)
            return
        self._held_shards.drop(write.shard)
        epoch = write.record.epoch
        SHARD_MOVED.report(shard=write.shard, target=target, epoch=epoch)

    def _apply_conflict(self, write: ShardWrite) -> None:
        # Another node wrote the record, so the known one is stale.
        self._held_shards.drop_lost(
            write.shard, 'another write of its record came first'
        )
        if write.is_undecided:
            self._trust.record_undecided(write)
            if write.version is None:
                return  # creating it again decides the first write
        self._stale[write.shard] = write.version or 0
