"""The records that a node remembers and the store has forgotten."""

from collections.abc import Callable, Iterable, Iterator

from laburnumwood.errors import PlatformConflictError
from laburnumwood.events import RECORD_WRITTEN_BACK
from laburnumwood.membership.cached_store import CachedStore
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.store_messages import RenewedHolder
from laburnumwood.records import NodeRecord, ShardRecord, StoredObject
from laburnumwood.store.objects import NODE_PREFIX, SHARD_PREFIX, to_record
from laburnumwood.store.versions import era_of
from laburnumwood.store.writes import write

_PREFIXES = (NODE_PREFIX, SHARD_PREFIX)


class ForgottenRecords:
    """Finds and writes back the records that the store has forgotten.

    Its methods raise `PlatformError` if the store does not answer.
    """

    def __init__(self, view: FleetView, store: CachedStore) -> None:
        self._view = view
        self._store = store

    def write_back(
        self, era: int, is_responsible: Callable[[StoredObject], bool]
    ) -> bool:
        """Write back the records that this node is responsible for.

        Return whether the store has now, in `era`, all records that are known
        here.  Does nothing once a later era has begun.
        """
        scope = self._store.scopes[0]
        objects, version = self._store.list(scope)
        if era_of(version) != era:
            return False
        self._view.directory.apply_listing(objects, version, scope)
        for forgotten in tuple(self.find()):
            if is_responsible(forgotten):
                self._write_back(forgotten)
        return not any(self.find())

    def find(self) -> Iterator[StoredObject]:
        """Yield the records that are known here and that the store lacks."""
        directory = self._view.directory
        for name in sorted(directory.forgotten):
            stored = directory.stored_object(name)
            if stored is not None and name.startswith(_PREFIXES):
                yield stored

    def are_recorded(self, renewed: Iterable[RenewedHolder]) -> bool:
        """Return whether holders are on record as their witness knows them.

        One that is not may hold its lease although no record tells of it.
        """
        return all(map(self._is_recorded, renewed))

    def _is_recorded(self, renewed: RenewedHolder) -> bool:
        holder = renewed.holder
        entry = self._view.directory.nodes.get(holder.node_id)
        if entry is None or entry.record.incarnation < holder.incarnation:
            return False
        if entry.record.incarnation > holder.incarnation:
            return True
        # A witness may still know sets that are no longer in use.
        recorded = (each.version for each in entry.record.witness_sets)
        return renewed.last_set <= max(recorded, default=0)

    def _write_back(self, forgotten: StoredObject) -> None:
        condition = forgotten.write_condition
        try:
            self._write(forgotten, condition)
        except PlatformConflictError:
            return  # the next list shows what another node has written
        RECORD_WRITTEN_BACK.report(object=forgotten.name, over=condition)

    def _write(self, forgotten: StoredObject, condition: int) -> None:
        name = forgotten.name
        if name.startswith(SHARD_PREFIX):
            shard_record = to_record(ShardRecord, forgotten)
            write(self._store, name, shard_record, condition)
        else:
            node_record = to_record(NodeRecord, forgotten)
            write(self._store, name, node_record, condition)
