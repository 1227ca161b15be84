"""Replication of the run ledger from an owner to its successors."""

from collections.abc import Callable
from dataclasses import replace

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import LinkError
from laburnumwood.events import LEDGER_INCOMPLETE
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.messages import (
    Answer,
    Done,
    Failure,
    LedgerEntry,
    LedgerUpdate,
    Work,
)
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName, ShardName, ShardRecord
from laburnumwood.routing.ledger import (
    LedgerDecision,
    RunLedger,
    RunState,
)
from laburnumwood.routing.ledger_recovery import LedgerRecovery, in_batches
from laburnumwood.routing.problems import make_failure
from laburnumwood.routing.run import Run
from laburnumwood.routing.runner import RunResult
from laburnumwood.tasks import start, start_joinable

_ACKNOWLEDGE_TIMEOUT_MS = 500
_SYNC_INTERVAL_MS = 200
_RECOVERY_INTERVAL_MS = 1_000
_ABORTED_STATUSES = frozenset((499, 503, 504))  # answers of aborted requests

_FAILURES = {
    LedgerDecision.RUNNING: make_failure(
        'still-running', 'the first try', ran=True
    ),
    LedgerDecision.RAN: make_failure(
        'ran-before', 'its answer is not kept', ran=True
    ),
    LedgerDecision.MISMATCH: make_failure(
        'key-reused', 'by another request', ran=False
    ),
    LedgerDecision.FULL: make_failure(
        'overloaded', 'the run ledger is full', ran=False
    ),
    LedgerDecision.PAST_UNKNOWN: make_failure(
        'past-unknown', 'after a loss', ran=True
    ),
}


def _shard_of(work: Work) -> ShardName:
    return ShardName(work.service, work.shard)


class LedgerReplicator:
    """Makes a request with an idempotency key run at most once.

    A request is sent to the worker only after every successor that is not
    sealed has acknowledged its ledger entry.  `is_lease_held` returns whether
    this incarnation holds its lease.  `earlier` is of the incarnation before in
    the same process, whose entries this one has.
    """

    def __init__(
        self,
        own_name: NodeName,
        view: FleetView,
        held_shards: HeldShards,
        peers: Peers,
        dispatcher: Dispatcher,
        is_lease_held: Callable[[], bool],
        clock: Clock,
        earlier: 'LedgerReplicator | None' = None,
    ) -> None:
        self._own = own_name
        self._clock = clock
        self._view = view
        self._held_shards = held_shards
        self._ledger: RunLedger = RunLedger(
            clock, own_name, earlier._ledger if earlier else None
        )
        self._peers = peers
        self._synced_epochs: dict[tuple[ShardName, NodeName], int] = {}
        self._recovery = LedgerRecovery(
            own_name, view, peers, self._ledger, is_lease_held
        )
        self._recovered_ms: dict[ShardName, int] = {}
        dispatcher.on(LedgerUpdate)(self._handle_entries)
        view.directory.on_shard_change = self._apply_record

    def admit(self, run: Run) -> Failure | tuple[Answer, bytes] | None:
        """Record a request on this node and on all successors.

        Returns None if it may run, else the failure or the kept answer to
        send without running it.
        """
        shard, key = _shard_of(run.work), run.work.idempotency_key
        entry = self._view.directory.shard(shard)
        if entry is None:
            return make_failure('not-owner', f'{shard} is not known', ran=False)
        decision = self._ledger.admit(shard, key, run.fingerprint, entry.record)
        if decision is LedgerDecision.ANSWERED:
            head, body = self._ledger.kept_answer(shard, key)
            return (head, body) if head else _FAILURES[LedgerDecision.RAN]
        if decision is not LedgerDecision.FRESH:
            return _FAILURES[decision]
        recorded = (self._ledger.entry(shard, key),)
        if self._replicate(shard, entry.record, recorded):
            return None
        self._remove(shard, key)
        return make_failure('no-successor', f'{shard}: not noted', ran=False)

    def record_outcome(self, run: Run, outcome: RunResult | None) -> None:
        """Record how the run of an admitted request ended."""
        shard, key = _shard_of(run.work), run.work.idempotency_key
        if outcome is not None and not outcome.ran:
            self._remove(shard, key)
            return
        head, body = _answer_to_keep(outcome)
        self._ledger.record_result(shard, key, head, body)
        self._replicate_later(shard, self._ledger.entry(shard, key))

    def hand_over(
        self, shard: ShardName, succession: tuple[NodeName, ...]
    ) -> bool:
        """Send all entries of a closed shard to its next succession.

        Returns whether the next owner has them; if not, the move must not
        continue.
        """
        entry = self._view.directory.shard(shard)
        if entry is None or not self._is_complete(shard, entry.record):
            # An incomplete history must not be handed over as a complete one.
            return entry is not None
        successors = [name for name in succession if name != self._own]
        epoch = entry.record.epoch
        tasks = [
            start_joinable(self._send_all_entries, name, shard, epoch, True)
            for name in successors
        ]
        acknowledged = [task.wait() for task in tasks]
        return not acknowledged or acknowledged[0]

    def hand_over_part(
        self, parent: ShardName, part: ShardName, record: ShardRecord
    ) -> None:
        """Send all entries of a split shard to the succession of a part.

        `record` is the record of the part, which this node will write next.
        """
        entry = self._view.directory.shard(parent)
        if entry is None or not self._is_complete(parent, entry.record):
            return
        epoch = record.epoch - 1
        if not self._ledger.merge(part, self._ledger.entries(parent)):
            return
        self._ledger.record_handover(part, epoch, str(self._own))
        tasks = [
            start_joinable(self._send_all_entries, name, part, epoch, True)
            for name in record.succession
            if name != self._own
        ]
        for task in tasks:
            task.wait()

    def run(self) -> None:
        """Send all entries to new successors periodically; does not return."""
        while True:
            for shard in self._held_shards.tokens():
                entry = self._view.directory.shard(shard)
                if entry and self._own in entry.record.succession:
                    self._maintain(shard, entry.record)
            eventlet.sleep(_SYNC_INTERVAL_MS / MS_PER_SECOND)

    def _maintain(self, shard: ShardName, record: ShardRecord) -> None:
        if self._ledger.has_full_history(shard, record):
            self._recovered_ms.pop(shard, None)
            self._ledger.record_acting(shard, record, self._own)
            self._replicate(shard, record, ())
            return
        now_ms = self._clock.now_ms()
        asked_ms = self._recovered_ms.get(shard)
        if asked_ms is None:
            LEDGER_INCOMPLETE.report(shard=shard, epoch=record.epoch)
        if asked_ms is None or now_ms - asked_ms >= _RECOVERY_INTERVAL_MS:
            self._recovered_ms[shard] = now_ms
            start(self._recovery.recover, shard, record)

    def _is_complete(self, shard: ShardName, record: ShardRecord) -> bool:
        return self._ledger.has_full_history(
            shard, record
        ) or self._recovery.recover(shard, record)

    def _apply_record(self, shard: ShardName, record: ShardRecord) -> None:
        self._recovery.record_change(shard, record)
        if self._own in record.succession:
            self._ledger.apply_record(shard, record)

    def _successors(self, record: ShardRecord) -> list[NodeName]:
        return [
            name
            for name in record.succession
            if name != self._own and not self._view.is_sealed(name)
        ]

    def _replicate(
        self,
        shard: ShardName,
        record: ShardRecord,
        entries: tuple[LedgerEntry, ...],
    ) -> bool:
        tasks = [
            start_joinable(
                self._replicate_to, name, shard, record.epoch, entries
            )
            for name in self._successors(record)
        ]
        # Every call is awaited, whatever the others returned.
        acknowledged = [task.wait() for task in tasks]
        return all(acknowledged)

    def _replicate_to(
        self,
        name: NodeName,
        shard: ShardName,
        epoch: int,
        entries: tuple[LedgerEntry, ...],
    ) -> bool:
        if self._synced_epochs.get((shard, name)) != epoch:
            if not self._send_all_entries(name, shard, epoch, False):
                return False
            self._synced_epochs[(shard, name)] = epoch
            return True
        if not entries:
            return True
        return self._send(
            name, LedgerUpdate(str(shard), epoch, entries, False, False)
        )

    def _send_all_entries(
        self, name: NodeName, shard: ShardName, epoch: int, handover: bool
    ) -> bool:
        for batch, is_last in in_batches(self._ledger.entries(shard)):
            message = LedgerUpdate(str(shard), epoch, batch, is_last, handover)
            if not self._send(name, message):
                return False
        return True

    def _send(self, name: NodeName, message: LedgerUpdate) -> bool:
        try:
            reply = self._peers.call(name, message, _ACKNOWLEDGE_TIMEOUT_MS)
        except LinkError:
            return False
        return isinstance(reply, Done)

    def _remove(self, shard: ShardName, key: str) -> None:
        entry = self._ledger.entry(shard, key)
        self._ledger.remove(shard, key)
        self._replicate_later(
            shard, replace(entry, state=RunState.FORGOTTEN.name)
        )

    def _replicate_later(self, shard: ShardName, entry: LedgerEntry) -> None:
        current = self._view.directory.shard(shard)
        for name in self._successors(current.record) if current else ():
            message = LedgerUpdate(str(shard), 0, (entry,), False, False)
            start(self._send, name, message)

    def _handle_entries(
        self, link: Link, stream: Stream, message: LedgerUpdate
    ) -> None:
        shard = ShardName.parse(message.shard)
        if message.handover and not message.whole and not message.entries:
            self._recovery.answer(stream, shard, message.epoch)
            return
        if not self._ledger.merge(shard, message.entries):
            stream.send(
                make_failure('overloaded', 'the ledger is full', ran=False)
            )
            return
        if message.whole and message.handover:
            self._ledger.record_handover(shard, message.epoch, str(link.peer))
        elif message.whole:
            self._ledger.record_complete(shard, message.epoch)
        stream.send(Done())


def _answer_to_keep(outcome: RunResult | None) -> tuple[Answer | None, bytes]:
    has_answer = outcome is not None and outcome.failure is None
    if not has_answer or outcome is None or outcome.head is None:
        return None, b''
    if outcome.body is None or outcome.head.status in _ABORTED_STATUSES:
        return None, b''
    return outcome.head, outcome.body
