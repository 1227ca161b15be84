"""The grants of a worker that reports, as one incarnation sees them."""

from laburnumwood.notifier import Notifier
from laburnumwood.records import KeyRange, ShardName
from laburnumwood.upstream.reporting_worker import GrantSource, ReportingWorker


class AttachedGrants:
    """What an incarnation may ask of the worker beside its node.

    Tasks of an incarnation can outlast it: once another one is attached they
    withdraw and restore nothing.
    """

    def __init__(self, worker: ReportingWorker, source: GrantSource) -> None:
        self._worker = worker
        self._source = source
        worker.attach(source)

    @property
    def changes(self) -> Notifier:
        """Return what tells of changes of the grants."""
        return self._worker.changes

    def covers(self, shard: ShardName, token: int | None) -> bool:
        """Tell whether the worker has a grant for a shard and a token."""
        return self._worker.covers(shard, token)

    def next_grants_in_ms(self) -> int:
        """Return in what time the worker will get its next grants."""
        return self._worker.next_grants_in_ms()

    def withdraw(self, shard: ShardName) -> None:
        """Let a shard go that is to get another owner."""
        if self._worker.is_attached(self._source):
            self._worker.withdraw(shard)

    def restore(self, shard: ShardName) -> None:
        """Keep a shard after all that was to get another owner."""
        if self._worker.is_attached(self._source):
            self._worker.restore(shard)

    def is_released(self, shard: ShardName) -> bool:
        """Tell whether the worker no longer holds a withdrawn shard."""
        return self._worker.is_released(shard)

    def held_for_ms(self) -> int:
        """Return for how long the worker may still hold what it was given."""
        return self._worker.held_for_ms(self._source)

    def handover_for(self, keys: KeyRange) -> str:
        """Return what the worker left for the next owner of some keys."""
        return self._worker.handover_for(keys)

    def handovers(self, shard: ShardName) -> tuple[str, ...]:
        """Return what the worker left for the next owner of a shard."""
        return self._worker.handovers(shard)
