"""One incarnation of a node, made of the real classes, stepped by hand."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

from laburnumwood.clock import Clock
from laburnumwood.errors import PlatformError
from laburnumwood.leases.backless import QuorumLossDetector
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.choice import choose_witnesses
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.endings import (
    NodeRecordUpdater,
    RejoinBackoff,
)
from laburnumwood.membership.node_records import (
    record_earlier_ends,
    record_witness_sets,
)
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.holdings import HeldShards
from laburnumwood.placement.shard_write import ShardWrite
from laburnumwood.placement.tenure import OwnershipTracker
from laburnumwood.protocol.messages import Granted, Refused, Renew
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
from tests.ownership.store import FakeStore
from tests.ownership.worker import keys_of

SERVICE = 's'
_READ_MS = 100
_RECORD_MS = 1_000
_WITNESSES = 3
_NOBODY: frozenset[str] = frozenset()
_NOTHING_READ = -1_000_000


@dataclass(frozen=True, slots=True)
class Code:
    """The classes to run; a mutation puts another in place of one."""

    lease: type[Lease] = Lease
    witness: type[Witness] = Witness
    ownership: type[OwnershipTracker] = OwnershipTracker
    backless: type[QuorumLossDetector] = QuorumLossDetector
    grants: type[AttachedGrants] = AttachedGrants


def _learn_seals(seals: tuple[Seal, ...], node: 'FakeNode') -> None:
    node.learn_seals(seals)


def _serve(request: Renew, sent_ms: int, node: 'FakeNode') -> None:
    node.serve(request, sent_ms)


class _Holder:
    """What an incarnation of the world lets its worker hold."""

    def __init__(self, lease: Lease, held_shards: HeldShards) -> None:
        self._held_shards = held_shards
        self.tokens = held_shards.tokens
        self.until_ms = lease.expires_at_ms
        self.close = held_shards.close
        self.require_higher_token = held_shards.invalidate_token

    def stripes(self, shard: ShardName) -> tuple[KeyRange, ...]:
        """Return the keys of a shard."""
        return (keys_of(shard),)

    def handovers(self, _shard: ShardName) -> tuple[str, ...]:
        """Return nothing: every shard comes cold."""
        return ()


Send = Callable[[str, Callable[['FakeNode'], None]], None]


class FakeNode:
    """An incarnation; `send` runs a function at the VM of another."""

    def __init__(
        self,
        name: NodeName,
        code: Code,
        clock: Clock,
        store: FakeStore,
        send: Send,
        witness: Witness | None = None,
        worker: ReportingWorker | None = None,
    ) -> None:
        settings = LeaseSettings()
        self.name = name
        self.view = FleetView(Directory(), SealRegistry())
        self.lease = code.lease(name, settings, clock)
        self.held_shards = HeldShards()
        self.is_deaf = False
        self.ownership = code.ownership(
            SERVICE, self.view, self.lease, self.held_shards, clock
        )
        self.witness = witness or code.witness(name, settings, clock)
        self._recorder = NodeRecordUpdater(
            self.lease, self.witness, self.view, store, settings, clock
        )
        self._recorder.quorum_loss_detector = code.backless(settings, clock)
        self._settings = settings
        self._clock = clock
        self._store = store
        self._send = send
        self._writes: list[ShardWrite] = []
        self._let_go_of: set[ShardName] = set()
        self._renewed_ms = _NOTHING_READ
        self._read_ms = _NOTHING_READ
        self._recorded_ms = _NOTHING_READ
        self._started_ms = clock.now_ms()
        self._has_ended_earlier = False
        self._standstill = RejoinBackoff(clock)
        self.worker: AttachedGrants | None = None
        if worker is not None:
            holder = _Holder(self.lease, self.held_shards)
            self.worker = code.grants(worker, holder)

    @property
    def silent_ids(self) -> frozenset[str]:
        """Return the ids of witnesses that do not renew the lease."""
        return frozenset(name.node_id for name in self.lease.silent_witnesses)

    @property
    def may_be_followed(self) -> bool:
        """Tell whether its worker holds nothing that it gave."""
        return self.worker is None or not self.worker.held_for_ms()

    def stands_still(self) -> bool:
        """Tell whether to join anew because the witnesses are silent."""
        if not self._standstill.is_due(self.lease):
            return False
        self._standstill.record_rejoin()
        return self._store.mode == 'up'

    def start(self, avoided: frozenset[str] = _NOBODY) -> None:
        """Read the store and choose the first witnesses."""
        self.read()
        live = self.view.witnesses(avoided)
        members = choose_witnesses(self.name, live)[:_WITNESSES]
        chosen = self.lease.propose_set(members)
        record_witness_sets(self._store, self.name, (chosen,))
        self.lease.set_first_witnesses(chosen)
        self._started_ms = self._clock.now_ms()

    def step(self) -> None:
        """Do all that the tasks of a node would do now."""
        for seal in self.witness.seal_lapsed():
            self.learn_seals((seal,))
            self._tell(partial(_learn_seals, (seal,)))
        now_ms = self._clock.now_ms()
        if now_ms - self._renewed_ms >= self._settings.renew_ms:
            self.renew()
        if now_ms - self._read_ms >= _READ_MS and not self.is_deaf:
            self.read()
        if now_ms - self._recorded_ms >= _RECORD_MS:
            self._record()
        self.ownership.update_held_shards()
        self._write()

    def renew(self) -> None:
        """Ask all witnesses to renew the lease."""
        self._renewed_ms = self._clock.now_ms()
        if self.lease.is_over:
            return
        for witness in self.lease.renewal_targets:
            request = self.lease.renewal_request(witness, self.view.digest())
            what = partial(_serve, request, self._renewed_ms)
            self._send(witness.node_id, what)

    def serve(self, request: Renew, sent_ms: int) -> None:
        """Answer a renewal as the VM that it was sent to."""
        reply = self.witness.renew(request, self.view.digest())
        differs = self.view.seals.digest() != request.digest.seals
        seals = self.view.seals.seals() if differs else ()
        self._send(
            request.holder.node_id,
            lambda node: node.take_reply(request, sent_ms, reply, seals),
        )

    def take_reply(
        self,
        request: Renew,
        sent_ms: int,
        reply: Granted | Refused,
        seals: tuple[Seal, ...],
    ) -> None:
        """Take in a witness's answer."""
        if request.holder != self.name:
            return
        self.learn_seals(seals)
        if isinstance(reply, Granted):
            self.lease.record_grant(request, sent_ms)
        elif reply.reason != 'set-unknown':
            self.lease.record_refusal(request.witness)
            self.learn_seals((reply.seal,) if reply.seal else ())

    def learn_seals(self, seals: tuple[Seal, ...]) -> None:
        """Take in seals."""
        for seal in seals:
            self.view.add_seal(seal)

    def learn(self, stored: StoredObject) -> None:
        """Take in an object of the store, unless this node hears nothing."""
        if not self.is_deaf:
            self.view.directory.apply(stored)

    def read(self) -> None:
        """Take in all the store holds, if it answers."""
        self._read_ms = self._clock.now_ms()
        if self._store.mode == 'up':
            for stored in self._store.list()[0]:
                self.view.directory.apply(stored)

    def move(self, shard: ShardName, target: NodeName) -> None:
        """Begin to hand a shard over."""
        if self.view.directory.node(target) is not None:
            self._let_go(shard, self.ownership.begin_move(shard, target))

    def split(self, shard: ShardName, keys: KeyRange) -> None:
        """Begin to split keys of a shard off."""
        self._let_go(shard, self.ownership.begin_split(shard, (keys,)))

    def end(self) -> None:
        """End all activity of this incarnation."""
        self.lease.resign()
        self.held_shards.drop_all()

    def _let_go(self, shard: ShardName, write: ShardWrite | None) -> None:
        if write is not None:
            if self.worker is None:
                self.held_shards.close(shard)
            else:
                self.worker.withdraw(shard)
                self._let_go_of.add(shard)
            self._writes.append(write)
            self.renew()

    def _is_let_go(self, shard: ShardName) -> bool:
        if self.worker is None or shard not in self._let_go_of:
            return True
        if self.worker.is_released(shard):
            self.held_shards.close(shard)
            self._let_go_of.discard(shard)
        return shard not in self._let_go_of

    def _restore(self, shard: ShardName) -> None:
        if self.worker is not None:
            self.worker.restore(shard)

    def _write(self) -> None:
        for shard in self.ownership.shards_to_write():
            self._writes.append(self.ownership.begin_write(shard))
            self.renew()
        for write in tuple(self._writes):
            if not self._is_let_go(write.shard):
                continue
            progress = write.step(self._store)
            if progress.is_final:
                self._writes.remove(write)
                self.ownership.finish(write, progress)
                self._restore(write.shard)
                self._tell_written(write)
        if self._store.mode == 'up' and self.ownership.stale_shards:
            self.read()

    def _record(self) -> None:
        self._recorded_ms = self._clock.now_ms()
        self._recorder.evict_ended()
        with suppress(PlatformError):
            self._recorder.write_changes()
        waited_ms = self._clock.now_ms() - self._started_ms
        if self._has_ended_earlier or waited_ms < self._settings.grant_ms:
            return
        with suppress(PlatformError):
            record_earlier_ends(self._store, self.witness.name)
            self._has_ended_earlier = True

    def change_witnesses(self, members: tuple[NodeName, ...]) -> None:
        """Begin to rely on other witnesses, if the store has taken them."""
        chosen = self.lease.propose_set(members)
        with suppress(PlatformError):
            sets = (self.lease.witnesses, chosen)
            record_witness_sets(self._store, self.name, sets)
            self.lease.begin_change(chosen)
            self.renew()

    def _tell_written(self, write: ShardWrite) -> None:
        stored = write.stored
        if stored is not None:
            self._tell(lambda node: node.learn(stored))

    def _tell(self, what: Callable[['FakeNode'], None]) -> None:
        for node_id in self.view.directory.nodes:
            if node_id != self.name.node_id:
                self._send(node_id, what)
