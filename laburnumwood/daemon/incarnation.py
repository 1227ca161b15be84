"""All that one incarnation of a node consists of."""

from contextlib import suppress

from laburnumwood.borders import Borders
from laburnumwood.clock import Clock
from laburnumwood.daemon.handover_news import HandoverNews
from laburnumwood.daemon.holder import ShardHolder
from laburnumwood.daemon.load import LoadParts
from laburnumwood.errors import PlatformError
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.joining import (
    announce_leaving,
    end_earlier,
    leave,
    store_answers,
    unchanged,
)
from laburnumwood.membership.known import KnownStore
from laburnumwood.membership.member import Member
from laburnumwood.membership.reader import Reader
from laburnumwood.membership.serving import Serving
from laburnumwood.membership.view import FleetView
from laburnumwood.operators.api import OperatorApi
from laburnumwood.operators.capacity import CapacityAccount
from laburnumwood.placement.holdings import HeldShards
from laburnumwood.placement.keeper import ShardManager
from laburnumwood.placement.tenure import OwnershipTracker
from laburnumwood.placement.writer import ShardWriter
from laburnumwood.protocol.messages import Resign, Work
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.routing.execution import Executor
from laburnumwood.routing.gate import Gate, WorkerState
from laburnumwood.routing.measuring import MeasuredDoor
from laburnumwood.routing.notary import Notary
from laburnumwood.routing.router import Router
from laburnumwood.routing.suspicions import Suspicions
from laburnumwood.settings import DaemonSettings
from laburnumwood.store.interface import Store
from laburnumwood.tasks import Task, Tasks, start
from laburnumwood.upstream.attached import AttachedGrants
from laburnumwood.upstream.granter import Granter
from laburnumwood.upstream.grants import Grants
from laburnumwood.upstream.load import LoadPoller
from laburnumwood.upstream.presence import Phase
from laburnumwood.upstream.reporting import ReportingWorker
from laburnumwood.upstream.worker import Worker


class Incarnation:
    """One run of a node from joining to its end, with all its tasks."""

    def __init__(
        self,
        name: NodeName,
        settings: DaemonSettings,
        borders: Borders,
        platform: Store,
        reporting: ReportingWorker,
        witness: Witness,
        clock: Clock,
    ) -> None:
        self.name = name
        self._platform = platform
        self._settings = settings
        self._borders = borders
        self._reporting = reporting
        self._tasks = Tasks()
        self._sight = Tasks()
        self.dispatcher = Dispatcher()
        self.view = FleetView(Directory(), SealRegistry())
        self.lease = Lease(name, settings.lease, clock)
        self.held_shards = HeldShards()
        self._peers = Peers(
            name,
            LinkSecurity(settings.shared_key, settings.tls),
            self.view.address,
            self.dispatcher,
            clock,
        )
        self.load = LoadParts(settings, name, self.view, self._peers, clock)
        self._reader = Reader(name, platform, self.view)
        self._known = KnownStore(platform, self.view.directory)
        self._member = Member(
            self.lease,
            witness,
            self.view,
            self._peers,
            self.dispatcher,
            self._known,
            settings.lease,
            clock,
        )
        self._worker = Worker(settings.worker_url, settings.connections, clock)
        self._granter: Granter | None = None
        self._grants = self._make_grants(clock)
        self._serving = Serving(
            name,
            self.view,
            self._known,
            self._worker_state,
            lambda: reporting.is_clear and not reporting.left,
        )
        self._handover_news = HandoverNews(
            name,
            settings.service,
            reporting,
            self.view,
            self._member.spreader,
            self.dispatcher,
        )
        self._make_placement(platform, clock)
        self._make_routing(clock)

    def start(self, avoided: frozenset[str]) -> None:
        """Read the store and start all tasks; raises `PlatformError`.

        Nodes with the ids in `avoided` are not chosen as witnesses.
        """
        self._reader.list_all()
        reports = self._borders.worker_reports
        also = self._serving.at_start if reports else unchanged
        self._member.renewer.begin(avoided, also)
        for watch in self._reader.tasks:
            self._sight.start(watch)
        for task in (
            *self._member.tasks,
            *self._worker_tasks(),
            self._account.run,
            self.door.tell_served,
            self.load.run,
            self._keeper.follow_ownership,
            self._keeper.write_records,
        ):
            self._tasks.start(task)

    @property
    def has_lost_worker(self) -> bool:
        """Tell whether others are to serve for a worker that doesn't answer.

        Without others its node keeps its shards, and what it knows of them.
        """
        if self._granter is None or not self._granter.health.is_lost:
            return False
        live = self.view.live_in(self._settings.service)
        return bool(live.keys() - {self.name})

    @property
    def is_told_to_serve(self) -> bool:
        """Tell whether the store says of the worker what is so now."""
        return self._serving.is_told

    @property
    def is_busy(self) -> bool:
        """Tell whether requests run on the worker or wait for it."""
        return bool(self.gate.running or self.gate.waiting)

    @property
    def held_for_ms(self) -> int:
        """Return for how long the worker may hold what it was given."""
        return self._grants.held_for_ms()

    @property
    def may_be_followed(self) -> bool:
        """Tell whether others may have its shards: nothing of it goes on."""
        return not self.is_busy and not self.held_for_ms

    def retire(self) -> int:
        """Let nothing more in; return when the worker's grants run out."""
        self._keeper.withdraw_all()
        start(self._announce_leaving)
        return self._granter.retire() if self._granter else 0

    def store_answers(self) -> bool:
        """Tell whether the platform answers now."""
        return store_answers(self._platform, self.name)

    def worker_answers(self) -> bool:
        """Ask the worker whether it answers, by granting it nothing."""
        return self._worker.grant({}, 0)

    def hand_over(self, patience_ms: int) -> None:
        """Give every shard to another node and let the witnesses seal.

        What could not be moved in time goes to the successors by the seals;
        while the worker may hold some of it, not before the lease runs out.
        """
        start(self._announce_leaving)
        self._keeper.hand_over_all(self.name, patience_ms)
        witnesses = set(self.lease.witnesses.members)
        self.lease.resign()
        if not self.held_for_ms:
            told = witnesses - {self.name}
            self._member.spreader.tell(told, Resign(self.name))

    def tell_left(self) -> None:
        """Tell the others of the service what the worker has let go."""
        self._handover_news.tell()

    def end_earlier(self) -> None:
        """Write down that all incarnations before this one have ended."""
        end_earlier(self._known, self.name)

    def record_end(self) -> None:
        """Write down that this incarnation has ended."""
        leave(self._known, self.name)

    def end(self) -> None:
        """Act for no shard any more; requests are still passed on."""
        self.lease.resign()
        self.held_shards.drop_all()
        self._tasks.kill()

    def release(self) -> None:
        """Stop what is left after the end, but for requests under way."""
        self._sight.kill()
        self._peers.release()

    def close(self) -> None:
        """Stop all that is left after the end."""
        self._sight.kill()
        self._peers.close()

    def _announce_leaving(self) -> None:
        # Without it the others would go on moving shards to this node; a
        # store that does not answer lets nobody move anything.
        with suppress(PlatformError):
            announce_leaving(self._known, self.name)

    def _make_grants(self, clock: Clock) -> Grants:
        if self._borders.worker_reports:
            holder = ShardHolder(
                self._settings.service, self.lease, self.held_shards, self.view
            )
            return AttachedGrants(self._reporting, holder)
        self._granter = Granter(
            self._worker,
            self.held_shards.tokens,
            self.lease.expires_at_ms,
            self.held_shards.close,
            clock,
        )
        return self._granter

    def _worker_tasks(self) -> tuple[Task, ...]:
        ledger = (self._notary.run,) * self._borders.has_idempotency_keys
        if self._granter is not None:
            return (*ledger, self._granter.run, self._load_poller.run)
        return (*ledger, self._serving.run)

    def _worker_state(self) -> tuple[bool, int]:
        serves = self._reporting.presence.phase is Phase.SERVING
        return serves, self._reporting.presence.slots

    def _slots(self) -> int:
        return self._reporting.presence.slots or self._settings.slots

    def _may_start(self) -> bool:
        return self._granter is not None or self._reporting.presence.may_start()

    def _make_placement(self, platform: Store, clock: Clock) -> None:
        service = self._settings.service
        writer = ShardWriter(
            platform, self.view.directory, self._member.renewer
        )
        ownership = OwnershipTracker(
            service, self.view, self.lease, self.held_shards, clock
        )
        self._keeper = ShardManager(
            service,
            self.view,
            ownership,
            self.held_shards,
            writer,
            self._member.spreader,
            self.load.balancer,
            self._grants,
            clock,
        )

    def _make_routing(self, clock: Clock) -> None:
        self._account = CapacityAccount(
            self._settings, lambda: self.view.directory.declarations, clock
        )
        self._notary = Notary(
            self.name,
            self.view,
            self.held_shards,
            self._peers,
            self.dispatcher,
            clock,
        )
        if self._borders.has_idempotency_keys:
            self._keeper.before_move = self._notary.hand_over
        suspicions = Suspicions(
            self.name, self.view, self._peers, self.dispatcher, clock
        )
        executor = Executor(
            self._worker,
            self._borders.make_dialect(self._reporting),
            self._notary,
            suspicions,
            clock,
        )
        gate = Gate(
            self._settings,
            self.lease,
            self.held_shards,
            self._grants,
            executor,
            lambda: self.view.directory.declarations.services,
            self.view.directory,
            self._account,
            self.load.meter,
            WorkerState(self._may_start, self._slots),
            clock,
        )
        self._load_poller = LoadPoller(self._worker, gate.hint)
        self.load.serve(self.dispatcher, gate)
        router = Router(
            self.name,
            self.view,
            self._peers,
            gate.serve,
            self.load.spread,
            self.load.retries,
            clock,
            self._settings.owner_patience_ms,
        )
        self.door = MeasuredDoor(
            router,
            self._borders.make_face(self._settings),
            lambda: self.view.directory.declarations,
            clock,
        )
        self.operators = OperatorApi(
            self.view, self.lease, self.held_shards, gate, self._account
        )
        self.gate = gate

        @self.dispatcher.on(Work)
        def serve(_link: object, stream: Stream, work: Work) -> None:
            gate.serve(stream, work)
