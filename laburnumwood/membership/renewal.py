"""Renewal of this node's lease, and service to those it witnesses for."""

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
from laburnumwood.membership.joining import (
    Change,
    record_witnesses,
    unchanged,
)
from laburnumwood.membership.spreading import Spreader
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.messages import Done as Carried
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

_SEAL_TICK_MS = 100
_REVIEW_MS = 500


class Renewer:
    """Keeps this node's lease renewed: a task for each witness."""

    def __init__(
        self,
        lease: Lease,
        witness: Witness,
        spreader: Spreader,
        peers: Peers,
        view: FleetView,
        store: Store,
        settings: LeaseSettings,
        clock: Clock,
    ) -> None:
        self._store = store
        self._lease = lease
        self._witness = witness
        self._spreader = spreader
        self._peers = peers
        self._view = view
        self._settings = settings
        self._clock = clock
        self._asking: set[NodeName] = set()
        self._poke = Event()
        self._chosen: tuple[NodeName, ...] = ()
        self._chosen_for: object = None
        # What is new in it reaches the others with the next renewals.
        view.directory.when_config_changes = self.poke

    def begin(self, avoided: Set[str], also: Change = unchanged) -> None:
        """Choose the first witnesses and ask them; raises `PlatformError`.

        Nodes whose ids are in `avoided` are taken only if there are no others.
        What `also` changes goes on record with them.
        """
        live = self._view.witnesses(avoided)
        members = choose_witnesses(self._lease.holder, live)
        chosen = self._lease.propose_set(members)
        record_witnesses(self._store, self._lease.holder, (chosen,), also)
        self._lease.set_first_witnesses(chosen)
        self._ask_all()

    def poke(self) -> None:
        """Renew at once, so that witnesses hear what is new.

        New floors are waited for, and while the set of witnesses changes, a
        majority of both sets is needed.
        """
        poked, self._poke = self._poke, Event()
        poked.send(None)

    def run(self) -> None:
        """Review the set of witnesses until the incarnation is over."""
        held = False
        while not self._lease.is_over:
            eventlet.sleep(_REVIEW_MS / MS_PER_SECOND)
            self._review()
            if self._lease.is_held() != held:
                held = not held
                event = LEASE_HELD if held else LEASE_LOST
                event.report(node=self._lease.holder)

    def _review(self) -> None:
        self._ask_all()
        if self._lease.is_changing:
            self._pass_over_ended()
            return
        wanted = self._wanted_witnesses()
        standing = self._lease.witnesses.members
        if set(wanted) != set(standing) and self._lease.is_held():
            self._change(self._lease.propose_set(wanted))

    def _pass_over_ended(self) -> None:
        ended = filter(self._view.is_away, self._lease.renewal_targets)
        if self._lease.ignore_ended(frozenset(ended)):
            self.poke()

    def _wanted_witnesses(self) -> tuple[NodeName, ...]:
        """Return the witnesses to have, chosen anew only after news."""
        standing, lost = (
            self._lease.witnesses.members,
            self._lease.lost_witnesses,
        )
        known = (self._view.node_version, standing, lost)
        if known != self._chosen_for:
            live = self._view.witnesses()
            good = set(standing).difference(lost).intersection(live)
            chosen = replace_witnesses(self._lease.holder, good, live)
            # A node that leaves may find nobody, and needs its lease till then.
            self._chosen = chosen or standing
            # Choosing may note ends, which is news in itself.
            self._chosen_for = (self._view.node_version, standing, lost)
        return self._chosen

    def _change(self, chosen: WitnessSet) -> None:
        lease = self._lease
        try:
            record_witnesses(
                self._store, lease.holder, (lease.witnesses, chosen)
            )
        except PlatformError as failure:
            WITNESSES_KEPT.report(node=lease.holder, reason=failure)
            return
        lease.begin_change(chosen)
        names = ','.join(str(name) for name in chosen.members)
        WITNESSES_CHANGED.report(node=lease.holder, witnesses=names)
        self._ask_all()
        self.poke()

    def _ask_all(self) -> None:
        for name in self._lease.renewal_targets:
            if name not in self._asking:
                self._asking.add(name)
                start(self._ask_often, name)

    def _ask_often(self, name: NodeName) -> None:
        try:
            while self._wants(name):
                started_ms = self._clock.now_ms()
                self._ask(name)
                took_ms = self._clock.now_ms() - started_ms
                self._pause(self._settings.renew_ms - took_ms)
        finally:
            self._asking.discard(name)

    def _wants(self, name: NodeName) -> bool:
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
            self._poke.wait()

    def _ask(self, name: NodeName) -> None:
        request = self._lease.renewal_request(name, self._view.digest())
        sent_ms = self._clock.now_ms()
        try:
            reply = self._send(name, request)
        except LinkError:
            return
        if isinstance(reply, Granted):
            if self._lease.record_grant(request, sent_ms):
                self.poke()
            self._spreader.compare(name, reply.digest)
        elif isinstance(reply, Refused):
            self._take_refusal(name, reply)

    def _send(self, name: NodeName, request: Renew) -> object:
        if name == self._witness.name:
            return self._witness.renew(request, request.digest)
        return self._peers.call(name, request, self._settings.renew_ms)

    def _take_refusal(self, name: NodeName, refusal: Refused) -> None:
        if refusal.reason != 'set-unknown':
            self._lease.record_refusal(name)
        if refusal.seal is not None:
            self._spreader.add_seals((refusal.seal,))


class WitnessDesk:
    """Serves the holders that this node is a witness of."""

    def __init__(
        self,
        witness: Witness,
        spreader: Spreader,
        view: FleetView,
        dispatcher: Dispatcher,
    ) -> None:
        self._witness = witness
        self._spreader = spreader
        self._view = view
        dispatcher.on(Renew)(self._serve_renew)
        dispatcher.on(Resign)(self._serve_resign)

    def run(self) -> None:
        """Seal the holders whose grants lapse; does not return."""
        while True:
            eventlet.sleep(_SEAL_TICK_MS / MS_PER_SECOND)
            for seal in self._witness.seal_lapsed():
                self.publish(seal)

    def publish(self, seal: Seal) -> None:
        """Take in a seal of this node and tell those who act on it."""
        self._spreader.add_seals((seal,))
        told = self._followers(seal.holder)
        told.update(name for each in seal.sets for name in each.members)
        told.difference_update((self._witness.name, seal.holder))
        self._spreader.tell(told, SealNotice((seal,)))

    def _followers(self, holder: NodeName) -> set[NodeName]:
        directory = self._view.directory
        entries = map(directory.shard, directory.shards_naming(holder))
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
        self._spreader.compare(request.holder, request.digest)

    def _serve_resign(
        self, link: Link, stream: Stream, request: Resign
    ) -> None:
        if link.peer == request.holder:
            seal = self._witness.seal(request.holder)
            if seal is not None:
                self.publish(seal)
        stream.send(Carried())
