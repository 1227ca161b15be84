"""Detecting and recording the ends of incarnations."""

from collections.abc import Iterator
from contextlib import suppress
from enum import Enum

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import PlatformError
from laburnumwood.events import END_RECORDED
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.quorum_loss import Candidate, QuorumLossDetector
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.membership.eras.barrier import EraBarrier
from laburnumwood.membership.node_records import (
    drop_older_witness_sets,
    record_end,
    record_end_if_unchanged,
)
from laburnumwood.membership.view import FleetView
from laburnumwood.records import NodeName
from laburnumwood.settings import LeaseSettings
from laburnumwood.store.interface import Store

_REVIEW_MS = 1_000
_INITIAL_BACKOFF_MS = 4_000
_MAX_BACKOFF_MS = 60_000
_BACKOFF_RESET_MS = 30_000  # the lease must be held this long


class IncarnationStatus(Enum):
    """Whether an incarnation of this node may go on."""

    ACTIVE = 'it goes on'
    LAPSED = 'it has lapsed or was ended by an operator'
    REPLACED = 'another process announced itself under the same id'


def incarnation_status(lease: Lease, view: FleetView) -> IncarnationStatus:
    """Return whether the incarnation that holds a lease may go on."""
    own = lease.holder
    entry = view.directory.nodes.get(own.node_id)
    if entry is not None and entry.record.incarnation > own.incarnation:
        return IncarnationStatus.REPLACED
    ended_witnesses = {
        name for name in lease.renewal_targets if view.has_process_ended(name)
    }
    # Without a majority of witnesses the node can neither renew its lease nor
    # write a record, so it rejoins at once.  Other nodes take its shards over
    # only after its worker has released them.
    can_never_renew = not lease.can_renew_without(ended_witnesses)
    if can_never_renew or lease.is_over or view.is_sealed(own):
        return IncarnationStatus.LAPSED
    return IncarnationStatus.ACTIVE


class RejoinBackoff:
    """Decides when a node without a lease rejoins with other witnesses.

    A lease can stay lost because its witnesses do not answer.  The backoff
    doubles with each rejoin until a lease has been held for a while, so that
    a node on the minority side of a partition does not write to the store
    again and again.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._backoff_ms = _INITIAL_BACKOFF_MS
        self._lost_since_ms: int | None = None
        self._held_since_ms: int | None = None

    def is_due(self, lease: Lease) -> bool:
        """Return whether a lease has been lost for longer than the backoff.

        Call it at short intervals: it samples whether the lease is held.
        """
        now_ms = self._clock.now_ms()
        if lease.is_held():
            self._lost_since_ms = None
            held_since_ms = self._held_since_ms or now_ms
            self._held_since_ms = held_since_ms
            if now_ms - held_since_ms >= _BACKOFF_RESET_MS:
                self._backoff_ms = _INITIAL_BACKOFF_MS
            return False
        self._held_since_ms = None
        self._lost_since_ms = self._lost_since_ms or now_ms
        return now_ms - self._lost_since_ms >= self._backoff_ms

    def record_rejoin(self) -> None:
        """Record a rejoin: restart the wait with twice the backoff."""
        self._lost_since_ms = None
        self._backoff_ms = min(self._backoff_ms * 2, _MAX_BACKOFF_MS)


def ends_to_record(own: NodeName, view: FleetView) -> tuple[NodeName, ...]:
    """Return the proved ends of incarnations that node `own` has to record.

    Rendezvous hashing selects one of the live nodes to record each end.
    """
    live = [name for name, _ in view.live_nodes()]
    return tuple(
        name
        for node_id, entry in view.directory.nodes.items()
        for name in _incarnation_names(node_id, entry.record.open_incarnations)
        if view.seals.has_seal_majority(name)
        and rendezvous_order(f'end {name}', live)[:1] == [own]
    )


def _incarnation_names(
    node_id: str, numbers: tuple[int, ...]
) -> list[NodeName]:
    return [NodeName(node_id, number) for number in numbers]


def _candidates(view: FleetView) -> Iterator[Candidate]:
    for node_id, entry in view.directory.nodes.items():
        record = entry.record
        for name in _incarnation_names(node_id, record.open_incarnations):
            is_superseded = name.incarnation < record.incarnation
            yield Candidate(name, record, entry.condition, is_superseded)


class NodeRecordUpdater:
    """Records ends of incarnations and completed changes of witness sets.

    Also evicts what the view and the witness keep of ended incarnations.
    """

    def __init__(
        self,
        lease: Lease,
        witness: Witness,
        view: FleetView,
        store: Store,
        settings: LeaseSettings,
        clock: Clock,
    ) -> None:
        self._lease = lease
        self._witness = witness
        self._view = view
        self._store = store
        self.quorum_loss_detector = QuorumLossDetector(settings, clock)
        self._recorded_set_version = 0
        self._barrier = EraBarrier(view, clock)

    def run(self) -> None:
        """Review the records periodically; does not return."""
        while True:
            eventlet.sleep(_REVIEW_MS / MS_PER_SECOND)
            self.evict_ended()
            with suppress(PlatformError):  # retried by the next review
                self.write_changes()

    def evict_ended(self) -> None:
        """Evict obsolete seals, and the witness's state of ended holders."""
        self._view.evict_obsolete_seals()
        for node_id, entry in self._view.directory.nodes.items():
            self._witness.evict_ended(
                node_id, entry.record.first_open_incarnation
            )

    def write_changes(self) -> None:
        """Record ends and the current witness set in the store.

        Raises `PlatformError` if the store does not answer or refuses a write.
        """
        for name in ends_to_record(self._lease.holder, self._view):
            record_end(self._store, name)
        self._record_unrenewable()
        chosen = self._lease.witnesses
        if (
            chosen.version > self._recorded_set_version
            and self._lease.is_held()
        ):
            drop_older_witness_sets(self._store, self._lease.holder, chosen)
            self._recorded_set_version = chosen.version

    def _record_unrenewable(self) -> None:
        unrenewable = self.quorum_loss_detector.expired(
            _candidates(self._view), self._view.has_restarted
        )
        if not self._barrier.is_passed():
            return  # the store may have forgotten newer witnesses
        live = [name for name, _ in self._view.live_nodes()]
        for candidate in unrenewable:
            others = [name for name in live if name != candidate.name]
            recorder = rendezvous_order(f'end {candidate.name}', others)[:1]
            if recorder == [self._lease.holder]:
                self._record_end(candidate)

    def _record_end(self, found: Candidate) -> None:
        stored = record_end_if_unchanged(
            self._store, found.name, found.record, found.version
        )
        self._view.directory.apply(stored)
        END_RECORDED.report(node=found.name)
