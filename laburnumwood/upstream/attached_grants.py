"""The grants of a reporting worker, as used by one incarnation of the node."""

from laburnumwood.notifier import Notifier
from laburnumwood.records import KeyRange, ShardName
from laburnumwood.upstream.reporting_worker import GrantSource, ReportingWorker


class AttachedGrants:
    """The interface of an incarnation to the worker on its VM.

    Tasks of an incarnation can outlive it.  Once another incarnation is
    attached to the worker, `withdraw` and `restore` have no effect.
    """

    def __init__(self, worker: ReportingWorker, source: GrantSource) -> None:
        self._worker = worker
        self._source = source
        worker.attach(source)

    @property
    def changes(self) -> Notifier:
        """Return the notifier that wakes tasks when the grants change."""
        return self._worker.changes

    def covers(self, shard: ShardName, token: int | None) -> bool:
        """Return whether the worker has a grant of a shard under a token."""
        return self._worker.covers(shard, token)

    def next_grants_in_ms(self) -> int:
        """Return the time until the worker is expected to get new grants."""
        return self._worker.next_grants_in_ms()

    def withdraw(self, shard: ShardName) -> None:
        """Stop granting a shard that is to move to another owner."""
        if self._worker.is_attached(self._source):
            self._worker.withdraw(shard)

    def restore(self, shard: ShardName) -> None:
        """Grant a withdrawn shard again, because its move was abandoned."""
        if self._worker.is_attached(self._source):
            self._worker.restore(shard)

    def is_released(self, shard: ShardName) -> bool:
        """Return whether the worker no longer holds a withdrawn shard."""
        return self._worker.is_released(shard)

    def held_for_ms(self) -> int:
        """Return for how long the worker may still hold any of its grants."""
        return self._worker.held_for_ms(self._source)

    def handover_for(self, keys: KeyRange) -> str:
        """Return the worker's handover for a range of keys, or ''."""
        return self._worker.handover_for(keys)

    def handovers(self, shard: ShardName) -> tuple[str, ...]:
        """Return the worker's handover for each range of a shard.

        The result is empty if the worker left no handover for the shard.
        """
        return self._worker.handovers(shard)
