"""The run ledger: records of requests that have an idempotency key."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from laburnumwood.clock import Clock
from laburnumwood.protocol.messages import Answer, LedgerEntry
from laburnumwood.records import NodeName, ShardHistory, ShardName, ShardRecord

RETENTION_MS = 600_000  # how long a resent request is recognized
MAX_ENTRIES = 50_000  # entries for all shards of a node
MAX_KEPT_BODY_BYTES = 4_096  # the answer is not kept if its body is longer
_MAX_EARLIER = 8  # incarnations of a process whose knowledge is kept


class RunState(IntEnum):
    """Progress of a request, in this order; sent to other nodes by name."""

    NOTED = 0
    RAN = 1
    ANSWERED = 2
    FORGOTTEN = 3


class LedgerDecision(Enum):
    """Decision of the owner about a request with an idempotency key."""

    FRESH = 'it is noted now and may run'
    RUNNING = 'it runs at this moment'
    ANSWERED = 'it ran, and its answer is kept'
    RAN = 'it may have run, and no answer is kept'
    MISMATCH = 'its key was used for another request'
    FULL = 'the ledger has no room to note it'
    PAST_UNKNOWN = 'it may have run under an earlier owner'


@dataclass(slots=True)
class _Entry:
    fingerprint: str
    attempt: int
    state: RunState
    recorded_ms: int
    head: Answer | None = None
    body: bytes = b''
    is_running: bool = False


@dataclass(frozen=True, slots=True)
class _Gap:
    """Entries before `since_ms` may be missing, none after it up to `epoch`."""

    epoch: int
    since_ms: int


def known_for_ms(
    record: ShardRecord,
    before: ShardRecord | None,
    histories: Iterable[ShardHistory],
) -> int:
    """Return for how long the owner under a record has every entry; -1: never.

    `before` is the record before it, None if it is not known.  The owner has
    merged the entries of all `histories`, which are up to the epoch of
    `before`.  All members of its succession together have what was admitted
    under it.
    """
    known = list(histories)
    spans = [each.known_ms for each in known if each.is_current]
    if before is not None and before.epoch == record.epoch - 1:
        acted = set(before.succession)
        if acted.issubset(name for each in known for name in each.names):
            spans.extend(
                each.known_ms
                for each in known
                if acted.intersection(each.names)
            )
    return max(spans, default=-1)


@dataclass(slots=True)
class _EntryTable:
    """The entries of a process, for all its incarnations."""

    shards: dict[ShardName, dict[str, _Entry]] = field(default_factory=dict)
    latest_attempt: int = 0
    count: int = 0

    def put(self, shard: ShardName, key: str, entry: _Entry) -> None:
        """Add or replace an entry."""
        entries = self.shards.setdefault(shard, {})
        self.count += key not in entries
        entries[key] = entry

    def remove(self, shard: ShardName, key: str) -> None:
        """Remove an entry, if there is one."""
        if self.shards.get(shard, {}).pop(key, None) is not None:
            self.count -= 1


class RunLedger:
    """The run ledger of one incarnation, for shards it owns or may own later.

    The entries are those of its process: it has them from the ledger of the
    incarnation before, `earlier`, but not the proof that none is missing.

    `has_full_history` returns whether the ledger has every entry of a shard.
    That is so once the owner in some epoch has sent all its entries, and for
    as long as this node is in the succession of every later record: an owner
    runs no request before each node of its succession has acknowledged the
    entry.
    """

    def __init__(
        self,
        clock: Clock,
        name: NodeName | None = None,
        earlier: 'RunLedger | None' = None,
    ) -> None:
        self._clock = clock
        self._name = name
        self._table: _EntryTable = earlier._table if earlier else _EntryTable()
        self._earlier: tuple[RunLedger, ...] = ()
        if earlier is not None:
            self._earlier = (*earlier._earlier, earlier)[-_MAX_EARLIER:]
            earlier._earlier = ()
        self._acting: dict[ShardName, tuple[int, tuple[NodeName, ...]]] = {}
        self._complete_epochs: dict[ShardName, int] = {}
        self._handovers: dict[ShardName, tuple[int, str]] = {}
        self._gaps: dict[ShardName, _Gap] = {}

    def admit(
        self, shard: ShardName, key: str, fingerprint: str, record: ShardRecord
    ) -> LedgerDecision:
        """Decide whether a request may run, and record it if so.

        `record` is the shard record under which this node is the owner.
        """
        entry = self._find(shard, key)
        if entry is not None:
            return _decide(entry, fingerprint)
        if not self.has_full_history(shard, record):
            return LedgerDecision.PAST_UNKNOWN
        if not self._has_room():
            return LedgerDecision.FULL
        self._table.latest_attempt += 1
        now_ms = self._clock.now_ms()
        self._table.put(
            shard,
            key,
            _Entry(
                fingerprint,
                self._table.latest_attempt,
                RunState.NOTED,
                now_ms,
                is_running=True,
            ),
        )
        return LedgerDecision.FRESH

    def record_result(
        self, shard: ShardName, key: str, head: Answer | None, body: bytes
    ) -> None:
        """Record that a request ran, with its answer unless `head` is None."""
        entry = self._table.shards[shard][key]
        entry.is_running = False
        entry.state = RunState.RAN if head is None else RunState.ANSWERED
        entry.head, entry.body = head, body

    def remove(self, shard: ShardName, key: str) -> None:
        """Remove the entry of a request that provably did not run."""
        self._table.remove(shard, key)

    def kept_answer(
        self, shard: ShardName, key: str
    ) -> tuple[Answer | None, bytes]:
        """Return the kept answer to a request: head and body."""
        entry = self._table.shards[shard][key]
        return entry.head, entry.body

    def entry(self, shard: ShardName, key: str) -> LedgerEntry:
        """Return the entry of a request in the form sent to other nodes."""
        return self._to_message(key, self._table.shards[shard][key])

    def entries(self, shard: ShardName) -> tuple[LedgerEntry, ...]:
        """Return all entries of a shard in the form sent to other nodes."""
        self._evict_expired(shard)
        entries = self._table.shards.get(shard, {})
        return tuple(
            self._to_message(key, entry) for key, entry in entries.items()
        )

    def merge(self, shard: ShardName, entries: Iterable[LedgerEntry]) -> bool:
        """Merge entries of another node; return False if the ledger is full."""
        for message in entries:
            if not self._has_room():
                return False
            self._merge_entry(shard, message)
        return True

    def record_complete(self, shard: ShardName, epoch: int) -> None:
        """Record that the ledger has all entries of the owner in an epoch."""
        known_epoch = self._complete_epochs.get(shard, 0)
        self._complete_epochs[shard] = max(known_epoch, epoch)
        if epoch >= known_epoch:
            self._gaps.pop(shard, None)

    def record_handover(
        self, shard: ShardName, epoch: int, sender: str
    ) -> None:
        """Record that `sender` handed over all entries of an epoch.

        An owner does so before it moves the shard to another node.
        """
        self._handovers[shard] = (epoch, sender)

    def apply_record(self, shard: ShardName, record: ShardRecord) -> bool:
        """Apply a shard record whose succession contains this node.

        Returns whether the ledger has every earlier entry.  If so, it will
        also have all entries under this record, since no request runs under
        it before this node has acknowledged the entry.
        """
        previous_epoch = record.epoch - 1
        writer = record.mark.writer if record.mark else ''
        was_handed_over = self._handovers.get(shard) == (previous_epoch, writer)
        if (
            was_handed_over
            or self._complete_epochs.get(shard, 0) >= previous_epoch
        ):
            self.record_complete(shard, record.epoch)
            return True
        return False

    def has_full_history(self, shard: ShardName, record: ShardRecord) -> bool:
        """Return whether the owner under a record has all earlier entries.

        That is also so once the retention has passed: older entries would
        have expired.
        """
        if self.apply_record(shard, record):
            return True
        gap = self._follow_gap(shard, record.epoch)
        if self._clock.now_ms() - gap.since_ms >= RETENTION_MS:
            self.record_complete(shard, record.epoch)
            return True
        return False

    def record_acting(
        self, shard: ShardName, record: ShardRecord, own: NodeName
    ) -> None:
        """Record that this node acts as the owner and has all entries."""
        rank = record.succession.index(own)
        self._acting[shard] = (record.epoch, record.succession[:rank])

    def record_known(self, shard: ShardName, epoch: int, known_ms: int) -> None:
        """Record that the owner in an epoch has all entries of a time."""
        if known_ms >= RETENTION_MS:
            self.record_complete(shard, epoch)
        elif known_ms >= 0:
            since_ms = self._clock.now_ms() - known_ms
            known = self._follow_gap(shard, epoch)
            self._gaps[shard] = _Gap(epoch, min(known.since_ms, since_ms))

    def histories(
        self, shard: ShardName, epoch: int, *, is_held: bool
    ) -> tuple[ShardHistory, ...]:
        """Return what each incarnation of this process can tell of a shard.

        `is_held`: this incarnation holds its lease, so that it was told of
        each entry.
        """
        current = ShardHistory((), self._known_ms(shard, epoch), is_held)
        return (
            *(each._ended_history(shard, epoch) for each in self._earlier),
            *((current,) * is_held),
        )

    def _ended_history(self, shard: ShardName, epoch: int) -> ShardHistory:
        acting_epoch, lapsed_before = self._acting.get(shard, (0, ()))
        names = lapsed_before if acting_epoch == epoch else ()
        own = (self._name,) if self._name else ()
        return ShardHistory((*own, *names), self._known_ms(shard, epoch), False)

    def _known_ms(self, shard: ShardName, epoch: int) -> int:
        if self._complete_epochs.get(shard, 0) >= epoch:
            return RETENTION_MS
        gap = self._gaps.get(shard)
        if gap is None or gap.epoch < epoch:
            return -1
        return min(self._clock.now_ms() - gap.since_ms, RETENTION_MS)

    def _follow_gap(self, shard: ShardName, epoch: int) -> _Gap:
        """Return the gap of a shard; it is new if a record was missed."""
        known = self._gaps.get(shard)
        is_followed = known is not None and known.epoch >= epoch - 1
        since_ms = (
            known.since_ms if known and is_followed else self._clock.now_ms()
        )
        self._gaps[shard] = _Gap(epoch, since_ms)
        return self._gaps[shard]

    def _find(self, shard: ShardName, key: str) -> _Entry | None:
        entry = self._table.shards.get(shard, {}).get(key)
        if entry is None or not self._is_expired(entry):
            return entry
        self.remove(shard, key)
        return None

    def _has_room(self) -> bool:
        if self._table.count >= MAX_ENTRIES:
            for shard in tuple(self._table.shards):
                self._evict_expired(shard)
        return self._table.count < MAX_ENTRIES

    def _evict_expired(self, shard: ShardName) -> None:
        entries = self._table.shards.get(shard, {})
        expired_keys = [
            key for key, entry in entries.items() if self._is_expired(entry)
        ]
        for key in expired_keys:
            self.remove(shard, key)

    def _is_expired(self, entry: _Entry) -> bool:
        age_ms = self._clock.now_ms() - entry.recorded_ms
        return age_ms >= RETENTION_MS and not entry.is_running

    def _merge_entry(self, shard: ShardName, message: LedgerEntry) -> None:
        self._table.latest_attempt = max(
            self._table.latest_attempt, message.attempt
        )
        known = self._table.shards.get(shard, {}).get(message.key)
        state = RunState[message.state]
        if known is not None and (known.attempt, known.state) > (
            message.attempt,
            state,
        ):
            return
        if state is RunState.FORGOTTEN:
            self.remove(shard, message.key)
            return
        recorded_ms = self._clock.now_ms() - message.age_ms
        entry = _Entry(
            message.fingerprint,
            message.attempt,
            state,
            recorded_ms,
            message.head,
            message.body,
        )
        self._table.put(shard, message.key, entry)

    def _to_message(self, key: str, entry: _Entry) -> LedgerEntry:
        return LedgerEntry(
            key,
            entry.fingerprint,
            entry.attempt,
            entry.state.name,
            self._clock.now_ms() - entry.recorded_ms,
            entry.head,
            entry.body,
        )


def _decide(entry: _Entry, fingerprint: str) -> LedgerDecision:
    if entry.fingerprint != fingerprint:
        return LedgerDecision.MISMATCH
    if entry.is_running:
        return LedgerDecision.RUNNING
    if entry.state is RunState.ANSWERED:
        return LedgerDecision.ANSWERED
    return LedgerDecision.RAN
