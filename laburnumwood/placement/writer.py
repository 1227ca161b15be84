"""Execution of writes of shard records, a few at a time."""

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.greenpool import GreenPool

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import PlatformError
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.renewal import LeaseRenewer
from laburnumwood.placement.shard_write import ShardWrite, WriteProgress
from laburnumwood.records import ShardName
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import shard_object_name
from laburnumwood.tasks import run_logged

_CONCURRENT_WRITES = 8
_FLOOR_POLL_MS = 10
_RETRY_MS = 300


class ShardWriter:
    """Executes the record writes of one incarnation."""

    def __init__(
        self, platform: Store, directory: Directory, renewer: LeaseRenewer
    ) -> None:
        self._platform = platform
        self._directory = directory
        self._renewer = renewer
        self._pool = GreenPool(_CONCURRENT_WRITES)
        self._unsettled = 0
        self._is_store_reachable = True

    @property
    def has_room(self) -> bool:
        """Return whether `start` would not block."""
        return bool(self._pool.free() > 0)

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the store answered the last read."""
        return self._is_store_reachable

    @property
    def is_healthy(self) -> bool:
        """Return whether no write waits for an answer of the store."""
        return not self._unsettled

    def start(self, task: Callable[..., object], *arguments: Any) -> None:
        """Start a task that writes; block while too many are running."""
        self._pool.spawn_n(run_logged, task, *arguments)

    def execute(self, write: ShardWrite) -> WriteProgress:
        """Step a write until its progress is final; return that progress."""
        self._renewer.renew_now()
        progress = write.step(self._platform)
        while progress is WriteProgress.NEEDS_FLOOR:
            eventlet.sleep(_FLOOR_POLL_MS / MS_PER_SECOND)
            progress = write.step(self._platform)
        if progress is WriteProgress.UNSETTLED:
            return self._settle(write)
        if progress is WriteProgress.NOT_SENT:
            # A caller may start the write again at once; the delay keeps it
            # from overloading a store that refuses writes.
            eventlet.sleep(_RETRY_MS / MS_PER_SECOND)
        return progress

    def try_refresh(self, shard: ShardName) -> bool:
        """Read a record from the store; return whether the store answered."""
        try:
            stored = self._platform.get(shard_object_name(shard))
        except PlatformError:
            self._is_store_reachable = False
            return False
        self._is_store_reachable = True
        if stored is not None:
            self._directory.apply(stored)
        return True

    def _settle(self, write: ShardWrite) -> WriteProgress:
        self._unsettled += 1
        try:
            progress = WriteProgress.UNSETTLED
            while not progress.is_final:
                eventlet.sleep(_RETRY_MS / MS_PER_SECOND)
                progress = write.step(self._platform)
        finally:
            self._unsettled -= 1
        return progress
