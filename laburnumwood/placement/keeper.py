"""The tasks that keep a node's shards: claim, take over, renew and move."""

from contextlib import suppress

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import IncarnationOverError, PlatformError
from laburnumwood.events import SHARD_CLAIMED, SHARD_MOVED, SHARD_TAKEN_OVER
from laburnumwood.leases.lease import Lease
from laburnumwood.membership.choice import rendezvous
from laburnumwood.membership.directory import Entry
from laburnumwood.membership.spreading import Spreader
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.balance import Move
from laburnumwood.placement.balancer import Balancer
from laburnumwood.placement.holdings import Holdings
from laburnumwood.placement.ownership import (
    Standing,
    rank,
    standing,
    token,
)
from laburnumwood.placement.succession import (
    choose_succession,
    needs_successors,
)
from laburnumwood.placement.writer import ShardWriter
from laburnumwood.protocol.messages import ShardNotice
from laburnumwood.records import NodeName, NodeRecord, ShardName, ShardRecord

_STANDING_MS = 50
_WRITING_MS = 200
_BYSTANDER_PATIENCE_MS = 3_000


class Keeper:
    """Keeps the shards of one incarnation of a node."""

    def __init__(
        self,
        service: str,
        view: FleetView,
        lease: Lease,
        holdings: Holdings,
        writer: ShardWriter,
        spreader: Spreader,
        balancer: Balancer,
        clock: Clock,
    ) -> None:
        self._service = service
        self._own = lease.holder
        self._view = view
        self._lease = lease
        self._holdings = holdings
        self._writer = writer
        self._spreader = spreader
        self._balancer = balancer
        self._clock = clock
        self._wanting_since_ms: dict[ShardName, int] = {}

    def watch_standing(self) -> None:
        """Take over and give up shards as seals and records ask for it."""
        while True:
            if self._lease.holds():
                for shard, entry in self._shards():
                    self._follow(shard, entry.record)
            eventlet.sleep(_STANDING_MS / MS_PER_SECOND)

    def write_records(self) -> None:
        """Write what the shards need, one after another; does not return."""
        while True:
            eventlet.sleep(_WRITING_MS / MS_PER_SECOND)
            if self._lease.holds():
                # What is still needed after an error is found again.
                with suppress(PlatformError, IncarnationOverError):
                    self._write_all()

    def hand_over_all(self) -> None:
        """Move every shard to another node, for a planned stop."""
        nodes = self._live()
        nodes.pop(self._own, None)
        held = sorted(self._holdings.tokens())
        for place, shard in enumerate(held):
            order = rendezvous(f'drain {self._own}', nodes)
            if order:
                target = order[place % len(order)]
                self._move(Move(shard.number, self._own, target))

    def _live(self) -> dict[NodeName, NodeRecord]:
        return self._view.live_in(self._service)

    def _shards(self) -> list[tuple[ShardName, Entry[ShardRecord]]]:
        entries = self._view.directory.shards(self._service).items()
        return [
            (ShardName(self._service, number), entry)
            for number, entry in sorted(entries)
        ]

    def _follow(self, shard: ShardName, record: ShardRecord) -> None:
        how = standing(shard, record, self._own, self._view)
        if how is Standing.OWNER:
            first = self._holdings.hold(shard, token(record, self._own))
            if first and rank(record, self._own):
                SHARD_TAKEN_OVER.report(shard=shard, epoch=record.epoch)
            elif first:
                SHARD_CLAIMED.report(shard=shard, epoch=record.epoch)
        elif not self._holdings.is_closed(shard):
            self._holdings.drop(shard)

    def _write_all(self) -> None:
        for shard, entry in self._shards():
            how = standing(shard, entry.record, self._own, self._view)
            if how is Standing.MUST_WIN or (
                how is Standing.ORPHANED and self._is_my_turn(shard)
            ):
                self._renew(shard)
        self._claim_missing()
        self._refresh_successions()
        for move in self._balancer.moves():
            self._move(move)

    def _is_my_turn(self, shard: ShardName) -> bool:
        now_ms = self._clock.now_ms()
        since_ms = self._wanting_since_ms.setdefault(shard, now_ms)
        patient = now_ms - since_ms < _BYSTANDER_PATIENCE_MS
        first = rendezvous(str(shard), self._live())[:1]
        return first == [self._own] or not patient

    def _renew(self, shard: ShardName) -> None:
        succession = choose_succession(shard, self._own, self._live())
        try:
            self._writer.replace(shard, succession)
        except PlatformError:
            self._writer.refresh(shard)
        self._wanting_since_ms.pop(shard, None)

    def _claim_missing(self) -> None:
        declared = self._view.directory.declarations.services.get(self._service)
        known = self._view.directory.shards(self._service)
        for number in range(declared.shards if declared else 0):
            shard = ShardName(self._service, number)
            if number not in known and self._is_my_turn(shard):
                self._claim(shard)

    def _claim(self, shard: ShardName) -> None:
        succession = choose_succession(shard, self._own, self._live())
        try:
            self._writer.create(shard, succession)
        except PlatformError:
            self._writer.refresh(shard)
        self._wanting_since_ms.pop(shard, None)

    def _refresh_successions(self) -> None:
        nodes = self._live()
        for shard, entry in self._shards():
            how = standing(shard, entry.record, self._own, self._view)
            succession = entry.record.succession
            if how is Standing.OWNER and needs_successors(
                self._own, succession, nodes
            ):
                self._renew(shard)

    def _move(self, move: Move) -> None:
        shard = ShardName(self._service, move.shard)
        if not self._holdings.is_open(shard):
            return
        succession = choose_succession(shard, move.target, self._live())
        self._holdings.close(shard)
        try:
            record = self._writer.replace(shard, succession)
        except PlatformError:
            self._holdings.reopen(shard)
            self._writer.refresh(shard)
            return
        self._holdings.drop(shard)
        SHARD_MOVED.report(shard=shard, target=move.target, epoch=record.epoch)
        entry = self._view.directory.shard(shard)
        if entry is not None:
            notice = ShardNotice(str(shard), entry.record, entry.version)
            self._spreader.tell(set(self._live()) - {self._own}, notice)
