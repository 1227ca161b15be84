"""An incarnation as a member of the fleet: its lease and its witnessing."""

from collections.abc import Callable

from laburnumwood.clock import Clock
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.cached_store import CachedStore
from laburnumwood.membership.configuration.news import ConfigNews
from laburnumwood.membership.eras.proxy import EraProxy
from laburnumwood.membership.eras.recovery import EraRecovery
from laburnumwood.membership.gossip import Gossip
from laburnumwood.membership.incarnation_ends import NodeRecordUpdater
from laburnumwood.membership.memory_exchange import MemoryExchange
from laburnumwood.membership.renewal import LeaseRenewer, WitnessService
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.settings import LeaseSettings


class Member:
    """Renews a lease, serves as a witness and keeps the records of nodes."""

    def __init__(
        self,
        lease: Lease,
        witness: Witness,
        view: FleetView,
        peers: Peers,
        dispatcher: Dispatcher,
        store: CachedStore,
        settings: LeaseSettings,
        clock: Clock,
    ) -> None:
        self.gossip = Gossip(view, peers, dispatcher)
        self.renewer = LeaseRenewer(
            lease,
            witness,
            self.gossip,
            peers,
            view,
            store,
            settings,
            clock,
        )
        self._view = view
        self._config_news = ConfigNews(lease.holder, view, self.gossip, clock)
        view.directory.on_config_change = self._announce_config
        view.evacuations.on_change = self._announce_evacuations
        self._witness_service = WitnessService(
            witness, self.gossip, view, dispatcher
        )
        self._record_updater = NodeRecordUpdater(
            lease, witness, view, store, settings, clock
        )
        self._era_recovery = EraRecovery(lease, witness, view, store, clock)
        self._memory_exchange = MemoryExchange(
            EraProxy(lease, witness, view, store, clock),
            lambda: view.directory.era,
            peers,
            dispatcher,
        )

    @property
    def tasks(self) -> tuple[Callable[[], None], ...]:
        """Return the tasks that have to run until the incarnation ends."""
        return (
            self.renewer.run,
            self._witness_service.run,
            self._record_updater.run,
            self._era_recovery.run,
            self._memory_exchange.run,
        )

    def _announce_config(self) -> None:
        # Renewals reach nodes that do not know what a pull tells them.
        self.renewer.renew_now()
        self._config_news.spread()

    def _announce_evacuations(self) -> None:
        # Renewals carry what is known of them.
        self.renewer.renew_now()
        self._view.directory.changes.notify_all()
