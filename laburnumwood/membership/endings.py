"""Writing down which incarnations have ended."""

from collections.abc import Iterator
from contextlib import suppress
from enum import Enum

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import PlatformError
from laburnumwood.events import END_RECORDED
from laburnumwood.leases.backless import Candidate, QuorumLossDetector
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.choice import rendezvous
from laburnumwood.membership.joining import (
    drop_older_sets,
    end_seen,
    leave,
)
from laburnumwood.membership.view import FleetView
from laburnumwood.records import NodeName
from laburnumwood.settings import LeaseSettings
from laburnumwood.store.interface import Store

_REVIEW_MS = 1_000
_FIRST_WAIT_MS = 4_000
_MOST_WAIT_MS = 60_000
_CALM_MS = 30_000  # of a held lease, after which waits are short again


class Fate(Enum):
    """How an incarnation stands to what the fleet knows of it."""

    GOES_ON = 'it goes on'
    LAPSED = 'it has lapsed or was ended by an operator'
    REPLACED = 'another process announced itself under the same id'


def fate(lease: Lease, view: FleetView) -> Fate:
    """Return what becomes of an incarnation."""
    own = lease.holder
    entry = view.directory.nodes.get(own.node_id)
    if entry is not None and entry.record.incarnation > own.incarnation:
        return Fate.REPLACED
    gone = {name for name in lease.renewal_targets if view.is_away(name)}
    # Without witnesses it can write no record: it joins anew at once, though
    # others follow only when its worker has let go.
    is_doomed = not lease.can_renew_without(gone)
    if is_doomed or lease.is_over or view.is_sealed(own):
        return Fate.LAPSED
    return Fate.GOES_ON


class Standstill:
    """Finds leases that do not come back while their witnesses are silent.

    Their node then joins anew with other witnesses.  Each time it does so
    without having held a lease for long, it waits twice as long for the next,
    so that one on the small side of a partition does not write again and
    again.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._wait_ms = _FIRST_WAIT_MS
        self._since_ms: int | None = None
        self._held_since_ms: int | None = None

    def is_over(self, lease: Lease) -> bool:
        """Tell whether a lease has been lost for too long; call it often."""
        now_ms = self._clock.now_ms()
        if lease.is_held():
            self._since_ms = None
            held_since_ms = self._held_since_ms or now_ms
            self._held_since_ms = held_since_ms
            if now_ms - held_since_ms >= _CALM_MS:
                self._wait_ms = _FIRST_WAIT_MS
            return False
        self._held_since_ms = None
        self._since_ms = self._since_ms or now_ms
        return now_ms - self._since_ms >= self._wait_ms

    def note(self) -> None:
        """Take in that the node joins anew because of it."""
        self._since_ms = None
        self._wait_ms = min(self._wait_ms * 2, _MOST_WAIT_MS)


def endings(own: NodeName, view: FleetView) -> tuple[NodeName, ...]:
    """Return the proved ends that a node should write to the store.

    Each end is written by one of the live nodes.
    """
    live = [name for name, _ in view.live()]
    return tuple(
        name
        for node_id, entry in view.directory.nodes.items()
        for name in _open_names(node_id, entry.record.open_incarnations)
        if view.seals.has_seal_majority(name)
        and rendezvous(f'end {name}', live)[:1] == [own]
    )


def _open_names(node_id: str, numbers: tuple[int, ...]) -> list[NodeName]:
    return [NodeName(node_id, number) for number in numbers]


def _candidates(view: FleetView) -> Iterator[Candidate]:
    for node_id, entry in view.directory.nodes.items():
        record = entry.record
        for name in _open_names(node_id, record.open_incarnations):
            is_followed = name.incarnation < record.incarnation
            yield Candidate(name, record, entry.version, is_followed)


class Recorder:
    """Keeps the store's records of nodes, and what is kept of lapsed ones."""

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
        self.backless = QuorumLossDetector(settings, clock)
        self._recorded_version = 0

    def run(self) -> None:
        """Review the records again and again; does not return."""
        while True:
            eventlet.sleep(_REVIEW_MS / MS_PER_SECOND)
            self.forget()
            with suppress(PlatformError):  # the next review tries again
                self.record()

    def forget(self) -> None:
        """Forget what is kept of incarnations that have long ended."""
        self._view.forget_past()
        for node_id, entry in self._view.directory.nodes.items():
            self._witness.evict_ended(node_id, entry.record.least_open)

    def record(self) -> None:
        """Write proved ends and new witnesses; raises `PlatformError`."""
        for name in endings(self._lease.holder, self._view):
            leave(self._store, name)
        self._end_backless()
        chosen = self._lease.witnesses
        if chosen.version > self._recorded_version and self._lease.is_held():
            drop_older_sets(self._store, self._lease.holder, chosen)
            self._recorded_version = chosen.version

    def _end_backless(self) -> None:
        over = self.backless.expired(
            _candidates(self._view), self._view.has_forgotten
        )
        live = [name for name, _ in self._view.live()]
        for each in over:
            others = [name for name in live if name != each.name]
            first = rendezvous(f'end {each.name}', others)[:1]
            if first == [self._lease.holder]:
                self._end(each)

    def _end(self, found: Candidate) -> None:
        stored = end_seen(self._store, found.name, found.record, found.version)
        self._view.directory.apply(stored)
        END_RECORDED.report(node=found.name)
