"""Whether a node may act on a shard's record, or begin to write it."""

from laburnumwood.clock import Clock
from laburnumwood.membership.eras.barrier import EraBarrier
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.ownership import fencing_token
from laburnumwood.placement.shard_write import ShardWrite
from laburnumwood.records import NodeName, ShardName, ShardRecord
from laburnumwood.store.versions import era_of


class RecordTrust:
    """Judges the records that a node knows after the store came back.

    A record of an earlier era may be older than one that the store has
    forgotten.  A write that was sent in an earlier era may still arrive.
    """

    def __init__(
        self,
        own: NodeName,
        view: FleetView,
        held_shards: HeldShards,
        clock: Clock,
    ) -> None:
        self._own = own
        self._view = view
        self._held_shards = held_shards
        self._barrier = EraBarrier(view, clock)
        self._undecided_epochs: dict[ShardName, int] = {}

    def may_create(self) -> bool:
        """Return whether a shard without a record has never had one."""
        return self._barrier.is_passed()

    def may_act(self, shard: ShardName, record: ShardRecord) -> bool:
        """Return whether the node may act on a record.

        What it holds already it holds on.
        """
        has_passed = self._barrier.is_passed()
        if has_passed or not record.epoch_era:
            return True
        is_current = record.epoch_era >= self._view.directory.era
        return is_current or self._is_held_under(shard, record)

    def has_current_condition(self, shard: ShardName) -> bool:
        """Return whether a write of the record can name its condition."""
        directory = self._view.directory
        entry = directory.shard(shard)
        return entry is None or era_of(entry.condition) >= directory.era

    def is_undecided(self, shard: ShardName, record: ShardRecord) -> bool:
        """Return whether an earlier write may replace a record, or is it."""
        return record.epoch <= self._undecided_epochs.get(shard, 0)

    def record_undecided(self, write: ShardWrite) -> None:
        """Note a write that may still arrive, so that another decides it."""
        self._undecided_epochs[write.shard] = write.record.epoch

    def record_written(self, write: ShardWrite) -> None:
        """Note a write that decides all earlier ones."""
        self._undecided_epochs.pop(write.shard, None)

    def _is_held_under(self, shard: ShardName, record: ShardRecord) -> bool:
        if self._own not in record.succession:
            return False
        token = fencing_token(record, self._own)
        return self._held_shards.tokens().get(shard) == token
