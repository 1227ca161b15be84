"""The tasks that keep a node's shards: claim, take over, renew and move."""

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
from laburnumwood.placement.holdings import Holdings
from laburnumwood.placement.layout import split_number
from laburnumwood.placement.shard_write import Progress, ShardWrite
from laburnumwood.placement.splitting import Part, Split
from laburnumwood.placement.tenure import Tenure
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


class Keeper:
    """Keeps the shards of one incarnation of a node."""

    def __init__(
        self,
        service: str,
        view: FleetView,
        tenure: Tenure,
        holdings: Holdings,
        writer: ShardWriter,
        gossip: Gossip,
        balancer: Balancer,
        grants: Grants,
        clock: Clock,
    ) -> None:
        self._service = service
        self._view = view
        self._tenure = tenure
        self._holdings = holdings
        self._writer = writer
        self._gossip = gossip
        self._balancer = balancer
        self._grants = grants
        self._clock = clock
        self._stopping = False
        self.before_move: BeforeMove = _move_at_once

    def watch_standing(self) -> None:
        """Take over and give up shards as seals and records ask for it."""
        followed = None
        while True:
            version = self._tenure.version
            if version != followed:
                self._tenure.follow()
                followed = version
            # The lease may come and go without any news.
            self._view.directory.news.wait(_STANDING_MS)

    def write_records(self) -> None:
        """Start the writes that the shards need; does not return."""
        seen = None
        for turn in count():
            eventlet.sleep(_WRITING_MS / MS_PER_SECOND)
            for stale in self._tenure.stale:
                self._writer.start(self._writer.refresh_if_possible, stale)
            if self._stopping:
                continue
            version = self._tenure.version
            if version != seen or not self._tenure.is_settled:
                seen = version
                self._write_wanted()
            if turn % _TURNS_PER_BALANCE == 0:
                self._place()

    def _place(self) -> None:
        if self._tenure.own not in self._tenure.live():
            self._give_all_away()
        elif self._writer.is_healthy:
            self._balance()
            split = self._balancer.split(self._tenure.begun)
            if split is not None:
                self._begin_split(split)

    def close_all(self) -> None:
        """Let every shard go; requests that run go on."""
        self._stopping = True
        for shard in self._holdings.tokens():
            self._grants.withdraw(shard)

    def hand_over_all(self, own: NodeName, patience_ms: int) -> None:
        """Move every shard to another node, for a planned stop.

        What still runs in a shard is waited for, `patience_ms` at the most.
        Shards that could not be moved are closed; their successors take over
        once the lease is resigned.
        """
        started_ms = self._clock.now_ms()
        self.close_all()
        while self._is_worth_waiting(started_ms, patience_ms):
            for place, shard in enumerate(sorted(self._holdings.tokens())):
                self._grants.withdraw(shard)
                self._begin_move(shard, self._heir(shard, own, place))
            eventlet.sleep(_IDLE_POLL_MS / MS_PER_SECOND)

    def _is_worth_waiting(self, started_ms: int, patience_ms: int) -> bool:
        waited_ms = self._clock.now_ms() - started_ms
        held = self._holdings.tokens()
        if not held or waited_ms >= patience_ms:
            return False
        if not self._holdings.are_idle():
            return True
        # Without the store no record is written; once the worker has let go,
        # the successors can follow the seals.
        limit_ms = _HAND_OVER_MS if self._writer.is_answered else 0
        released = all(self._grants.is_released(shard) for shard in held)
        return waited_ms < limit_ms or not released

    def _begin_move(self, shard: ShardName, target: NodeName | None) -> None:
        if target is not None:
            write = self._tenure.begin_move(shard, target)
            if write is not None:
                start(self._move, write)

    def _is_store_away(self, shard: ShardName) -> bool:
        """Tell whether the store, silent when asked last, still is."""
        if self._writer.is_answered:
            return False
        return not self._writer.refresh_if_possible(shard)

    def _move(self, write: ShardWrite) -> None:
        if not self._stopping and self._is_store_away(write.shard):
            self._finish(write, Progress.NOT_SENT)
            return
        self._let_go(write.shard)
        handovers = self._grants.handovers(write.shard)
        write.record = replace(write.record, handovers=handovers)
        # A move that begins in an outage would keep its shard closed in it.
        answers = self._writer.refresh_if_possible(write.shard)
        if answers and self.before_move(write.shard, write.record.succession):
            self._carry(write)
        else:
            self._finish(write, Progress.NOT_SENT)

    def _let_go(self, shard: ShardName) -> None:
        self._grants.withdraw(shard)
        while not self._grants.is_released(shard):
            eventlet.sleep(_IDLE_POLL_MS / MS_PER_SECOND)
        self._holdings.close(shard)
        # Those who wait for a grant of it look for the next owner instead.
        self._grants.changes.notify_all()
        while not self._holdings.is_idle(shard):
            eventlet.sleep(_IDLE_POLL_MS / MS_PER_SECOND)

    def _begin_split(self, split: Split) -> None:
        shard = ShardName(self._service, split.shard)
        write = self._tenure.begin_split(shard, split.ranges)
        if write is not None:
            start(self._split, write, split)

    def _split(self, write: ShardWrite, split: Split) -> None:
        if self._is_store_away(write.shard):
            self._finish(write, Progress.NOT_SENT)
            return
        # The worker lets the whole shard go, so that nothing is held of the
        # parts while they belong to nobody.
        self._let_go(write.shard)
        if not self._writer.refresh_if_possible(write.shard):
            self._finish(write, Progress.NOT_SENT)
            return
        handovers = [self._grants.handover_for(keys) for keys in split.ranges]
        self._finish(write, self._writer.carry(write))
        entry = self._view.directory.shard(write.shard)
        if entry is None:
            return
        for part, handover in zip(split.parts, handovers, strict=True):
            if part.keys in entry.record.split_off:
                self._create_part(write.shard, part, handover)

    def _create_part(self, shard: ShardName, part: Part, handover: str) -> None:
        name = ShardName(self._service, split_number(part.keys))
        SHARD_SPLIT.report(
            shard=shard, part=name, keys=part.keys, target=part.target
        )
        created = self._tenure.begin_new(name, part.target, handover)
        if created is not None:
            self._writer.start(self._carry, created)

    def _write_wanted(self) -> None:
        for shard in self._tenure.wanted():
            if not self._writer.has_room:
                return
            home = self._tenure.home(shard)
            if home is not None and self._may_go_home(home):
                self._give_back(shard, home)
            else:
                write = self._tenure.begin_write(shard)
                self._writer.start(self._carry, write)

    def _may_go_home(self, home: NodeName) -> bool:
        is_steady = self._balancer.is_steady(home.node_id)
        return is_steady and self._writer.is_healthy

    def _give_back(self, shard: ShardName, home: NodeName) -> None:
        """Let a shard go to the node that lost it: its worker has its data."""
        write = self._tenure.begin_return(shard, home)
        if write is None:
            self._begin_move(shard, home)
        else:
            start(self._let_go_and_write, write)

    def _let_go_and_write(self, write: ShardWrite) -> None:
        # Before this node had to win a write, its worker may have been given
        # the shard.
        self._let_go(write.shard)
        self._carry(write)

    def _give_all_away(self) -> None:
        # The worker is lost or leaves: others are to serve its keys.
        own = self._tenure.own
        for place, shard in enumerate(sorted(self._holdings.tokens())):
            self._begin_move(shard, self._heir(shard, own, place))

    def _balance(self) -> None:
        for move in self._balancer.moves(self._tenure.begun):
            shard = ShardName(self._service, move.shard)
            self._begin_move(shard, move.target)

    def _carry(self, write: ShardWrite) -> None:
        self._finish(write, self._writer.carry(write))

    def _finish(self, write: ShardWrite, progress: Progress) -> None:
        self._tenure.finish(write, progress)
        if self._stopping or progress is Progress.ABANDONED:
            self._grants.withdraw(write.shard)
        else:
            self._grants.restore(write.shard)
        if progress is Progress.WRITTEN:
            self._tell(write.shard)

    def _tell(self, shard: ShardName) -> None:
        entry = self._view.directory.shard(shard)
        if entry is not None:
            told = self._told(entry.record)
            self._gossip.notify(told, shard_notice(shard, entry))

    def _told(self, record: ShardRecord) -> set[NodeName]:
        """Return who is told of a record at once; others hear of it later.

        In a small fleet all doors are, so that none asks the last owner; in a
        large one the last owner tells those that ask it.
        """
        told = {name for name, _ in self._view.live_nodes()}
        if len(told) > _MOST_TOLD:
            told = set(record.succession)
        return told.difference((self._tenure.own,))

    def _heir(
        self, shard: ShardName, own: NodeName, place: int
    ) -> NodeName | None:
        nodes: dict[NodeName, NodeRecord] = self._tenure.live()
        nodes.pop(own, None)
        entry = self._view.directory.shard(shard)
        for name in entry.record.succession if entry else ():
            if name in nodes:
                return name
        order = rendezvous_order(f'drain {own}', nodes)
        return order[place % len(order)] if order else None
