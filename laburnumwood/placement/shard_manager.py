"""The tasks of a node that claim, take over, renew and move its shards."""

from collections.abc import Callable
from dataclasses import replace
from itertools import count

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.events import SHARD_SPLIT
from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.membership.gossip import Gossip, shard_notice
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.balancer import Balancer
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.layout import split_shard_number
from laburnumwood.placement.ownership_tracker import OwnershipTracker
from laburnumwood.placement.shard_closing import ShardCloser
from laburnumwood.placement.shard_write import (
    ShardWrite,
    WriteProgress,
    WriteWait,
)
from laburnumwood.placement.splitting import Part, Split
from laburnumwood.placement.writer import ShardWriter
from laburnumwood.records import (
    NodeName,
    NodeRecord,
    ShardName,
    ShardRecord,
)
from laburnumwood.tasks import start
from laburnumwood.upstream.grants import Grants

_OWNERSHIP_POLL_MS = 100
_WRITE_INTERVAL_MS = 200
_WRITE_ROUNDS_PER_BALANCE = 3
_IDLE_POLL_MS = 10
# In a larger fleet only the nodes of a record's succession are notified.
_MAX_NOTIFIED_NODES = 100
_HANDOVER_LIMIT_MS = 2_500  # time for the store to accept the records


BeforeMove = Callable[[ShardName, tuple[NodeName, ...]], bool]
BeforeCreate = Callable[[ShardName, ShardName, ShardRecord], None]


def _allow_move(_shard: ShardName, _next: tuple[NodeName, ...]) -> bool:
    return True


def _allow_create(
    _parent: ShardName, _part: ShardName, _record: ShardRecord
) -> None:
    """Do nothing before a part is created."""


class ShardManager:
    """Manages the shards of one incarnation of a node.

    `before_move` is called with the shard and its next succession before the
    record of a move is written; the move is given up if it returns False.
    `before_create` is called with a split shard, a part of it and the record of
    the part before that is written.
    """

    def __init__(
        self,
        service: str,
        view: FleetView,
        ownership: OwnershipTracker,
        held_shards: HeldShards,
        writer: ShardWriter,
        gossip: Gossip,
        balancer: Balancer,
        grants: Grants,
        clock: Clock,
    ) -> None:
        self._service = service
        self._view = view
        self._ownership = ownership
        self._held_shards = held_shards
        self._writer = writer
        self._gossip = gossip
        self._balancer = balancer
        self._grants = grants
        self._clock = clock
        self._closer = ShardCloser(
            held_shards,
            grants,
            writer,
            lambda: not self._stopping and ownership.own in ownership.live(),
            clock,
        )
        self._stopping = False
        self._kept: set[ShardName] = set()  # could not be given back unheld
        self.before_move: BeforeMove = _allow_move
        self.before_create: BeforeCreate = _allow_create

    def follow_ownership(self) -> None:
        """Hold and drop shards as records and seals change; never returns."""
        followed = None
        while True:
            version = self._ownership.version
            if version != followed:
                self._ownership.update_held_shards()
                followed = version
            # The lease may be lost or regained without any notification.
            self._view.directory.changes.wait(_OWNERSHIP_POLL_MS)

    def write_records(self) -> None:
        """Start the writes that the shards need; never returns."""
        seen = None
        for turn in count():
            eventlet.sleep(_WRITE_INTERVAL_MS / MS_PER_SECOND)
            for stale in self._ownership.stale_shards:
                self._writer.start(self._writer.try_refresh, stale)
            if self._stopping:
                continue
            version = self._ownership.version
            if version != seen or not self._ownership.is_settled:
                seen = version
                self._write_records_due()
            if turn % _WRITE_ROUNDS_PER_BALANCE == 0:
                self._rebalance()

    def _rebalance(self) -> None:
        if self._ownership.own not in self._ownership.live():
            self._move_all_away()
        elif self._writer.is_healthy:
            self._begin_planned_moves()
            split = self._balancer.plan_split(self._ownership.pending_owners)
            if split is not None:
                self._begin_split(split)

    def withdraw_all(self) -> None:
        """Withdraw all shards from the worker; running requests continue."""
        self._stopping = True
        for shard in self._held_shards.tokens():
            self._grants.withdraw(shard)

    def hand_over_all(self, own: NodeName, patience_ms: int) -> None:
        """Move every shard to another node, for a planned stop.

        Running requests are waited for, at most `patience_ms`.  Shards that
        could not be moved by then stay withdrawn from the worker; their
        successors take over once the lease is resigned.
        """
        started_ms = self._clock.now_ms()
        self.withdraw_all()
        while self._is_worth_waiting(started_ms, patience_ms):
            for place, shard in enumerate(sorted(self._held_shards.tokens())):
                self._grants.withdraw(shard)
                self._begin_move(shard, self._move_target(shard, own, place))
            eventlet.sleep(_IDLE_POLL_MS / MS_PER_SECOND)

    def _is_worth_waiting(self, started_ms: int, patience_ms: int) -> bool:
        waited_ms = self._clock.now_ms() - started_ms
        held = self._held_shards.tokens()
        if not held or waited_ms >= patience_ms:
            return False
        if not self._held_shards.all_idle():
            return True
        # Without the store no record can be written.  Once the worker has
        # released the shards, their successors can take over by the seals.
        limit_ms = _HANDOVER_LIMIT_MS if self._writer.is_store_reachable else 0
        released = all(self._grants.is_released(shard) for shard in held)
        return waited_ms < limit_ms or not released

    def _begin_move(self, shard: ShardName, target: NodeName | None) -> None:
        if target is not None:
            write = self._ownership.begin_move(shard, target)
            if write is not None:
                start(self._move, write)

    def _move(self, write: ShardWrite) -> None:
        if not self._stopping and self._closer.is_store_unreachable(write):
            self._finish(write, WriteProgress.NOT_SENT)
            return
        if not self._is_released(write):
            return
        handovers = self._grants.handovers(write.shard)
        write.record = replace(write.record, handovers=handovers)
        # A move that begins during a store outage would keep its shard closed
        # until the outage ends.
        if self._closer.is_store_answering(write) and self._is_handed_over(
            write
        ):
            self._execute(write)
        else:
            self._finish(write, WriteProgress.NOT_SENT)

    def _begin_split(self, split: Split) -> None:
        shard = ShardName(self._service, split.shard)
        if self._closer.is_busy(shard):
            return
        write = self._ownership.begin_split(shard, split.ranges)
        if write is not None:
            start(self._split, write, split)

    def _split(self, write: ShardWrite, split: Split) -> None:
        if self._closer.is_store_unreachable(write):
            self._finish(write, WriteProgress.NOT_SENT)
            return
        # The worker releases the whole shard, so that it holds nothing of the
        # parts while they have no owner.
        if not self._is_released(write):
            return
        if not self._closer.is_store_answering(write):
            self._finish(write, WriteProgress.NOT_SENT)
            return
        handovers = [self._grants.handover_for(keys) for keys in split.ranges]
        self._execute(write)
        entry = self._view.directory.shard(write.shard)
        if entry is None:
            return
        for part, handover in zip(split.parts, handovers, strict=True):
            if part.keys in entry.record.split_off:
                self._begin_part(write.shard, part, handover)

    def _begin_part(self, shard: ShardName, part: Part, handover: str) -> None:
        name = ShardName(self._service, split_shard_number(part.keys))
        SHARD_SPLIT.report(
            shard=shard, part=name, keys=part.keys, target=part.target
        )
        created = self._ownership.begin_create(name, part.target, handover)
        if created is not None:
            self._writer.start(self._create_part, shard, created)

    def _create_part(self, parent: ShardName, write: ShardWrite) -> None:
        self.before_create(parent, write.shard, write.record)
        self._execute(write)

    def _write_records_due(self) -> None:
        for shard in self._ownership.shards_to_write():
            if not self._writer.has_room:
                return
            owner = self._ownership.returned_owner(shard)
            is_kept = shard in self._kept
            if owner is not None and not is_kept and self._may_give_back(owner):
                self._give_back(shard, owner)
            else:
                self._kept.discard(shard)
                self._begin_write(shard)

    def _begin_write(self, shard: ShardName) -> None:
        write = self._ownership.begin_write(shard)
        if write.takes_keys_out:
            start(self._release_and_execute, write)
        else:
            self._writer.start(self._execute, write)

    def _release_and_execute(self, write: ShardWrite) -> None:
        if self._is_released(write):
            self._execute(write)

    def _may_give_back(self, owner: NodeName) -> bool:
        is_stable = self._balancer.is_stable(owner.node_id)
        return is_stable and self._writer.is_healthy

    def _give_back(self, shard: ShardName, owner: NodeName) -> None:
        """Return a shard to the node that lost it: its worker has its data."""
        write = self._ownership.begin_give_back(shard, owner)
        if write is None and not self._closer.is_busy(shard):
            self._begin_move(shard, owner)
        elif write is not None:
            start(self._release_and_write, write)

    def _release_and_write(self, write: ShardWrite) -> None:
        # The worker may have been granted the shard before it became clear
        # that this node has to write the record first.
        if not self._is_released(write):
            return
        if self._is_handed_over(write):
            self._execute(write)
            return
        # The other node would lack what this one knows, so this one acts first.
        self._kept.add(write.shard)
        self._finish(write, WriteProgress.NOT_SENT)

    def _move_all_away(self) -> None:
        # The worker is lost or leaves, or its failure domain is evacuated:
        # others are to serve its keys.
        own = self._ownership.own
        if not self._held_shards.tokens():
            return
        planned = {
            move.shard: move.target
            for move in self._balancer.plan_relocation(
                self._ownership.pending_owners
            )
        }
        for place, shard in enumerate(sorted(self._held_shards.tokens())):
            target = planned.get(shard.number) or self._move_target(
                shard, own, place
            )
            self._begin_move(shard, target)

    def _begin_planned_moves(self) -> None:
        for move in self._balancer.plan_moves(self._ownership.pending_owners):
            shard = ShardName(self._service, move.shard)
            if not self._closer.is_busy(shard):
                self._begin_move(shard, move.target)

    def _is_released(self, write: ShardWrite) -> bool:
        """Wait for the release of a shard; return whether to write it.

        If not, its write has ended and the shard is open again.
        """
        if self._closer.release(write):
            return True
        self._finish(write, WriteProgress.NOT_SENT)
        return False

    def _is_handed_over(self, write: ShardWrite) -> bool:
        self._closer.note_wait(write, WriteWait.LEDGER)
        return self.before_move(write.shard, write.record.succession)

    def _execute(self, write: ShardWrite) -> None:
        self._closer.note_wait(write, WriteWait.RECORD)
        self._finish(write, self._writer.execute(write))

    def _finish(self, write: ShardWrite, progress: WriteProgress) -> None:
        self._ownership.finish(write, progress)
        if self._stopping or progress is WriteProgress.ABANDONED:
            self._grants.withdraw(write.shard)
        else:
            self._grants.restore(write.shard)
        if progress is WriteProgress.WRITTEN:
            self._notify(write.shard)

    def _notify(self, shard: ShardName) -> None:
        entry = self._view.directory.shard(shard)
        if entry is not None:
            recipients = self._recipients(entry.record)
            self._gossip.notify(recipients, shard_notice(shard, entry))

    def _recipients(self, record: ShardRecord) -> set[NodeName]:
        """Return the nodes that are sent a record at once; others get it later.

        In a small fleet these are all nodes, so that no door asks the last
        owner; in a large one the last owner redirects those that ask it.
        """
        recipients = {name for name, _ in self._view.live_nodes()}
        if len(recipients) > _MAX_NOTIFIED_NODES:
            recipients = set(record.succession)
        return recipients.difference((self._ownership.own,))

    def _move_target(
        self, shard: ShardName, own: NodeName, place: int
    ) -> NodeName | None:
        """Return a live node to move a shard to, its successor if possible.

        `place` is the position of the shard among those that are to move; it
        spreads shards without a live successor over the nodes.
        """
        nodes: dict[NodeName, NodeRecord] = self._ownership.live()
        nodes.pop(own, None)
        entry = self._view.directory.shard(shard)
        for name in entry.record.succession if entry else ():
            if name in nodes:
                return name
        order = rendezvous_order(f'drain {own}', nodes)
        return order[place % len(order)] if order else None
