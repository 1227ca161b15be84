"""Keeping of the run ledger at an owner and at its successors."""

from dataclasses import replace

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import LinkError
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.holdings import HeldShards
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.messages import (
    Answer,
    Done,
    Failure,
    LedgerEntry,
    LedgerNotes,
    Work,
)
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName, ShardName, ShardRecord
from laburnumwood.routing.ledger import (
    RunLedger,
    RunState,
    Verdict,
)
from laburnumwood.routing.problems import failure
from laburnumwood.routing.run import Run
from laburnumwood.routing.runner import Result
from laburnumwood.tasks import start, start_joinable

_CALL_TIMEOUT_MS = 500
_SYNC_MS = 200
_BATCH = 200  # entries in one message
_STOPPED = frozenset((499, 503, 504))  # answers of work that was broken off

_REFUSALS = {
    Verdict.RUNNING: failure('still-running', 'the first try', ran=True),
    Verdict.RAN: failure('ran-before', 'its answer is not kept', ran=True),
    Verdict.MISMATCH: failure('key-reused', 'by another request', ran=False),
    Verdict.FULL: failure('overloaded', 'the run ledger is full', ran=False),
    Verdict.PAST_UNKNOWN: failure('past-unknown', 'after a loss', ran=True),
}


def _shard(work: Work) -> ShardName:
    return ShardName(work.service, work.shard)


class Notary:
    """Lets a request with an idempotency key run once.

    The worker gets it only after every successor that is not sealed has
    acknowledged its entry.
    """

    def __init__(
        self,
        own: NodeName,
        view: FleetView,
        held_shards: HeldShards,
        peers: Peers,
        dispatcher: Dispatcher,
        clock: Clock,
    ) -> None:
        self._own = own
        self._view = view
        self._held_shards = held_shards
        self._ledger = RunLedger(clock)
        self._peers = peers
        self._synced: dict[tuple[ShardName, NodeName], int] = {}
        dispatcher.on(LedgerNotes)(self._serve_notes)
        view.directory.on_shard_change = self._follow

    def admit(self, run: Run) -> Failure | tuple[Answer, bytes] | None:
        """Note a request; return what to answer in place of running it."""
        shard, key = _shard(run.work), run.work.idempotency_key
        entry = self._view.directory.shard(shard)
        if entry is None:
            return failure('not-owner', f'{shard} is not known', ran=False)
        verdict = self._ledger.begin(shard, key, run.fingerprint, entry.record)
        if verdict is Verdict.ANSWERED:
            head, body = self._ledger.answer(shard, key)
            return (head, body) if head else _REFUSALS[Verdict.RAN]
        if verdict is not Verdict.FRESH:
            return _REFUSALS[verdict]
        noted = (self._ledger.entry(shard, key),)
        if self._tell_successors(shard, entry.record, noted):
            return None
        self._forget(shard, key)
        return failure('no-successor', f'{shard}: not noted', ran=False)

    def settle(self, run: Run, outcome: Result | None) -> None:
        """Note how the run of an admitted request ended."""
        shard, key = _shard(run.work), run.work.idempotency_key
        if outcome is not None and not outcome.ran:
            self._forget(shard, key)
            return
        head, body = _kept(outcome)
        self._ledger.finish(shard, key, head, body)
        self._tell_later(shard, self._ledger.entry(shard, key))

    def hand_over(
        self, shard: ShardName, succession: tuple[NodeName, ...]
    ) -> bool:
        """Send all entries of a closed shard to those who follow.

        Tells whether the next owner has them; the move must not go on else.
        """
        entry = self._view.directory.shard(shard)
        if entry is None or not self._ledger.knows_past(shard, entry.record):
            # Nobody may take what this node does not know for the whole.
            return entry is not None
        others = [name for name in succession if name != self._own]
        epoch = entry.record.epoch
        calls = [
            start_joinable(self._send_whole, name, shard, epoch, True)
            for name in others
        ]
        taken = [call.wait() for call in calls]
        return not taken or taken[0]

    def run(self) -> None:
        """Keep the successors of all shards supplied; does not return."""
        while True:
            for shard in self._held_shards.tokens():
                entry = self._view.directory.shard(shard)
                if entry and self._ledger.knows_past(shard, entry.record):
                    self._tell_successors(shard, entry.record, ())
            eventlet.sleep(_SYNC_MS / MS_PER_SECOND)

    def _follow(self, shard: ShardName, record: ShardRecord) -> None:
        if self._own in record.succession:
            self._ledger.follow(shard, record)

    def _successors(self, record: ShardRecord) -> list[NodeName]:
        return [
            name
            for name in record.succession
            if name != self._own and not self._view.is_sealed(name)
        ]

    def _tell_successors(
        self,
        shard: ShardName,
        record: ShardRecord,
        entries: tuple[LedgerEntry, ...],
    ) -> bool:
        calls = [
            start_joinable(self._tell, name, shard, record.epoch, entries)
            for name in self._successors(record)
        ]
        # Each is waited for, whatever the others said.
        acknowledged = [call.wait() for call in calls]
        return all(acknowledged)

    def _tell(
        self,
        name: NodeName,
        shard: ShardName,
        epoch: int,
        entries: tuple[LedgerEntry, ...],
    ) -> bool:
        if self._synced.get((shard, name)) != epoch:
            if not self._send_whole(name, shard, epoch, False):
                return False
            self._synced[(shard, name)] = epoch
            return True
        if not entries:
            return True
        return self._send(
            name, LedgerNotes(str(shard), epoch, entries, False, False)
        )

    def _send_whole(
        self, name: NodeName, shard: ShardName, epoch: int, handover: bool
    ) -> bool:
        entries = self._ledger.entries(shard)
        last = max(0, len(entries) - 1) // _BATCH
        for number in range(last + 1):
            part = entries[number * _BATCH : (number + 1) * _BATCH]
            notes = LedgerNotes(
                str(shard), epoch, part, number == last, handover
            )
            if not self._send(name, notes):
                return False
        return True

    def _send(self, name: NodeName, notes: LedgerNotes) -> bool:
        try:
            reply = self._peers.call(name, notes, _CALL_TIMEOUT_MS)
        except LinkError:
            return False
        return isinstance(reply, Done)

    def _forget(self, shard: ShardName, key: str) -> None:
        entry = self._ledger.entry(shard, key)
        self._ledger.forget(shard, key)
        self._tell_later(shard, replace(entry, state=RunState.FORGOTTEN.name))

    def _tell_later(self, shard: ShardName, entry: LedgerEntry) -> None:
        known = self._view.directory.shard(shard)
        for name in self._successors(known.record) if known else ():
            notes = LedgerNotes(str(shard), 0, (entry,), False, False)
            start(self._send, name, notes)

    def _serve_notes(
        self, link: Link, stream: Stream, notes: LedgerNotes
    ) -> None:
        shard = ShardName.parse(notes.shard)
        if not self._ledger.take(shard, notes.entries):
            stream.send(failure('overloaded', 'the ledger is full', ran=False))
            return
        if notes.whole and notes.handover:
            self._ledger.take_handover(shard, notes.epoch, str(link.peer))
        elif notes.whole:
            self._ledger.take_whole(shard, notes.epoch)
        stream.send(Done())


def _kept(outcome: Result | None) -> tuple[Answer | None, bytes]:
    whole = outcome is not None and outcome.told is None
    if not whole or outcome is None or outcome.head is None:
        return None, b''
    if outcome.body is None or outcome.head.status in _STOPPED:
        return None, b''
    return outcome.head, outcome.body
