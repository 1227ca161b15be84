"""Renewing this node's lease, and serving as a witness of other leases."""

from collections.abc import Set

import eventlet
from eventlet.event import Event

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import LinkError, PlatformError
from laburnumwood.events import (
    LEASE_HELD,
    LEASE_LOST,
    WITNESSES_CHANGED,
    WITNESSES_KEPT,
)
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.choice import choose_witnesses, replace_witnesses
from laburnumwood.membership.gossip import Gossip
from laburnumwood.membership.node_records import (
    RecordChange,
    record_witness_sets,
    unchanged,
)
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.messages import Done as Acknowledged
from laburnumwood.protocol.messages import (
    Granted,
    Refused,
    Renew,
    Resign,
    SealNotice,
)
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName, Seal, WitnessSet
from laburnumwood.settings import LeaseSettings
from laburnumwood.store.interface import Store
from laburnumwood.tasks import start

_SEAL_CHECK_MS = 100
_REVIEW_MS = 500


class LeaseRenewer:
    """Keeps this node's lease renewed, with one task for each witness."""

    def __init__(
        self,
        lease: Lease,
        witness: Witness,
        gossip: Gossip,
        peers: Peers,
        view: FleetView,
        store: Store,
        settings: LeaseSettings,
        clock: Clock,
    ) -> None:
        self._store = store
        self._lease = lease
        self._witness = witness
        self._gossip = gossip
        self._peers = peers
        self._view = view
        self._settings = settings
        self._clock = clock
        self._renewing: set[NodeName] = set()
        self._wakeup = Event()
        self._wanted: tuple[NodeName, ...] = ()
        self._wanted_for: object = None
        # Renewals carry the digest that lets other nodes pull the change.
        view.directory.on_config_change = self.renew_now

    def start(
        self, avoided: Set[str], other_change: RecordChange = unchanged
    ) -> None:
        """Choose and record the first witnesses, and start to renew.

        Nodes whose ids are in `avoided` are chosen only if there are no
        others.  `other_change` is applied to the node's record in the same
        write.  Raises `PlatformError` if the record can not be written.
        """
        live = self._view.witnesses(avoided)
        members = choose_witnesses(self._lease.holder, live)
        chosen = self._lease.propose_set(members)
        record_witness_sets(
            self._store, self._lease.holder, (chosen,), other_change
        )
        self._lease.set_first_witnesses(chosen)
        self._start_renewals()

    def renew_now(self) -> None:
        """Renew at once, so that witnesses receive new state without delay.

        Writes of records wait until the witnesses know their floors, and a
        change of the witness set waits for a majority of both sets.
        """
        woken, self._wakeup = self._wakeup, Event()
        woken.send(None)

    def run(self) -> None:
        """Review the witness set periodically until the lease is over."""
        held = False
        while not self._lease.is_over:
            eventlet.sleep(_REVIEW_MS / MS_PER_SECOND)
            self._review()
            if self._lease.is_held() != held:
                held = not held
                event = LEASE_HELD if held else LEASE_LOST
                event.report(node=self._lease.holder)

    def _review(self) -> None:
        self._start_renewals()
        if self._lease.is_changing:
            self._exclude_ended_witnesses()
            return
        wanted = self._wanted_witnesses()
        current = self._lease.witnesses.members
        if set(wanted) != set(current) and self._lease.is_held():
            self._change(self._lease.propose_set(wanted))

    def _exclude_ended_witnesses(self) -> None:
        ended = filter(
            self._view.has_process_ended, self._lease.renewal_targets
        )
        if self._lease.ignore_ended(frozenset(ended)):
            self.renew_now()

    def _wanted_witnesses(self) -> tuple[NodeName, ...]:
        """Return the witnesses to have, recomputed only after a change."""
        current, lost = (
            self._lease.witnesses.members,
            self._lease.lost_witnesses,
        )
        inputs = (self._view.node_version, current, lost)
        if inputs != self._wanted_for:
            live = self._view.witnesses()
            usable = set(current).difference(lost).intersection(live)
            chosen = replace_witnesses(self._lease.holder, usable, live)
            # A node that leaves may find no live node; it keeps its witnesses,
            # since it needs its lease until it has left.
            self._wanted = chosen or current
            # Choosing may detect ends, which changes the version itself.
            self._wanted_for = (self._view.node_version, current, lost)
        return self._wanted

    def _change(self, chosen: WitnessSet) -> None:
        lease = self._lease
        try:
            record_witness_sets(
                self._store, lease.holder, (lease.witnesses, chosen)
            )
        except PlatformError as failure:
            WITNESSES_KEPT.report(node=lease.holder, reason=failure)
            return
        lease.begin_change(chosen)
        names = ','.join(str(name) for name in chosen.members)
        WITNESSES_CHANGED.report(node=lease.holder, witnesses=names)
        self._start_renewals()
        self.renew_now()

    def _start_renewals(self) -> None:
        for name in self._lease.renewal_targets:
            if name not in self._renewing:
                self._renewing.add(name)
                start(self._renew_repeatedly, name)

    def _renew_repeatedly(self, name: NodeName) -> None:
        try:
            while self._is_renewal_due(name):
                started_ms = self._clock.now_ms()
                self._renew(name)
                elapsed_ms = self._clock.now_ms() - started_ms
                self._pause(self._settings.renew_ms - elapsed_ms)
        finally:
            self._renewing.discard(name)

    def _is_renewal_due(self, name: NodeName) -> bool:
        wanted = (
            name in self._lease.renewal_targets
            and name not in self._lease.lost_witnesses
        )
        return wanted and not self._lease.is_over

    def _pause(self, pause_ms: int) -> None:
        if pause_ms <= 0:
            eventlet.sleep(0)
            return
        with eventlet.Timeout(pause_ms / MS_PER_SECOND, exception=False):
            self._wakeup.wait()

    def _renew(self, name: NodeName) -> None:
        request = self._lease.renewal_request(name, self._view.digest())
        sent_ms = self._clock.now_ms()
        try:
            reply = self._send(name, request)
        except LinkError:
            return
        if isinstance(reply, Granted):
            if self._lease.record_grant(request, sent_ms):
                self.renew_now()
            self._gossip.pull_if_newer(name, reply.digest)
        elif isinstance(reply, Refused):
            self._handle_refusal(name, reply)

    def _send(self, name: NodeName, request: Renew) -> object:
        if name == self._witness.name:
            return self._witness.renew(request, request.digest)
        return self._peers.call(name, request, self._settings.renew_ms)

    def _handle_refusal(self, name: NodeName, refusal: Refused) -> None:
        if refusal.reason != 'set-unknown':
            self._lease.record_refusal(name)
        if refusal.seal is not None:
            self._gossip.add_seals((refusal.seal,))


class WitnessService:
    """Serves the lease holders that this node is a witness of."""

    def __init__(
        self,
        witness: Witness,
        gossip: Gossip,
        view: FleetView,
        dispatcher: Dispatcher,
    ) -> None:
        self._witness = witness
        self._gossip = gossip
        self._view = view
        dispatcher.on(Renew)(self._serve_renew)
        dispatcher.on(Resign)(self._serve_resign)

    def run(self) -> None:
        """Seal the holders whose leases lapse; does not return."""
        while True:
            eventlet.sleep(_SEAL_CHECK_MS / MS_PER_SECOND)
            for seal in self._witness.seal_lapsed():
                self.publish_seal(seal)

    def publish_seal(self, seal: Seal) -> None:
        """Apply a seal of this node and notify the nodes that need it.

        These are the successors in the shards of the holder, and its other
        witnesses.
        """
        self._gossip.add_seals((seal,))
        receivers = self._shard_successors(seal.holder)
        receivers.update(name for each in seal.sets for name in each.members)
        receivers.difference_update((self._witness.name, seal.holder))
        self._gossip.notify(receivers, SealNotice((seal,)))

    def _shard_successors(self, holder: NodeName) -> set[NodeName]:
        directory = self._view.directory
        entries = map(directory.shard, directory.shards_listing(holder))
        return {
            name
            for entry in entries
            if entry is not None
            for name in entry.record.succession
        }

    def _serve_renew(self, link: Link, stream: Stream, request: Renew) -> None:
        if link.peer != request.holder:
            stream.send(Refused('another-peer'))
            return
        stream.send(self._witness.renew(request, self._view.digest()))
        self._gossip.pull_if_newer(request.holder, request.digest)

    def _serve_resign(
        self, link: Link, stream: Stream, request: Resign
    ) -> None:
        if link.peer == request.holder:
            seal = self._witness.seal(request.holder)
            if seal is not None:
                self.publish_seal(seal)
        stream.send(Acknowledged())
