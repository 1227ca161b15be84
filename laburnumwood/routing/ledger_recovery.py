"""Recovery of run ledger entries that an owner may miss, from other nodes."""

from collections.abc import Callable, Iterator

from laburnumwood.errors import LinkError
from laburnumwood.events import LEDGER_RECOVERED
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.messages import (
    LedgerEntry,
    LedgerHistory,
    LedgerUpdate,
)
from laburnumwood.protocol.peers import Peers
from laburnumwood.protocol.streams import Stream
from laburnumwood.protocol.time_limit import time_limit
from laburnumwood.records import NodeName, ShardHistory, ShardName, ShardRecord
from laburnumwood.routing.ledger import RunLedger, known_for_ms
from laburnumwood.tasks import start_joinable

_ENTRIES_PER_MESSAGE = 200
_ANSWER_TIMEOUT_MS = 500  # for each part of the answer
_QUESTION_LIMIT_MS = 1_500  # for a link, the question and the whole answer


def in_batches(
    entries: tuple[LedgerEntry, ...],
) -> Iterator[tuple[tuple[LedgerEntry, ...], bool]]:
    """Yield at least one batch of entries, each with whether it is the last."""
    last = max(0, len(entries) - 1) // _ENTRIES_PER_MESSAGE
    for number in range(last + 1):
        first = number * _ENTRIES_PER_MESSAGE
        batch = entries[first : first + _ENTRIES_PER_MESSAGE]
        yield batch, number == last


class LedgerRecovery:
    """Asks other nodes for entries that the owner of a shard may miss.

    `is_lease_held` returns whether this incarnation holds its lease.
    """

    def __init__(
        self,
        own: NodeName,
        view: FleetView,
        peers: Peers,
        ledger: RunLedger,
        is_lease_held: Callable[[], bool],
    ) -> None:
        self._own = own
        self._view = view
        self._peers = peers
        self._ledger = ledger
        self._is_lease_held = is_lease_held
        self._latest: dict[ShardName, ShardRecord] = {}
        self._before: dict[ShardName, ShardRecord] = {}

    def record_change(self, shard: ShardName, record: ShardRecord) -> None:
        """Remember the succession that the one in a new record replaces."""
        known = self._latest.get(shard)
        if known is not None and known.epoch < record.epoch:
            self._before[shard] = known
        self._latest[shard] = record

    def recover(self, shard: ShardName, record: ShardRecord) -> bool:
        """Ask those that may know; return whether the ledger is complete now.

        `record` is the shard record under which this node is the owner.
        """
        before = self._before.get(shard)
        epoch = record.epoch - 1
        tasks = [
            start_joinable(self._ask, name, shard, epoch)
            for name in self._processes(record, before)
        ]
        own = self._ledger.histories(shard, epoch, is_held=False)
        told = [each for task in tasks for each in task.wait()]
        known_ms = known_for_ms(record, before, (*own, *told))
        self._ledger.record_known(shard, record.epoch, known_ms)
        is_complete = self._ledger.has_full_history(shard, record)
        if is_complete:
            LEDGER_RECOVERED.report(shard=shard, epoch=record.epoch)
        return is_complete

    def answer(self, stream: Stream, shard: ShardName, epoch: int) -> None:
        """Send what this node's process knows of a shard up to an epoch."""
        for batch, is_last in in_batches(self._ledger.entries(shard)):
            is_held = self._is_lease_held()
            histories = self._ledger.histories(shard, epoch, is_held=is_held)
            stream.send(
                LedgerHistory(batch, is_last, histories if is_last else ())
            )

    def _processes(
        self, record: ShardRecord, before: ShardRecord | None
    ) -> set[NodeName]:
        """Return the nodes that go on of those that may have entries."""
        listed = {*record.succession, *(before.succession if before else ())}
        node_ids = {name.node_id for name in listed}
        if record.mark is not None:
            node_ids.add(record.mark.writer.rpartition('#')[0])
        nodes = self._view.directory.nodes
        return {
            NodeName(node_id, nodes[node_id].record.incarnation)
            for node_id in node_ids - {self._own.node_id}
            if node_id in nodes
        }

    def _ask(
        self, name: NodeName, shard: ShardName, epoch: int
    ) -> tuple[ShardHistory, ...]:
        question = LedgerUpdate(str(shard), epoch, (), False, True)
        try:
            with time_limit(_QUESTION_LIMIT_MS, 'not told'):
                stream = self._peers.open_stream(name)
                return self._receive(stream, shard, question)
        except LinkError:
            return ()

    def _receive(
        self, stream: Stream, shard: ShardName, question: LedgerUpdate
    ) -> tuple[ShardHistory, ...]:
        try:
            stream.send(question)
            while True:
                told = stream.receive(_ANSWER_TIMEOUT_MS)
                if not isinstance(told, LedgerHistory):
                    return ()
                if not self._ledger.merge(shard, told.entries):
                    return ()
                if told.whole:
                    return told.histories
        finally:
            stream.close()
