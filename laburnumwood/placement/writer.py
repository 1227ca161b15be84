"""Writing of shard records, with the floor raised first."""

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import (
    IncarnationOverError,
    PlatformConflictError,
    PlatformUnreachableError,
)
from laburnumwood.leases.lease import Lease
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.renewal import Renewer
from laburnumwood.platform.client import Platform
from laburnumwood.platform.objects import shard_object, to_value
from laburnumwood.platform.writes import marked, write
from laburnumwood.records import (
    NodeName,
    ShardName,
    ShardRecord,
    StoredObject,
)

_FLOOR_PATIENCE_MS = 3_000
_FLOOR_POLL_MS = 10
_RETRY_MS = 300


class ShardWriter:
    """Writes records of shards on behalf of one incarnation."""

    def __init__(
        self,
        platform: Platform,
        directory: Directory,
        lease: Lease,
        renewer: Renewer,
        clock: Clock,
    ) -> None:
        self._platform = platform
        self._directory = directory
        self._lease = lease
        self._renewer = renewer
        self._clock = clock

    def create(
        self, shard: ShardName, succession: tuple[NodeName, ...]
    ) -> ShardRecord:
        """Create the first record of a shard; raises `PlatformError`."""
        return self._settle(shard, ShardRecord(1, succession), None)

    def replace(
        self, shard: ShardName, succession: tuple[NodeName, ...]
    ) -> ShardRecord:
        """Write the next record of a shard and return it.

        Returns only when the outcome of the write is known.  Raises
        `PlatformConflictError` if another write came first, and
        `IncarnationOverError` if the lease was lost before.
        """
        entry = self._directory.shard(shard)
        if entry is None:
            raise PlatformConflictError(str(shard))
        record = ShardRecord(entry.record.epoch + 1, succession)
        self._make_floor_known(shard, record.epoch)
        return self._settle(shard, record, entry.version)

    def refresh(self, shard: ShardName) -> None:
        """Read a record again; raises `PlatformError`."""
        stored = self._platform.get(shard_object(shard))
        if stored is not None:
            self._directory.apply(stored)

    def _make_floor_known(self, shard: ShardName, epoch: int) -> None:
        self._lease.raise_floor(str(shard), epoch)
        self._renewer.poke()
        deadline_ms = self._clock.now_ms() + _FLOOR_PATIENCE_MS
        while not self._lease.knows_floor(str(shard), epoch):
            late = self._clock.now_ms() >= deadline_ms
            if late or self._lease.is_over:
                raise IncarnationOverError(f'floor of {shard} is not known')
            eventlet.sleep(_FLOOR_POLL_MS / MS_PER_SECOND)
        if not self._lease.holds():
            raise IncarnationOverError('the lease is not held')

    def _settle(
        self, shard: ShardName, record: ShardRecord, version: int | None
    ) -> ShardRecord:
        name = shard_object(shard)
        record = marked(record, str(self._lease.holder))
        while not self._lease.is_over:
            try:
                written = write(self._platform, name, record, version)
            except PlatformUnreachableError:
                eventlet.sleep(_RETRY_MS / MS_PER_SECOND)
                continue
            self._directory.apply(StoredObject(name, to_value(record), written))
            return record
        raise IncarnationOverError(f'{shard} was not settled in time')
