"""Deciding when the records of a store that came back are to be relied on.

A store that comes back from an older copy has forgotten its last changes,
such as the record of a shard's present owner.  In the new era each node writes
back what it is responsible for, and then confirms the era in its own record.
Until all nodes that may hold a lease have done so, nobody may begin to act on
a record of an earlier era: an owner that the copy does not name may still
hold its lease.
"""

from laburnumwood.clock import Clock
from laburnumwood.leases.quorum_loss import has_lost_quorum
from laburnumwood.membership.view import FleetView
from laburnumwood.records import NodeName, NodeRecord

# For nodes that are not known here to learn of the era and to write their
# own records back.
_SETTLE_MS = 1_500


def _is_unconfirmed(record: NodeRecord, era: int) -> bool:
    # Nodes of earlier versions record no era and can't confirm one.
    return bool(record.era) and record.confirmed_era < era


class EraBarrier:
    """Tells whether all nodes have confirmed the newest era of the store."""

    def __init__(self, view: FleetView, clock: Clock) -> None:
        self._view = view
        self._clock = clock
        self._era = 0
        self._era_since_ms = clock.now_ms()
        self._passed_era = 0

    def is_passed(self) -> bool:
        """Return whether records of earlier eras may be relied on.

        Call it regularly: it notes when an era was first seen.
        """
        era = self._view.directory.era
        if era != self._era:
            self._era = era
            self._era_since_ms = self._clock.now_ms()
        if era <= 1 or era == self._passed_era:
            return True
        elapsed_ms = self._clock.now_ms() - self._era_since_ms
        if elapsed_ms < _SETTLE_MS or self._has_unconfirmed(era):
            return False
        self._passed_era = era
        return True

    def _has_unconfirmed(self, era: int) -> bool:
        return any(
            _is_unconfirmed(entry.record, era)
            and self._may_hold_lease(node_id, entry.record)
            for node_id, entry in self._view.directory.nodes.items()
        )

    def _may_hold_lease(self, node_id: str, record: NodeRecord) -> bool:
        name = NodeName(node_id, record.incarnation)
        if self._view.is_sealed(name):
            return False
        return not has_lost_quorum(record, self._view.has_restarted)
