"""The tasks that keep a node's shards: claim, take over, renew and move."""

from collections.abc import Callable
from dataclasses import replace
from itertools import count

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.events import SHARD_SPLIT
from laburnumwood.membership.choice import rendezvous
from laburnumwood.membership.spreading import Spreader, notice_of
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.balancer import Balancer
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.layout import split_shard_number
from laburnumwood.placement.ownership_tracker import OwnershipTracker
from laburnumwood.placement.shard_write import ShardWrite, WriteProgress
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

_STANDING_MS = 100
_WRITING_MS = 200
_TURNS_PER_BALANCE = 3
_IDLE_POLL_MS = 10
_MOST_TOLD = 100  # nodes; in a larger fleet only those that may act
_HAND_OVER_MS = 2_500  # for the store to take the records


BeforeMove = Callable[[ShardName, tuple[NodeName, ...]], bool]


def _move_at_once(_shard: ShardName, _next: tuple[NodeName, ...]) -> bool:
    return True


class ShardManager:
    """Keeps the shards of one incarnation of a node."""

    def __init__(
        self,
        service: str,
        view: FleetView,
        ownership: OwnershipTracker,
        held_shards: HeldShards,
        writer: ShardWriter,
        spreader: Spreader,
        balancer: Balancer,
        grants: Grants,
        clock: Clock,
    ) -> None:
        self._service = service
        self._view = view
        self._ownership = ownership
        self._held_shards = held_shards
        self._writer = writer
        self._spreader = spreader
        self._balancer = balancer
        self._grants = grants
        self._clock = clock
        self._stopping = False
        self.before_move: BeforeMove = _move_at_once

    def follow_ownership(self) -> None:
        """Take over and give up shards as seals and records ask for it."""
        followed = None
        while True:
            version = self._ownership.version
            if version != followed:
                self._ownership.update_held_shards()
                followed = version
            # The lease may come and go without any news.
            self._view.directory.news.wait(_STANDING_MS)

    def write_records(self) -> None:
        """Start the writes that the shards need; does not return."""
        seen = None
        for turn in count():
            eventlet.sleep(_WRITING_MS / MS_PER_SECOND)
            for stale in self._ownership.stale_shards:
                self._writer.start(self._writer.try_refresh, stale)
            if self._stopping:
                continue
            version = self._ownership.version
            if version != seen or not self._ownership.is_settled:
                seen = version
                self._write_records_due()
            if turn % _TURNS_PER_BALANCE == 0:
                self._place()

    def _place(self) -> None:
        if self._ownership.own not in self._ownership.live():
            self._give_all_away()
        elif self._writer.is_healthy:
            self._balance()
            split = self._balancer.plan_split(self._ownership.pending_owners)
            if split is not None:
                self._begin_split(split)

    def withdraw_all(self) -> None:
        """Let every shard go; requests that run go on."""
        self._stopping = True
        for shard in self._held_shards.tokens():
            self._grants.withdraw(shard)

    def hand_over_all(self, own: NodeName, patience_ms: int) -> None:
        """Move every shard to another node, for a planned stop.

        What still runs in a shard is waited for, `patience_ms` at the most.
        Shards that could not be moved are closed; their successors take over
        once the lease is resigned.
        """
        started_ms = self._clock.now_ms()
        self.withdraw_all()
        while self._is_worth_waiting(started_ms, patience_ms):
            for place, shard in enumerate(sorted(self._held_shards.tokens())):
                self._grants.withdraw(shard)
                self._begin_move(shard, self._heir(shard, own, place))
            eventlet.sleep(_IDLE_POLL_MS / MS_PER_SECOND)

    def _is_worth_waiting(self, started_ms: int, patience_ms: int) -> bool:
        waited_ms = self._clock.now_ms() - started_ms
        held = self._held_shards.tokens()
        if not held or waited_ms >= patience_ms:
            return False
        if not self._held_shards.all_idle():
            return True
        # Without the store no record is written; once the worker has let go,
        # the successors can follow the seals.
        limit_ms = _HAND_OVER_MS if self._writer.is_answered else 0
        released = all(self._grants.is_released(shard) for shard in held)
        return waited_ms < limit_ms or not released

    def _begin_move(self, shard: ShardName, target: NodeName | None) -> None:
        if target is not None:
            write = self._ownership.begin_move(shard, target)
            if write is not None:
                start(self._move, write)

    def _is_store_away(self, shard: ShardName) -> bool:
        """Tell whether the store, silent when asked last, still is."""
        if self._writer.is_answered:
            return False
        return not self._writer.try_refresh(shard)

    def _move(self, write: ShardWrite) -> None:
        if not self._stopping and self._is_store_away(write.shard):
            self._finish(write, WriteProgress.NOT_SENT)
            return
        self._release(write.shard)
        handovers = self._grants.handovers(write.shard)
        write.record = replace(write.record, handovers=handovers)
        # A move that begins in an outage would keep its shard closed in it.
        answers = self._writer.try_refresh(write.shard)
        if answers and self.before_move(write.shard, write.record.succession):
            self._execute(write)
        else:
            self._finish(write, WriteProgress.NOT_SENT)

    def _release(self, shard: ShardName) -> None:
        self._grants.withdraw(shard)
        while not self._grants.is_released(shard):
            eventlet.sleep(_IDLE_POLL_MS / MS_PER_SECOND)
        self._held_shards.close(shard)
        # Those who wait for a grant of it look for the next owner instead.
        self._grants.news.tell()
        while not self._held_shards.is_idle(shard):
            eventlet.sleep(_IDLE_POLL_MS / MS_PER_SECOND)

    def _begin_split(self, split: Split) -> None:
        shard = ShardName(self._service, split.shard)
        write = self._ownership.begin_split(shard, split.ranges)
        if write is not None:
            start(self._split, write, split)

    def _split(self, write: ShardWrite, split: Split) -> None:
        if self._is_store_away(write.shard):
            self._finish(write, WriteProgress.NOT_SENT)
            return
        # The worker lets the whole shard go, so that nothing is held of the
        # parts while they belong to nobody.
        self._release(write.shard)
        if not self._writer.try_refresh(write.shard):
            self._finish(write, WriteProgress.NOT_SENT)
            return
        handovers = [self._grants.handover_of(keys) for keys in split.ranges]
        self._finish(write, self._writer.execute(write))
        entry = self._view.directory.shard(write.shard)
        if entry is None:
            return
        for part, handover in zip(split.parts, handovers, strict=True):
            if part.keys in entry.record.split_off:
                self._create_part(write.shard, part, handover)

    def _create_part(self, shard: ShardName, part: Part, handover: str) -> None:
        name = ShardName(self._service, split_shard_number(part.keys))
        SHARD_SPLIT.report(
            shard=shard, part=name, keys=part.keys, target=part.target
        )
        created = self._ownership.begin_create(name, part.target, handover)
        if created is not None:
            self._writer.start(self._execute, created)

    def _write_records_due(self) -> None:
        for shard in self._ownership.shards_to_write():
            if not self._writer.has_room:
                return
            home = self._ownership.returned_owner(shard)
            if home is not None and self._may_go_home(home):
                self._give_back(shard, home)
            else:
                write = self._ownership.begin_write(shard)
                self._writer.start(self._execute, write)

    def _may_go_home(self, home: NodeName) -> bool:
        is_stable = self._balancer.is_stable(home.node_id)
        return is_stable and self._writer.is_healthy

    def _give_back(self, shard: ShardName, home: NodeName) -> None:
        """Let a shard go to the node that lost it: its worker has its data."""
        write = self._ownership.begin_return(shard, home)
        if write is None:
            self._begin_move(shard, home)
        else:
            start(self._let_go_and_write, write)

    def _let_go_and_write(self, write: ShardWrite) -> None:
        # Before this node had to win a write, its worker may have been given
        # the shard.
        self._release(write.shard)
        self._execute(write)

    def _give_all_away(self) -> None:
        # The worker is lost or leaves: others are to serve its keys.
        own = self._ownership.own
        for place, shard in enumerate(sorted(self._held_shards.tokens())):
            self._begin_move(shard, self._heir(shard, own, place))

    def _balance(self) -> None:
        for move in self._balancer.plan_moves(self._ownership.pending_owners):
            shard = ShardName(self._service, move.shard)
            self._begin_move(shard, move.target)

    def _execute(self, write: ShardWrite) -> None:
        self._finish(write, self._writer.execute(write))

    def _finish(self, write: ShardWrite, progress: WriteProgress) -> None:
        self._ownership.finish(write, progress)
        if self._stopping or progress is WriteProgress.ABANDONED:
            self._grants.withdraw(write.shard)
        else:
            self._grants.restore(write.shard)
        if progress is WriteProgress.WRITTEN:
            self._tell(write.shard)

    def _tell(self, shard: ShardName) -> None:
        entry = self._view.directory.shard(shard)
        if entry is not None:
            told = self._told(entry.record)
            self._spreader.tell(told, notice_of(shard, entry))

    def _told(self, record: ShardRecord) -> set[NodeName]:
        """Return who is told of a record at once; others hear of it later.

        In a small fleet all doors are, so that none asks the last owner; in a
        large one the last owner tells those that ask it.
        """
        told = {name for name, _ in self._view.live()}
        if len(told) > _MOST_TOLD:
            told = set(record.succession)
        return told.difference((self._ownership.own,))

    def _heir(
        self, shard: ShardName, own: NodeName, place: int
    ) -> NodeName | None:
        nodes: dict[NodeName, NodeRecord] = self._ownership.live()
        nodes.pop(own, None)
        entry = self._view.directory.shard(shard)
        for name in entry.record.succession if entry else ():
            if name in nodes:
                return name
        order = rendezvous(f'drain {own}', nodes)
        return order[place % len(order)] if order else None
