"""Announcing to the fleet whether a node's worker accepts work."""

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
from laburnumwood.upstream.departures import Departures

_POLL_MS = 200
_RETRY_MS = 500


class WorkerAnnouncer:
    """Keeps the state of the worker in its node's record up to date.

    `worker_state` returns whether the worker accepts work, and its number of
    slots.  `departures` are those of its instances.  `holds_nothing` returns
    whether the worker neither holds shards from earlier processes of the node
    nor has released any that the next owners are to learn of.
    """

    def __init__(
        self,
        own: NodeName,
        view: FleetView,
        store: Store,
        worker_state: Callable[[], tuple[bool, int]],
        departures: Departures,
        holds_nothing: Callable[[], bool],
    ) -> None:
        self._own = own
        self._view = view
        self._store = store
        self._worker_state = worker_state
        self._departures = departures
        self._holds_nothing = holds_nothing

    def run(self) -> None:
        """Record each change of the worker's state; does not return."""
        while True:
            self._learn_recorded()
            self._departures.changes.wait(_POLL_MS)
            if not self.is_announced:
                with suppress(PlatformError):  # retried after a pause
                    self.announce()
                    continue
                eventlet.sleep(_RETRY_MS / MS_PER_SECOND)

    def announce(self) -> None:
        """Record the worker's current state; raises `PlatformError`."""
        change_record(self._store, self._own.node_id, self.with_worker_state)

    @property
    def is_announced(self) -> bool:
        """Return whether the record has the worker's current state."""
        record = self._view.directory.node(self._own)
        return record is None or self.with_worker_state(record) == record

    def with_initial_worker_state(self, record: NodeRecord) -> NodeRecord:
        """Return a record with the worker's state when the node has joined.

        If the worker serves and holds nothing, nothing is left of the earlier
        incarnations, so the returned record marks them as ended too.
        """
        current = self.with_worker_state(record)
        if not current.serves or not self._holds_nothing():
            return current
        return without_incarnations_up_to(current, self._own.incarnation - 1)

    def with_worker_state(self, record: NodeRecord) -> NodeRecord:
        """Return a record with the worker's current state."""
        if record.incarnation != self._own.incarnation:
            return record
        serves, slots = self._worker_state()
        return replace(
            record,
            serves=serves,
            slots=slots or record.slots,
            worker_departures=self._departures.known,
        )

    def _learn_recorded(self) -> None:
        record = self._view.directory.node(self._own)
        if record is not None:
            self._departures.recorded = record.worker_departures
