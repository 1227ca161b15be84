"""A conditional write of a shard's record, step by step."""

from enum import Enum

from laburnumwood.clock import Clock
from laburnumwood.errors import (
    PlatformConflictError,
    PlatformError,
    PlatformNotReachedError,
)
from laburnumwood.leases.lease import Lease
from laburnumwood.records import ShardName, ShardRecord, StoredObject
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import shard_object_name
from laburnumwood.store.versions import era_of
from laburnumwood.store.writes import confirm_write, with_new_mark, write

_FLOOR_TIMEOUT_MS = 3_000


class WriteProgress(Enum):
    """How far a write has come."""

    NEEDS_FLOOR = 'the witnesses do not know the floor yet'
    UNSETTLED = 'the store gave no answer'
    WRITTEN = 'the record is written'
    CONFLICT = 'another write came first'
    NOT_SENT = 'nothing was sent to the store'
    ABANDONED = 'the lease is over; the record may be written or not'

    @property
    def is_final(self) -> bool:
        """Return whether the write needs no further steps."""
        return self not in {WriteProgress.NEEDS_FLOOR, WriteProgress.UNSETTLED}


class WriteWait(Enum):
    """What a write waits for while its shard is not served."""

    RELEASE = 'the worker to release it'
    USES = 'the requests that run in it'
    STORE = 'an answer of the store'
    LEDGER = 'its next owner to get the run ledger'
    RECORD = 'its record to be written'


class ShardWrite:
    """A conditional write of a shard's record by one incarnation.

    The floor is raised first, and nothing is sent before enough witnesses
    have acknowledged it.  A write whose answer was lost is repeated until its
    outcome is known.  If `stop_if_unreachable` is set and the first attempt
    does not reach the store, the write is not repeated, so that nothing that
    depends on its outcome has to wait for the store.  `takes_keys_out` is set
    if the worker may have keys of the shard that are not in it afterwards.
    `version` is the version to replace, or None to create the record, as the
    store has it in `era`.  Once another era has begun nothing is sent any
    more.  A write that was sent before is undecided then, whether it is found
    in the store or not: it may still arrive, or may have replaced a record
    older than the last one.
    """

    def __init__(
        self,
        shard: ShardName,
        record: ShardRecord,
        version: int | None,
        lease: Lease,
        clock: Clock,
        era: int = 0,
    ) -> None:
        self.shard = shard
        self.record = with_new_mark(record, str(lease.holder))
        self.version = version
        self.stored: StoredObject | None = None
        self.stop_if_unreachable = False
        self.takes_keys_out = False
        self.is_undecided = False
        self._era = era
        self._lease = lease
        self._clock = clock
        self._sent = False
        self._floor_deadline_ms = clock.now_ms() + _FLOOR_TIMEOUT_MS
        if version is not None:
            lease.raise_floor(str(shard), record.epoch)

    def step(self, platform: Store) -> WriteProgress:
        """Advance the write by at most one exchange with the store."""
        has_era_ended = platform.era != self._era
        if self._lease.is_over or (has_era_ended and not self._sent):
            return (
                WriteProgress.ABANDONED
                if self._sent
                else WriteProgress.NOT_SENT
            )
        if not self._sent and not self._may_send():
            late = self._clock.now_ms() >= self._floor_deadline_ms
            return WriteProgress.NOT_SENT if late else WriteProgress.NEEDS_FLOOR
        # An earlier attempt may still take effect, whatever the outcome of
        # this one.
        may_stop = self.stop_if_unreachable and not self._sent
        self._sent = True
        try:
            return self._send(platform)
        except PlatformConflictError:
            self.is_undecided = platform.era != self._era
            return WriteProgress.CONFLICT
        except PlatformError as failure:
            not_reached = isinstance(failure, PlatformNotReachedError)
        return (
            WriteProgress.NOT_SENT
            if may_stop and not_reached
            else WriteProgress.UNSETTLED
        )

    def _may_send(self) -> bool:
        if not self._lease.is_held():
            return False
        acknowledged = self._lease.is_floor_acknowledged(
            str(self.shard), self.record.epoch
        )
        return acknowledged or self.version is None

    def _send(self, platform: Store) -> WriteProgress:
        name = shard_object_name(self.shard)
        if platform.era == self._era:
            stored = write(platform, name, self.record, self.version)
        else:
            stored = confirm_write(platform, name, self.record)
        if era_of(stored.write_condition) != self._era:
            # It took effect, but over a record that the store may have had
            # older than others remember.
            raise PlatformConflictError(name)
        self.stored = stored
        return WriteProgress.WRITTEN
