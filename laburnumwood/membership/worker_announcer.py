"""Telling the fleet whether the worker beside a node takes work."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

import eventlet

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import PlatformError
from laburnumwood.membership.node_records import (
    change_record,
    without_incarnations_up_to,
)
from laburnumwood.membership.view import FleetView
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.store.interface import Store

_POLL_MS = 200
_RETRY_MS = 500


class WorkerAnnouncer:
    """Keeps what a node's record says of its worker true.

    `state` returns whether the worker takes work, and its slots, and
    `is_clear` whether it has and has left nothing of earlier processes of the
    node.
    """

    def __init__(
        self,
        own: NodeName,
        view: FleetView,
        store: Store,
        state: Callable[[], tuple[bool, int]],
        is_clear: Callable[[], bool],
    ) -> None:
        self._own = own
        self._view = view
        self._store = store
        self._state = state
        self._is_clear = is_clear

    def run(self) -> None:
        """Compare and write again and again; does not return."""
        while True:
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
            if not self.is_announced:
                with suppress(PlatformError):  # tried again below
                    self.announce()
                    continue
                eventlet.sleep(_RETRY_MS / MS_PER_SECOND)

    def announce(self) -> None:
        """Write what is so now; raises `PlatformError`."""
        change_record(self._store, self._own.node_id, self.with_worker_state)

    @property
    def is_announced(self) -> bool:
        """Tell whether the record says of the worker what is so now."""
        record = self._view.directory.node(self._own)
        return record is None or self.with_worker_state(record) == record

    def with_initial_worker_state(self, record: NodeRecord) -> NodeRecord:
        """Return the record with what is known when the node has joined.

        A worker that holds nothing leaves nothing to wait for before the
        earlier incarnations have ended.
        """
        now = self.with_worker_state(record)
        if not now.serves or not self._is_clear():
            return now
        return without_incarnations_up_to(now, self._own.incarnation - 1)

    def with_worker_state(self, record: NodeRecord) -> NodeRecord:
        """Return the record with what is so of the worker now."""
        if record.incarnation != self._own.incarnation:
            return record
        serves, slots = self._state()
        return replace(record, serves=serves, slots=slots or record.slots)
