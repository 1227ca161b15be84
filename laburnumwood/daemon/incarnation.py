"""One incarnation of a node, put together from its components."""

from contextlib import suppress

from laburnumwood.clock import Clock
from laburnumwood.daemon.grant_source import ShardGrantSource
from laburnumwood.daemon.handover_announcer import HandoverAnnouncer
from laburnumwood.daemon.load import LoadComponents
from laburnumwood.errors import PlatformError
from laburnumwood.integration import Integration
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.cached_store import CachedStore
from laburnumwood.membership.configuration.freshness import ConfigFreshness
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.member import Member
from laburnumwood.membership.node_records import (
    announce_leaving,
    is_store_reachable,
    record_earlier_ends,
    record_end,
)
from laburnumwood.membership.store_watcher import StoreWatcher
from laburnumwood.membership.view import FleetView
from laburnumwood.membership.worker_announcer import WorkerAnnouncer
from laburnumwood.operators.api import OperatorApi
from laburnumwood.operators.capacity import CapacityAccount
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.ownership_tracker import OwnershipTracker
from laburnumwood.placement.shard_manager import ShardManager
from laburnumwood.placement.unserved_shards import UnservedShards
from laburnumwood.placement.writer import ShardWriter
from laburnumwood.protocol.messages import Resign, Work
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.routing.execution import Executor
from laburnumwood.routing.gate import AdmissionGate, WorkerState
from laburnumwood.routing.ledger_replication import LedgerReplicator
from laburnumwood.routing.measured_ingress import MeasuredIngress
from laburnumwood.routing.router import Router
from laburnumwood.routing.shared_quarantine import SharedQuarantine
from laburnumwood.settings import DaemonSettings
from laburnumwood.store.interface import Store
from laburnumwood.tasks import Task, Tasks, start
from laburnumwood.upstream.granter import Granter
from laburnumwood.upstream.grants import Grants
from laburnumwood.upstream.load_poller import LoadPoller
from laburnumwood.upstream.reporting_worker import ReportingWorker
from laburnumwood.upstream.worker import WorkerClient


class Incarnation:
    """One incarnation of a node from its join to its end, with its tasks."""

    def __init__(
        self,
        name: NodeName,
        settings: DaemonSettings,
        integration: Integration,
        platform: Store,
        reporting: ReportingWorker,
        witness: Witness,
        clock: Clock,
        earlier: 'Incarnation | None' = None,
    ) -> None:
        self.name = name
        self._platform = platform
        self._process = witness.name
        self._settings = settings
        self._integration = integration
        self._reporting = reporting
        self._tasks = Tasks()
        self._watch_tasks = Tasks()
        self.dispatcher = Dispatcher()
        self.view = FleetView(Directory(clock), SealRegistry())
        self.lease = Lease(name, settings.lease, clock)
        self.held_shards = HeldShards()
        self._peers = Peers(
            name,
            LinkSecurity(settings.shared_key, settings.tls),
            self.view.address,
            self.dispatcher,
            clock,
        )
        self.load = LoadComponents(
            settings, name, self.view, self._peers, clock
        )
        self._store_watcher = StoreWatcher(
            name, platform, self.view, clock, settings
        )
        self._cached_store = CachedStore(platform, self.view.directory)
        self._member = Member(
            self.lease,
            witness,
            self.view,
            self._peers,
            self.dispatcher,
            self._cached_store,
            settings.lease,
            clock,
        )
        self._worker_interface = integration.make_worker_interface(reporting)
        self._worker = WorkerClient(
            settings.worker_url,
            settings.connections,
            clock,
            reporting.signals.warm_up,
            self._worker_interface.record_health,
        )
        self._granter: Granter | None = None
        self._grants = self._make_grants(clock)
        self._unserved = UnservedShards(
            self.held_shards, self._grants, self.lease, clock
        )
        self._worker_announcer = WorkerAnnouncer(
            name,
            self.view,
            self._cached_store,
            self._worker_state,
            reporting.presence.departures,
            lambda: (
                reporting.has_released_all and not reporting.released_ranges
            ),
        )
        self._handover_announcer = HandoverAnnouncer(
            name,
            settings.service,
            reporting,
            self.view,
            self._member.gossip,
            self.dispatcher,
        )
        self._make_placement(platform, clock)
        self._make_routing(platform, clock, earlier)

    def start(self, avoided: frozenset[str]) -> None:
        """Read the store, record the first witnesses and start all tasks.

        The node gets shards only once its worker has answered.  Nodes whose
        ids are in `avoided` are chosen as witnesses only if there are no
        others.  Raises `PlatformError` if the store does not answer.
        """
        self._store_watcher.list_all()
        if self._integration.worker_reports:
            # Until now the terms of the earlier incarnation were in force.
            self._reporting.signals.warm_up.period.terms = lambda: (
                self.view.directory.declarations.warm_ups.get(
                    self._settings.service
                )
            )
        self._quarantine.learn(self._settings.service)
        if self._granter is not None:
            self._granter.probe()
        self._member.renewer.start(
            avoided, self._worker_announcer.with_initial_worker_state
        )
        # What is acknowledged to the worker is recorded as long as it can be.
        for watch in (*self._store_watcher.tasks, self._worker_announcer.run):
            self._watch_tasks.start(watch)
        for task in (
            *self._member.tasks,
            *self._worker_tasks(),
            self._account.run,
            self.ingress.report_served,
            self.ingress.report_load,
            self.load.run,
            self._shard_manager.follow_ownership,
            self._shard_manager.write_records,
            self._unserved.watch,
        ):
            self._tasks.start(task)

    @property
    def has_lost_worker(self) -> bool:
        """Return whether the worker is lost and other nodes can take over.

        Without other live nodes the node keeps its shards and their state.  A
        worker that has not answered yet has no shards to give up.
        """
        granter = self._granter
        if granter is None or not granter.has_answered:
            return False
        if not granter.health.is_lost:
            return False
        live = self.view.serving_nodes(self._settings.service)
        return bool(live.keys() - {self.name})

    @property
    def is_worker_announced(self) -> bool:
        """Return whether the node's record has the worker's current state."""
        return self._worker_announcer.is_announced

    @property
    def confirmed_era(self) -> int:
        """Return the last era of the store that is confirmed on record."""
        record = self.view.directory.node(self.name)
        return record.confirmed_era if record else 0

    @property
    def is_busy(self) -> bool:
        """Return whether requests run on the worker or wait for it."""
        return bool(self.gate.running or self.gate.waiting)

    @property
    def held_for_ms(self) -> int:
        """Return for how many ms the worker may still hold its grants."""
        return self._grants.held_for_ms()

    @property
    def has_finished(self) -> bool:
        """Return whether no request runs or waits and no grant is held.

        Other nodes may take over its shards then.
        """
        return not self.is_busy and not self.held_for_ms

    def retire(self) -> int:
        """Stop admitting requests, and announce that the node is leaving.

        Returns the time in ms at which the worker's grants expire.
        """
        self._shard_manager.withdraw_all()
        start(self._announce_leaving)
        return self._granter.retire() if self._granter else 0

    def is_store_reachable(self) -> bool:
        """Return whether the store answers a read now."""
        return is_store_reachable(self._platform, self.name)

    def is_worker_reachable(self) -> bool:
        """Return whether the worker answers, by sending it an empty grant."""
        return self._worker.grant({}, 0)

    def hand_over(self, patience_ms: int) -> None:
        """Move every shard to another node within `patience_ms`, and resign.

        The witnesses then seal this incarnation, and its successors take over
        the shards that could not be moved in time.  While the worker may still
        hold grants, the witnesses are not asked to seal before the lease
        expires.
        """
        start(self._announce_leaving)
        self._shard_manager.hand_over_all(self.name, patience_ms)
        witnesses = set(self.lease.witnesses.members)
        self.lease.resign()
        if not self.held_for_ms:
            receivers = witnesses - {self.name}
            self._member.gossip.notify(receivers, Resign(self.name))

    def announce_handovers(self) -> None:
        """Announce what the worker has released to the service's nodes."""
        self._handover_announcer.announce()

    def record_earlier_ends(self) -> None:
        """Record that the incarnations of earlier processes have ended."""
        record_earlier_ends(self._cached_store, self._process)

    def record_end(self) -> None:
        """Record that this incarnation has ended."""
        record_end(self._cached_store, self.name)

    def deactivate(self) -> None:
        """Give up the lease and all shards and stop the tasks.

        Requests are still forwarded to other nodes.
        """
        self.lease.resign()
        self.held_shards.drop_all()
        self._tasks.kill()

    def release(self) -> None:
        """Stop what is left after `deactivate`, except requests in progress."""
        self._watch_tasks.kill()
        self._peers.release()

    def close(self) -> None:
        """Stop all that is left after `deactivate`."""
        self._watch_tasks.kill()
        self._peers.close()

    def _announce_leaving(self) -> None:
        # Otherwise other nodes would go on moving shards to this one.  While
        # the store does not answer, no node can move any, so errors are safe.
        with suppress(PlatformError):
            announce_leaving(self._cached_store, self.name)

    def _make_grants(self, clock: Clock) -> Grants:
        if self._integration.worker_reports:
            grant_source = ShardGrantSource(
                self._settings.service, self.lease, self.held_shards, self.view
            )
            return grant_source.attach(self._reporting)
        self._granter = Granter(
            self._worker,
            self.held_shards.tokens,
            self.lease.expires_at_ms,
            self.held_shards.close,
            clock,
        )
        return self._granter

    def _worker_tasks(self) -> tuple[Task, ...]:
        ledger = (
            self._ledger_replicator.run,
        ) * self._integration.has_idempotency_keys
        if self._granter is not None:
            return (*ledger, self._granter.run, self._load_poller.run)
        return ledger

    def _worker_state(self) -> tuple[bool, int]:
        if self._granter is not None:
            return self._granter.has_answered, self._settings.slots
        presence = self._reporting.presence
        return presence.is_serving, presence.slots

    def _slots(self) -> int:
        return self._reporting.presence.slots or self._settings.slots

    def _may_start(self) -> bool:
        return (
            self._granter is not None
            or self._reporting.presence.accepts_requests()
        )

    def _make_placement(self, platform: Store, clock: Clock) -> None:
        service = self._settings.service
        writer = ShardWriter(
            platform, self.view.directory, self._member.renewer
        )
        ownership = OwnershipTracker(
            service, self.view, self.lease, self.held_shards, clock
        )
        self._shard_manager = ShardManager(
            service,
            self.view,
            ownership,
            self.held_shards,
            writer,
            self._member.gossip,
            self.load.balancer,
            self._grants,
            clock,
        )

    def _make_routing(
        self, platform: Store, clock: Clock, earlier: 'Incarnation | None'
    ) -> None:
        self._account = CapacityAccount(
            self._settings, lambda: self.view.directory.declarations, clock
        )
        self._ledger_replicator: LedgerReplicator = LedgerReplicator(
            self.name,
            self.view,
            self.held_shards,
            self._peers,
            self.dispatcher,
            self.lease.is_held,
            clock,
            earlier._ledger_replicator if earlier else None,
        )
        if self._integration.has_idempotency_keys:
            ledger = self._ledger_replicator
            self._shard_manager.before_move = ledger.hand_over
            self._shard_manager.before_create = ledger.hand_over_part
        self._quarantine = SharedQuarantine(
            self.name, self.view, self._peers, self.dispatcher, clock
        )
        executor = Executor(
            self._worker,
            self._worker_interface,
            self._ledger_replicator,
            self._quarantine,
            clock,
        )
        gate = AdmissionGate(
            self._settings,
            self.lease,
            self.held_shards,
            self._grants,
            executor,
            lambda: self.view.directory.declarations,
            self.view.directory,
            self._account,
            self.load.meter,
            WorkerState(
                self._may_start,
                self._slots,
                self._reporting.signals.start_limiter,
                self._reporting.signals.notice,
                self._reporting.signals.known_notice,
                self._reporting.signals.record_notice,
                lambda: self._reporting.presence.instance,
                lambda: self.view.is_evacuated(self._settings.failure_domain),
                lambda: self.view.evacuations.may_owners_serve(
                    self._settings.failure_domain,
                    self._settings.evacuation_limit_ms,
                ),
            ),
            clock,
        )
        self._load_poller = LoadPoller(self._worker, gate.set_reported_running)
        self.load.serve(self.dispatcher, gate)
        router = Router(
            self.name,
            self.view,
            self._peers,
            gate.serve_local,
            self.load.request_balancer,
            self.load.retries,
            clock,
            self._settings.owner_patience_ms,
            self._settings.admission,
        )
        config_freshness = ConfigFreshness(
            self.name,
            self.view,
            platform,
            self._peers,
            self.dispatcher,
            clock,
            self._settings.config_limit_ms,
        )
        self.ingress = MeasuredIngress(
            router,
            self._integration.make_caller_interface(self._settings),
            lambda: self.view.directory.declarations,
            self.view.directory.config_monitor.status,
            config_freshness,
            clock,
        )
        self.operators = OperatorApi(
            self.view,
            self.lease,
            self.held_shards,
            self._unserved,
            gate,
            self._account,
        )
        self.gate = gate

        @self.dispatcher.on(Work)
        def serve(_link: object, stream: Stream, work: Work) -> None:
            gate.serve(stream, work)
