"""What a node knows of the store."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from sortedcontainers import SortedDict

from laburnumwood.config.declarations import Declarations
from laburnumwood.config.merge import merge
from laburnumwood.errors import DeclarationError, RecordError
from laburnumwood.events import (
    CONFIG_IN_FORCE,
    CONFIG_REFUSED,
    RECORD_REFUSED,
)
from laburnumwood.news import News
from laburnumwood.records import (
    ConfigRecord,
    NodeName,
    NodeRecord,
    ShardName,
    ShardRecord,
    StoredObject,
)
from laburnumwood.store.objects import CONFIG, NODES, SHARDS, to_record

_Record = TypeVar('_Record')


@dataclass(frozen=True, slots=True)
class VersionedRecord(Generic[_Record]):
    """A record and the version of the store that holds it."""

    record: _Record
    version: int


ShardListener = Callable[[ShardName, ShardRecord], None]


def _shard_of(name: str) -> ShardName:
    """Return the shard that an object is about; raises `RecordError`."""
    try:
        return ShardName.parse(name.removeprefix(SHARDS))
    except ValueError as unnamed:
        raise RecordError(f'{name}: {unnamed}') from unnamed


def _ignore(_shard: ShardName, _record: ShardRecord) -> None:
    """Do nothing with a change."""


def _do_nothing() -> None:
    """Do nothing with a new configuration."""


def _with_planned(
    declared: Declarations, planned: Mapping[str, dict[str, int]]
) -> Declarations:
    """Return declarations with the divisions that were planned."""
    services = {
        name: service.model_copy(update=planned.get(name))
        for name, service in declared.services.items()
    }
    return declared.model_copy(update={'services': services})


class Directory:
    """The newest records known of nodes, shards and configuration.

    An object is replaced only by a newer version of itself, so that stale
    reads and messages out of order do no harm.  `revision` is the revision of
    the store up to which nothing is missing, `changes` is another number after
    each change, `node_changes` after each change of a node.
    """

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._by_version: SortedDict[int, str] = SortedDict()
        self._nodes: dict[str, VersionedRecord[NodeRecord]] = {}
        self._shards: dict[str, dict[int, VersionedRecord[ShardRecord]]] = {}
        self._records: dict[str, dict[int, ShardRecord]] = {}
        self._named: dict[NodeName, set[ShardName]] = {}
        self._config = ConfigRecord(0)
        self._declared = Declarations()
        self._declarations = self._declared
        self._planned: dict[str, dict[str, int]] = {}
        self.revision = 0
        self.change_count = 0
        self.node_change_count = 0
        self.on_shard_change: ShardListener = _ignore
        self.on_config_change: Callable[[], None] = _do_nothing
        self.news = News()

    @property
    def config(self) -> ConfigRecord:
        """Return the configuration in force."""
        return self._config

    @property
    def declarations(self) -> Declarations:
        """Return what the configuration in force declares.

        Services have the number of shards that they were divided into, and
        the width of stripes that came with it.
        """
        return self._declarations

    @property
    def nodes(self) -> dict[str, VersionedRecord[NodeRecord]]:
        """Return the records of nodes by their ids."""
        return self._nodes

    def stored_object(self, name: str) -> StoredObject | None:
        """Return the newest version known of an object, None if unknown."""
        known = self._objects.get(name)
        return known if known is not None and known.value is not None else None

    def node(self, name: NodeName) -> NodeRecord | None:
        """Return the record of a node if it is of that incarnation."""
        entry = self._nodes.get(name.node_id)
        if entry is None or entry.record.incarnation != name.incarnation:
            return None
        return entry.record

    def shard(self, shard: ShardName) -> VersionedRecord[ShardRecord] | None:
        """Return the record of a shard."""
        return self._shards.get(shard.service, {}).get(shard.number)

    def shards(self, service: str) -> dict[int, VersionedRecord[ShardRecord]]:
        """Return the records of a service's shards by their numbers."""
        return self._shards.get(service, {})

    def shard_records(self, service: str) -> dict[int, ShardRecord]:
        """Return the records of a service's shards without their versions."""
        return self._records.get(service, {})

    def shards_listing(self, name: NodeName) -> tuple[ShardName, ...]:
        """Return the shards that a node owns or may follow in, in order."""
        return tuple(sorted(self._named.get(name, ())))

    def listed_nodes(self) -> tuple[NodeName, ...]:
        """Return the nodes that own shards or may follow in any."""
        return tuple(self._named)

    def services(self) -> tuple[str, ...]:
        """Return the services that have shards."""
        return tuple(self._shards)

    def apply(self, stored: StoredObject) -> bool:
        """Take in an object; tell whether it was news."""
        known = self._objects.get(stored.name)
        if known is not None and known.version >= stored.version:
            return False
        try:
            self._take(stored)
        except RecordError as unknown:
            RECORD_REFUSED.report(object=stored.name, reason=unknown)
            return False
        if known is not None:
            self._by_version.pop(known.version, None)
        self._objects[stored.name] = stored
        self._by_version[stored.version] = stored.name
        self.change_count += 1
        self.news.tell()
        return True

    def versions_since(self, revision: int) -> tuple[int, ...]:
        """Return the versions of objects after a revision, in order."""
        versions = self._by_version.irange(revision, inclusive=(False, True))
        return tuple(versions)

    def objects_newer_than(
        self, revision: int, generation: int, known: Iterable[int] = ()
    ) -> tuple[StoredObject, ...]:
        """Return the objects that a node with so much news misses.

        They are in the order of their writes; `known` are versions that it
        has besides.
        """
        has = frozenset(known)
        missing = tuple(
            self._objects[self._by_version[version]]
            for version in self.versions_since(revision)
            if version not in has
        )
        if self._config.generation <= generation or CONFIG not in self._objects:
            return missing
        return (self._objects[CONFIG], *missing)

    def _take(self, stored: StoredObject) -> None:
        if stored.name == CONFIG:
            self._take_config(to_record(ConfigRecord, stored))
        elif stored.name.startswith(NODES):
            self._take_node(stored)
        elif stored.name.startswith(SHARDS):
            self._take_shard(stored)

    def _take_config(self, record: ConfigRecord) -> None:
        if record.generation <= self._config.generation:
            return
        try:
            declared = merge(record.files)
        except DeclarationError as invalid:
            CONFIG_REFUSED.report(generation=record.generation, reason=invalid)
            return
        self._config = record
        self._declared = declared
        self._declarations = _with_planned(declared, self._planned)
        CONFIG_IN_FORCE.report(generation=record.generation, who=record.who)
        self.on_config_change()

    def _take_node(self, stored: StoredObject) -> None:
        node_id = stored.name.removeprefix(NODES)
        self.node_change_count += 1
        if stored.value is None:
            self._nodes.pop(node_id, None)
            return
        record = to_record(NodeRecord, stored)
        self._nodes[node_id] = VersionedRecord(record, stored.version)

    def _take_shard(self, stored: StoredObject) -> None:
        shard = _shard_of(stored.name)
        known = self._shards.setdefault(shard.service, {})
        records = self._records.setdefault(shard.service, {})
        if stored.value is None:
            known.pop(shard.number, None)
            self._note_named(shard, records.pop(shard.number, None), None)
            return
        record = to_record(ShardRecord, stored)
        self._note_named(shard, records.get(shard.number), record)
        known[shard.number] = VersionedRecord(record, stored.version)
        records[shard.number] = record
        self._note_planned(shard.service, record)
        self.on_shard_change(shard, record)

    def _note_planned(self, service: str, record: ShardRecord) -> None:
        if not record.shards:
            return
        planned = {'shards': record.shards}
        if record.stripe_width:
            planned['stripe_width'] = record.stripe_width
        if self._planned.get(service) != planned:
            self._planned[service] = planned
            self._declarations = _with_planned(self._declared, self._planned)

    def _note_named(
        self,
        shard: ShardName,
        before: ShardRecord | None,
        after: ShardRecord | None,
    ) -> None:
        for name in before.succession if before else ():
            self._named[name].discard(shard)
            if not self._named[name]:
                self._named.pop(name)
        for name in after.succession if after else ():
            self._named.setdefault(name, set()).add(shard)
