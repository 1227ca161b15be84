"""Writing back what the store has forgotten when it began a new era."""

from contextlib import suppress

import eventlet
from xxhash import xxh3_64_intdigest

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import PlatformError
from laburnumwood.events import STORE_ERA_CONFIRMED
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.cached_store import CachedStore
from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.membership.eras.work import EraWork
from laburnumwood.membership.node_records import confirm_era
from laburnumwood.membership.view import FleetView
from laburnumwood.records import ShardRecord, StoredObject
from laburnumwood.store.objects import (
    SHARD_PREFIX,
    node_object_name,
    to_record,
)

_REVIEW_MS = 200
_SPREAD_MS = 300  # over which the nodes of a fleet spread their first calls
_INTERVAL_MS = 400  # between two tries to confirm an era
_LATE_INTERVAL_MS = 2_000  # between two tries to write back what came late
# After which the chosen node, and then any that knows it, writes a record back
# that its own node has not written back.
_CHOSEN_DELAY_MS = 600
_ANY_DELAY_MS = 1_200


def _is_shard(stored: StoredObject) -> bool:
    return stored.name.startswith(SHARD_PREFIX)


class EraRecovery(EraWork):
    """Restores, in a new era, what the store has forgotten.

    A node writes back its own record and those of the shards that it owns at
    once, and others, which their nodes may not know or be able to write, after
    a delay.  It confirms the era once the store has all that it remembers, and
    the records of all holders whose leases it renews as a witness: others wait
    for the nodes on record to do so.

    Records of shards that it hears of later are written back too, so that all
    nodes act on the same ones.
    """

    def __init__(
        self,
        lease: Lease,
        witness: Witness,
        view: FleetView,
        store: CachedStore,
        clock: Clock,
    ) -> None:
        super().__init__(lease, witness, view, store, clock)
        self._confirmed_era: int | None = None
        self._due_ms = 0

    def run(self) -> None:
        """Review periodically; does not return."""
        while True:
            eventlet.sleep(_REVIEW_MS / MS_PER_SECOND)
            with suppress(PlatformError):  # retried by the next review
                self.review()

    def review(self) -> None:
        """Write back and confirm the newest era, if that is due.

        Call it regularly.  Raises `PlatformError` if the store does not
        answer; the next call tries again.
        """
        directory = self._view.directory
        directory.learn_era(self._store.era)
        self._store.learn_era(directory.era)
        if self._confirmed_era is None:
            # The record with which the node joined confirms its era.
            own_record = directory.node(self._own)
            if own_record is None:
                return
            self._confirmed_era = own_record.confirmed_era
        if directory.era != self._confirmed_era:
            if self._is_due():
                self._restore(directory.era)
        elif self._is_late_due():
            self._records.write_back(directory.era, _is_shard)

    def _is_due(self) -> bool:
        """Return whether to make the calls of an era now."""
        now_ms = self._clock.now_ms()
        if self._note_era():
            topic = f'{self._own} {self._era}'.encode()
            self._due_ms = now_ms + xxh3_64_intdigest(topic) % _SPREAD_MS
        if now_ms < self._due_ms:
            return False
        self._due_ms = now_ms + _INTERVAL_MS
        return True

    def _is_late_due(self) -> bool:
        """Return whether to write back now what came late."""
        now_ms = self._clock.now_ms()
        if now_ms < self._due_ms or not any(
            map(_is_shard, self._records.find())
        ):
            return False
        self._due_ms = now_ms + _LATE_INTERVAL_MS
        return True

    def _restore(self, era: int) -> None:
        is_whole = self._records.write_back(era, self._is_responsible)
        renewed = self._witness.renewed_holders()
        if is_whole and self._records.are_recorded(renewed):
            confirm_era(self._store, self._own, era, self._lease.active_sets)
            self._confirmed_era = era
            STORE_ERA_CONFIRMED.report(node=self._own, era=era)

    def _is_responsible(self, forgotten: StoredObject) -> bool:
        """Return whether to write back a record now."""
        if self._is_own(forgotten):
            return True
        if self._elapsed_ms < _CHOSEN_DELAY_MS:
            return False
        return self._elapsed_ms >= _ANY_DELAY_MS or self._is_chosen(forgotten)

    def _is_own(self, forgotten: StoredObject) -> bool:
        if _is_shard(forgotten):
            return self._is_owner(to_record(ShardRecord, forgotten))
        return forgotten.name == node_object_name(self._own.node_id)

    def _is_owner(self, record: ShardRecord) -> bool:
        acting = (
            name for name in record.succession if not self._view.is_sealed(name)
        )
        return next(acting, None) == self._own and self._lease.is_held()

    def _is_chosen(self, forgotten: StoredObject) -> bool:
        live = [name for name, _ in self._view.live_nodes()]
        order = rendezvous_order(f'forgotten {forgotten.name}', live)
        return order[:1] == [self._own]
