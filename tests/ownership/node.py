"""One incarnation of a node, made of the real classes and run in steps."""

from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

from laburnumwood.clock import Clock
from laburnumwood.errors import PlatformError
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.quorum_loss import QuorumLossDetector
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.cached_store import CachedStore
from laburnumwood.membership.choice import choose_witnesses
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.eras.proxy import EraProxy
from laburnumwood.membership.eras.recovery import EraRecovery
from laburnumwood.membership.incarnation_ends import (
    NodeRecordUpdater,
    RejoinBackoff,
)
from laburnumwood.membership.node_records import (
    record_earlier_ends,
    record_witness_sets,
)
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.layout import split_shard_number
from laburnumwood.placement.ownership_tracker import OwnershipTracker
from laburnumwood.placement.shard_write import ShardWrite
from laburnumwood.protocol.messages import Granted, Refused, Renew
from laburnumwood.protocol.store_messages import Memory
from laburnumwood.records import (
    KeyRange,
    NodeName,
    Seal,
    ShardName,
    StoredObject,
)
from laburnumwood.settings import LeaseSettings
from laburnumwood.upstream.attached_grants import AttachedGrants
from laburnumwood.upstream.reporting_worker import ReportingWorker
from tests.ownership.keys import SERVICE, shard_keys
from tests.ownership.store import FakeStore

_READ_INTERVAL_MS = 100
_UPDATE_INTERVAL_MS = 1_000
_WITNESS_COUNT = 3
_NO_NODE_IDS: frozenset[str] = frozenset()
_NEVER_MS = -1_000_000


@dataclass(frozen=True, slots=True)
class Components:
    """The classes that nodes are made of; a mutation replaces one of them."""

    lease: type[Lease] = Lease
    witness: type[Witness] = Witness
    ownership_tracker: type[OwnershipTracker] = OwnershipTracker
    quorum_loss_detector: type[QuorumLossDetector] = QuorumLossDetector
    attached_grants: type[AttachedGrants] = AttachedGrants
    era_recovery: type[EraRecovery] = EraRecovery
    reporting_worker: type[ReportingWorker] = ReportingWorker
    held_shards: type[HeldShards] = HeldShards
    era_proxy: type[EraProxy] = EraProxy


def _apply_seals(seals: tuple[Seal, ...], node: 'FakeNode') -> None:
    node.apply_seals(seals)


def _handle_renewal(request: Renew, sent_ms: int, node: 'FakeNode') -> None:
    node.handle_renewal(request, sent_ms)


def _handle_memory_request(era: int, asker: NodeName, node: 'FakeNode') -> None:
    node.handle_memory_request(era, asker)


class _GrantSource:
    """The shards that an incarnation grants its worker."""

    def __init__(
        self, lease: Lease, held_shards: HeldShards, view: FleetView
    ) -> None:
        self._view = view
        self.tokens = held_shards.tokens
        self.until_ms = lease.expires_at_ms
        self.close = held_shards.close
        self.require_token = held_shards.require_token

    def stripes(self, shard: ShardName) -> tuple[KeyRange, ...]:
        """Return the keys of a shard."""
        entry = self._view.directory.shard(shard)
        return shard_keys(shard, entry.record if entry else None)

    def handovers(self, _shard: ShardName) -> tuple[str, ...]:
        """Return no handovers."""
        return ()


SendToNode = Callable[[str, Callable[['FakeNode'], None]], None]


class FakeNode:
    """An incarnation of a node that does its work in `step`.

    `send` sends a function to a VM, which calls it with the node there.
    """

    def __init__(
        self,
        name: NodeName,
        components: Components,
        clock: Clock,
        store: FakeStore,
        send: SendToNode,
        witness: Witness | None = None,
        worker: ReportingWorker | None = None,
    ) -> None:
        settings = LeaseSettings()
        self.name = name
        self.view = FleetView(Directory(), SealRegistry())
        self.lease = components.lease(name, settings, clock)
        self.held_shards = components.held_shards()
        self.misses_updates = False
        self.ownership = components.ownership_tracker(
            SERVICE, self.view, self.lease, self.held_shards, clock
        )
        self.witness = witness or components.witness(name, settings, clock)
        self._cached_store = CachedStore(store, self.view.directory)
        self._record_updater = NodeRecordUpdater(
            self.lease,
            self.witness,
            self.view,
            self._cached_store,
            settings,
            clock,
        )
        self._era_recovery = components.era_recovery(
            self.lease, self.witness, self.view, self._cached_store, clock
        )
        self._era_proxy = components.era_proxy(
            self.lease, self.witness, self.view, self._cached_store, clock
        )
        self._record_updater.quorum_loss_detector = (
            components.quorum_loss_detector(settings, clock)
        )
        self._settings = settings
        self._clock = clock
        self._store = store
        self._send = send
        self._writes: list[ShardWrite] = []
        self._awaiting_release: set[ShardName] = set()
        self._parts: dict[ShardName, tuple[KeyRange, NodeName]] = {}
        self._renewed_ms = _NEVER_MS
        self._read_ms = _NEVER_MS
        self._record_updated_ms = _NEVER_MS
        self._started_ms = clock.now_ms()
        self._has_recorded_earlier_ends = False
        self._reporting = worker
        self._rejoin_backoff = RejoinBackoff(clock)
        self.worker: AttachedGrants | None = None
        if worker is not None:
            source = _GrantSource(self.lease, self.held_shards, self.view)
            self.worker = components.attached_grants(worker, source)

    @property
    def silent_witness_ids(self) -> frozenset[str]:
        """The node ids of the witnesses that do not renew the lease."""
        return frozenset(name.node_id for name in self.lease.silent_witnesses)

    @property
    def has_no_grants(self) -> bool:
        """Whether the worker holds no grant of this incarnation."""
        return self.worker is None or not self.worker.held_for_ms()

    def must_rejoin(self) -> bool:
        """Return whether to rejoin now, and record it if the rejoin is due."""
        if not self._rejoin_backoff.is_due(self.lease):
            return False
        self._rejoin_backoff.record_rejoin()
        return self._store.mode == 'up'

    def start(self, avoided: frozenset[str] = _NO_NODE_IDS) -> None:
        """Read the store and choose the first witnesses.

        Nodes with an id in `avoided` are left out if there are others.
        """
        self.read_store()
        live = self.view.witnesses(avoided)
        members = choose_witnesses(self.name, live)[:_WITNESS_COUNT]
        chosen = self.lease.propose_set(members)
        record_witness_sets(self._cached_store, self.name, (chosen,))
        self.lease.set_first_witnesses(chosen)
        self._started_ms = self._clock.now_ms()

    def step(self) -> None:
        """Do once what the tasks of a node do when it is due."""
        for seal in self.witness.seal_lapsed():
            self.apply_seals((seal,))
            self._broadcast(partial(_apply_seals, (seal,)))
        now_ms = self._clock.now_ms()
        if now_ms - self._renewed_ms >= self._settings.renew_ms:
            self.renew()
        if (
            now_ms - self._read_ms >= _READ_INTERVAL_MS
            and not self.misses_updates
        ):
            self.read_store()
        if now_ms - self._record_updated_ms >= _UPDATE_INTERVAL_MS:
            self._update_record()
        self._review_era()
        self.ownership.update_held_shards()
        self._step_writes()

    def renew(self) -> None:
        """Send all witnesses a request to renew the lease."""
        self._renewed_ms = self._clock.now_ms()
        if self.lease.is_over:
            return
        for witness in self.lease.renewal_targets:
            request = self.lease.renewal_request(witness, self.view.digest())
            action = partial(_handle_renewal, request, self._renewed_ms)
            self._send(witness.node_id, action)

    def handle_renewal(self, request: Renew, sent_ms: int) -> None:
        """Answer a request to renew the lease of another node."""
        reply = self.witness.renew(request, self.view.digest())
        differs = self.view.seals.digest() != request.digest.seals
        seals = self.view.seals.seals() if differs else ()
        self._send(
            request.holder.node_id,
            lambda node: node.handle_reply(request, sent_ms, reply, seals),
        )

    def handle_reply(
        self,
        request: Renew,
        sent_ms: int,
        reply: Granted | Refused,
        seals: tuple[Seal, ...],
    ) -> None:
        """Apply a witness's answer, unless it is for another incarnation."""
        if request.holder != self.name:
            return
        self.apply_seals(seals)
        if isinstance(reply, Granted):
            self.lease.record_grant(request, sent_ms)
        elif reply.reason != 'set-unknown':
            self.lease.record_refusal(request.witness)
            self.apply_seals((reply.seal,) if reply.seal else ())

    def apply_seals(self, seals: tuple[Seal, ...]) -> None:
        """Add seals to the view."""
        for seal in seals:
            self.view.add_seal(seal)

    def handle_memory_request(self, era: int, asker: NodeName) -> None:
        """Tell another node what this one remembers of the store."""
        memory, name = self._era_proxy.memory(era), self.name
        self._send(
            asker.node_id, lambda node: node.confirm_for(name, era, memory)
        )

    def confirm_for(self, name: NodeName, era: int, memory: Memory) -> None:
        """Confirm an era for a node that has told what it remembers."""
        with suppress(PlatformError):
            self._era_proxy.confirm(name, era, memory)

    def _review_era(self) -> None:
        with suppress(PlatformError):
            self._era_recovery.review()
        action = partial(
            _handle_memory_request, self.view.directory.era, self.name
        )
        for name in self._era_proxy.nodes_to_ask():
            self._send(name.node_id, action)

    def apply_update(self, stored: StoredObject) -> None:
        """Apply an update of an object, unless this node misses updates."""
        if not self.misses_updates:
            self.view.directory.apply(stored)

    def acting_rows(self) -> Iterator[tuple[KeyRange, int]]:
        """Yield the keys that this node may act for, with their tokens."""
        tokens = self.held_shards.tokens() if self.lease.is_held() else {}
        for shard, token in tokens.items():
            if self.held_shards.is_open(shard):
                entry = self.view.directory.shard(shard)
                for keys in shard_keys(shard, entry.record if entry else None):
                    yield keys, token

    def read_store(self) -> None:
        """Apply all objects of the store, if it answers."""
        self._read_ms = self._clock.now_ms()
        if self._store.mode == 'up':
            directory = self.view.directory
            objects, version = self._store.list()
            directory.learn_era(self._store.era)
            directory.apply_listing(objects, version, '')
            directory.revision = version

    def move(self, shard: ShardName, target: NodeName) -> None:
        """Begin to move a shard to another node."""
        if self.view.directory.node(target) is not None:
            self._release_and_write(
                shard, self.ownership.begin_move(shard, target)
            )

    def split(
        self, shard: ShardName, keys: KeyRange, target: NodeName | None = None
    ) -> None:
        """Begin to split a range of keys off from a shard.

        It becomes a shard of `target`, None: of the node that claims it.
        """
        write = self.ownership.begin_split(shard, (keys,))
        if write is not None and target is not None:
            self._parts[shard] = (keys, target)
        self._release_and_write(shard, write)

    def end(self) -> None:
        """Give up the lease and all shards."""
        self.lease.resign()
        self.held_shards.drop_all()

    def _release_and_write(
        self, shard: ShardName, write: ShardWrite | None
    ) -> None:
        if write is not None:
            if self.worker is None:
                self.held_shards.close(shard)
            else:
                self.worker.withdraw(shard)
                self._awaiting_release.add(shard)
            self._writes.append(write)
            self.renew()

    def _is_released(self, shard: ShardName) -> bool:
        if self.worker is None or shard not in self._awaiting_release:
            return True
        if self.worker.is_released(shard):
            self.held_shards.close(shard)
            self._awaiting_release.discard(shard)
        return shard not in self._awaiting_release

    def _restore(self, shard: ShardName) -> None:
        if self.worker is not None:
            self.worker.restore(shard)

    def _step_writes(self) -> None:
        for shard in self.ownership.shards_to_write():
            write = self.ownership.begin_write(shard)
            if write.takes_keys_out:
                self._release_and_write(shard, write)
                continue
            self._writes.append(write)
            self.renew()
        for write in tuple(self._writes):
            if not self._is_released(write.shard):
                continue
            progress = write.step(self._store)
            if progress.is_final:
                self._writes.remove(write)
                self.ownership.finish(write, progress)
                self._restore(write.shard)
                self._broadcast_written(write)
                self._create_part(write.shard)
        if self._store.mode == 'up' and self.ownership.stale_shards:
            self.read_store()

    def _create_part(self, shard: ShardName) -> None:
        entry = self.view.directory.shard(shard)
        if entry is None or shard not in self._parts:
            return
        keys, target = self._parts.pop(shard)
        if keys in entry.record.split_off:
            part = ShardName(SERVICE, split_shard_number(keys))
            write = self.ownership.begin_create(part, target, '')
            if write is not None:
                self._writes.append(write)

    def _update_record(self) -> None:
        self._record_updated_ms = self._clock.now_ms()
        self._record_updater.evict_ended()
        with suppress(PlatformError):
            self._record_updater.write_changes()
        elapsed_ms = self._clock.now_ms() - self._started_ms
        may_hold_keys = elapsed_ms < self._settings.grant_ms and not (
            self._reporting and self._reporting.has_released_all
        )
        if self._has_recorded_earlier_ends or may_hold_keys:
            return
        with suppress(PlatformError):
            record_earlier_ends(self._cached_store, self.witness.name)
            self._has_recorded_earlier_ends = True

    def change_witnesses(self, members: tuple[NodeName, ...]) -> None:
        """Begin to change the witnesses once the store has recorded them."""
        chosen = self.lease.propose_set(members)
        with suppress(PlatformError):
            sets = (self.lease.witnesses, chosen)
            record_witness_sets(self._cached_store, self.name, sets)
            self.lease.begin_change(chosen)
            self.renew()

    def _broadcast_written(self, write: ShardWrite) -> None:
        stored = write.stored
        if stored is not None:
            self._broadcast(lambda node: node.apply_update(stored))

    def _broadcast(self, action: Callable[['FakeNode'], None]) -> None:
        for node_id in self.view.directory.nodes:
            if node_id != self.name.node_id:
                self._send(node_id, action)
