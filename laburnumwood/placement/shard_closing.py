"""What has to end in a shard before its record is written."""

from collections.abc import Callable

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.events import WRITE_GIVEN_UP
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.shard_write import ShardWrite, WriteWait
from laburnumwood.placement.writer import ShardWriter
from laburnumwood.records import ShardName
from laburnumwood.upstream.grants import Grants

_POLL_MS = 10
_USES_LIMIT_MS = 1_500  # for requests that run in a closed shard
_BUSY_MS = 10_000  # after that limit, until the shard is closed again


class ShardCloser:
    """Closes the shards whose records are to be written.

    It notes what each write waits for.  Each wait has a bound: the worker's
    grant of a withdrawn shard expires with the lease at the latest, and a shard
    in which requests still run after `_USES_LIMIT_MS` is not written and should
    be opened again.  That is in vain while `may_open` returns False, because
    the worker is lost or leaves or the node stops: what runs then is waited for
    until it ends, by its deadline or the limit of a planned stop.
    """

    def __init__(
        self,
        held_shards: HeldShards,
        grants: Grants,
        writer: ShardWriter,
        may_open: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._may_open = may_open
        self._held_shards = held_shards
        self._grants = grants
        self._writer = writer
        self._clock = clock
        self._busy_until_ms: dict[ShardName, int] = {}

    def is_busy(self, shard: ShardName) -> bool:
        """Return whether a shard was opened again a short time ago.

        It should not be closed for a change that can wait.
        """
        now_ms = self._clock.now_ms()
        return now_ms < self._busy_until_ms.get(shard, now_ms)

    def note_wait(self, write: ShardWrite, wait: WriteWait) -> None:
        """Note what a write waits for next."""
        target = write.record.succession[0]
        text = f'its write for {target} waits for {wait.value}'
        self._held_shards.note_wait(write.shard, text)

    def release(self, write: ShardWrite) -> bool:
        """Block until the worker has released a shard and nothing runs in it.

        The shard is withdrawn first, and closed once it is released.  Returns
        False if requests run in it for too long.
        """
        shard = write.shard
        self.note_wait(write, WriteWait.RELEASE)
        self._grants.withdraw(shard)
        while not self._grants.is_released(shard):
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
        self._held_shards.close(shard)
        # Requests that wait for a grant of the shard go to the next owner.
        self._grants.changes.notify_all()
        self.note_wait(write, WriteWait.USES)
        return self._is_drained(write)

    def _is_drained(self, write: ShardWrite) -> bool:
        """Wait for the requests that run in a shard; return if all ended."""
        until_ms = self._clock.now_ms() + _USES_LIMIT_MS
        while not self._held_shards.is_idle(write.shard):
            now_ms = self._clock.now_ms()
            if now_ms >= until_ms and self._may_open():
                self._busy_until_ms[write.shard] = now_ms + _BUSY_MS
                target = write.record.succession[0]
                WRITE_GIVEN_UP.report(shard=write.shard, target=target)
                return False
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
        return True

    def is_store_answering(self, write: ShardWrite) -> bool:
        """Return whether the store answers before a write is sent to it."""
        self.note_wait(write, WriteWait.STORE)
        return self._writer.try_refresh(write.shard)

    def is_store_unreachable(self, write: ShardWrite) -> bool:
        """Return whether the store, unreachable at the last read, still is."""
        if self._writer.is_store_reachable:
            return False
        return not self._writer.try_refresh(write.shard)
