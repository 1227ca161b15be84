"""What a node needs for its work when the store has begun a new era."""

from laburnumwood.clock import Clock
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.cached_store import CachedStore
from laburnumwood.membership.eras.forgotten_records import ForgottenRecords
from laburnumwood.membership.view import FleetView


class EraWork:
    """Base of the classes that confirm eras; it tracks the newest one."""

    records_class = ForgottenRecords

    def __init__(
        self,
        lease: Lease,
        witness: Witness,
        view: FleetView,
        store: CachedStore,
        clock: Clock,
    ) -> None:
        self._own = lease.holder
        self._lease = lease
        self._witness = witness
        self._view = view
        self._store = store
        self._clock = clock
        self._records = self.records_class(view, store)
        self._era = 0
        self._era_since_ms = 0

    def _note_era(self) -> bool:
        """Note the newest era; return whether it was not known before."""
        era = self._view.directory.era
        if era == self._era:
            return False
        self._era, self._era_since_ms = era, self._clock.now_ms()
        return True

    @property
    def _elapsed_ms(self) -> int:
        """The time since the newest era was first known here."""
        return self._clock.now_ms() - self._era_since_ms
