"""What has to end in a shard before its record is written."""

import eventlet

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.shard_write import ShardWrite, WriteWait
from laburnumwood.placement.writer import ShardWriter
from laburnumwood.upstream.grants import Grants

_POLL_MS = 10


class ShardCloser:
    """Closes the shards whose records are to be written.

    It notes what each write waits for.
    """

    def __init__(
        self, held_shards: HeldShards, grants: Grants, writer: ShardWriter
    ) -> None:
        self._held_shards = held_shards
        self._grants = grants
        self._writer = writer

    def note_wait(self, write: ShardWrite, wait: WriteWait) -> None:
        """Note what a write waits for next."""
        target = write.record.succession[0]
        text = f'its write for {target} waits for {wait.value}'
        self._held_shards.note_wait(write.shard, text)

    def release(self, write: ShardWrite) -> None:
        """Block until the worker has released a shard and nothing runs in it.

        The shard is withdrawn first, and closed once it is released.
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
        while not self._held_shards.is_idle(shard):
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)

    def is_store_answering(self, write: ShardWrite) -> bool:
        """Return whether the store answers before a write is sent to it."""
        self.note_wait(write, WriteWait.STORE)
        return self._writer.try_refresh(write.shard)

    def is_store_unreachable(self, write: ShardWrite) -> bool:
        """Return whether the store, unreachable at the last read, still is."""
        if self._writer.is_store_reachable:
            return False
        return not self._writer.try_refresh(write.shard)
