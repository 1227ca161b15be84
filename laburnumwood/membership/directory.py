"""A node's cached copy of the records in the store."""

from collections.abc import Callable, Iterable, Mapping, Set
from dataclasses import dataclass, replace
from typing import Any, Generic, TypeVar

from laburnumwood.clock import Clock
from laburnumwood.config.declarations import Declarations
from laburnumwood.config.merge import merge_record
from laburnumwood.errors import DeclarationError, RecordError
from laburnumwood.events import (
    CONFIG_IN_FORCE,
    CONFIG_REFUSED,
    RECORD_REFUSED,
)
from laburnumwood.membership.configuration.status import (
    FROM_STORE,
    ConfigMonitor,
)
from laburnumwood.membership.object_cache import ObjectCache, is_newer
from laburnumwood.notifier import Notifier
from laburnumwood.records import (
    ConfigRecord,
    NodeName,
    NodeRecord,
    ShardName,
    ShardRecord,
    StoredObject,
)
from laburnumwood.store.objects import (
    CONFIG_NAME,
    NODE_PREFIX,
    SHARD_PREFIX,
    to_record,
)
from laburnumwood.store.versions import era_of

_Record = TypeVar('_Record')


@dataclass(frozen=True, slots=True)
class VersionedRecord(Generic[_Record]):
    """A record, its version, and the condition of a write that replaces it.

    The two differ if the store has come back from an older copy since the
    record was written.
    """

    record: _Record
    version: int
    condition: int


ShardListener = Callable[[ShardName, ShardRecord], None]


def _parse_shard_name(name: str) -> ShardName:
    """Return the shard that an object's name stands for.

    Raises `RecordError` if the name is not of the form `shards/service/n`.
    """
    try:
        return ShardName.parse(name.removeprefix(SHARD_PREFIX))
    except ValueError as unnamed:
        raise RecordError(f'{name}: {unnamed}') from unnamed


def _ignore_shard_change(_shard: ShardName, _record: ShardRecord) -> None:
    """Do nothing: the default listener for changes of shards."""


def _ignore_config_change() -> None:
    """Do nothing: the default listener for configuration changes."""


def _with_recorded_divisions(
    declared: Declarations, divisions: Mapping[str, dict[str, int]]
) -> Declarations:
    """Return declarations with the recorded divisions of their services.

    The division of a service overrides what is declared for it: the number of
    shards and, where recorded, the stripe width.
    """
    services = {
        name: service.model_copy(update=divisions.get(name))
        for name, service in declared.services.items()
    }
    return declared.model_copy(update={'services': services})


class Directory:
    """Caches the newest known records of nodes, shards and configuration.

    An object is replaced only by a newer version of itself, so that stale
    reads and messages out of order do no harm, nor does a store that comes
    back from an older copy: what it has forgotten stays known here.
    `revision` is the version of the store up to which no change is missing,
    and `era` the newest era of the store that is known.  `change_count`
    increases with each applied object, `node_change_count` with each change of
    a node.
    `on_shard_change` is called with each new record of a shard, and
    `on_config_change` when a configuration comes into force.
    `config_monitor` records how the node learned of its configuration.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.config_monitor = ConfigMonitor(clock or Clock())
        self._objects = ObjectCache()
        self._nodes: dict[str, VersionedRecord[NodeRecord]] = {}
        self._shards: dict[str, dict[int, VersionedRecord[ShardRecord]]] = {}
        self._shard_records: dict[str, dict[int, ShardRecord]] = {}
        self._shards_by_listed_node: dict[NodeName, set[ShardName]] = {}
        self._config = ConfigRecord(0)
        self._config_declarations = Declarations()
        self._declarations = self._config_declarations
        self._recorded_divisions: dict[str, dict[str, int]] = {}
        self._era = 0
        self._first_era = 0
        self.revision = 0
        self.change_count = 0
        self.node_change_count = 0
        self.on_shard_change: ShardListener = _ignore_shard_change
        self.on_config_change: Callable[[], None] = _ignore_config_change
        self.changes = Notifier()

    @property
    def config(self) -> ConfigRecord:
        """Return the configuration in force, generation 0 if there is none."""
        return self._config

    @property
    def declarations(self) -> Declarations:
        """Return the declarations of the configuration in force.

        The number of shards of a service is the one that it was divided into,
        and the stripe width the one recorded with it.
        """
        return self._declarations

    @property
    def era(self) -> int:
        """Return the newest era of the store that is known; 0: it has none."""
        return max(self._era, era_of(self.revision))

    @property
    def first_era(self) -> int:
        """Return the first era that was known, 0 if there is none."""
        return self._first_era

    def learn_era(self, era: int) -> None:
        """Record an era of the store."""
        self._first_era = self._first_era or era
        self._era = max(era, self._era)

    @property
    def forgotten(self) -> Set[str]:
        """Return the names of objects that the store has lost or has older."""
        return self._objects.forgotten

    @property
    def nodes(self) -> dict[str, VersionedRecord[NodeRecord]]:
        """Return the records of nodes, with their versions, by node id."""
        return self._nodes

    def stored_object(self, name: str) -> StoredObject | None:
        """Return the newest known version of an object.

        Returns None if the object is not known or was deleted.
        """
        known = self._objects.find(name)
        return known if known is not None and known.value is not None else None

    def node(self, name: NodeName) -> NodeRecord | None:
        """Return the record of a node.

        Returns None if none is known or it is of another incarnation.
        """
        entry = self._nodes.get(name.node_id)
        if entry is None or entry.record.incarnation != name.incarnation:
            return None
        return entry.record

    def shard(self, shard: ShardName) -> VersionedRecord[ShardRecord] | None:
        """Return the record of a shard, None if none is known."""
        return self._shards.get(shard.service, {}).get(shard.number)

    def shards(self, service: str) -> dict[int, VersionedRecord[ShardRecord]]:
        """Return the records of a service's shards, by shard number."""
        return self._shards.get(service, {})

    def shard_records(self, service: str) -> dict[int, ShardRecord]:
        """Return a service's shard records without versions, by number."""
        return self._shard_records.get(service, {})

    def shards_listing(self, name: NodeName) -> tuple[ShardName, ...]:
        """Return the shards whose succession lists a node, sorted by name.

        The node owns these shards or may take them over.
        """
        return tuple(sorted(self._shards_by_listed_node.get(name, ())))

    def listed_nodes(self) -> tuple[NodeName, ...]:
        """Return the nodes that the succession of any shard lists."""
        return tuple(self._shards_by_listed_node)

    def services(self) -> tuple[str, ...]:
        """Return the names of the services that have shards."""
        return tuple(self._shards)

    def apply(self, stored: StoredObject, source: str = FROM_STORE) -> bool:
        """Apply a version of an object; return whether it was newer.

        `source` says who sent it.  An object of unknown form is logged and
        changes nothing.
        """
        self.learn_era(era_of(stored.write_condition))
        known = self._objects.find(stored.name)
        if known is not None and not is_newer(stored, known):
            if self._objects.learn_condition(stored):
                self._update_condition(stored.name)
            return False
        try:
            self._apply_object(stored, source)
        except RecordError as unknown:
            RECORD_REFUSED.report(object=stored.name, reason=unknown)
            return False
        self._objects.put(stored)
        self._update_condition(stored.name)
        self.change_count += 1
        self.changes.notify_all()
        return True

    def apply_listing(
        self, objects: Iterable[StoredObject], version: int, prefix: str
    ) -> None:
        """Apply all objects under a prefix, as the store had them.

        `version` is that of the store.  Objects that are missing were
        forgotten by the store.
        """
        present = set()
        for stored in objects:
            self.apply(stored)
            present.add(stored.name)
        for name in tuple(
            self._objects.missing_names(present, version, prefix)
        ):
            self.mark_absent(name, era_of(version))

    def mark_absent(self, name: str, era: int) -> None:
        """Record that the store does not have an object in an era."""
        if self._objects.mark_absent(name, era):
            self._update_condition(name)

    def versions_since(self, revision: int) -> tuple[int, ...]:
        """Return the versions of known objects after a revision, sorted."""
        return self._objects.versions_since(revision)

    def objects_newer_than(
        self, revision: int, generation: int, known: Iterable[int] = ()
    ) -> tuple[StoredObject, ...]:
        """Return the objects that another node lacks, in order of version.

        The other node knows all changes up to `revision`, the configuration
        `generation` and, beyond `revision`, the versions in `known`.
        """
        missing = self._objects.newer_than(revision, known)
        config = self._objects.find(CONFIG_NAME)
        if self._config.generation <= generation or config is None:
            return missing
        return (config, *missing)

    def _update_condition(self, name: str) -> None:
        """Repeat the condition of an object in the entry of its record."""
        stored = self._objects.find(name)
        if stored is None or stored.value is None:
            return
        condition = stored.write_condition
        if name.startswith(NODE_PREFIX):
            entries: dict[Any, Any] = self._nodes
            key: Any = name.removeprefix(NODE_PREFIX)
        elif name.startswith(SHARD_PREFIX):
            shard = _parse_shard_name(name)
            entries, key = self._shards.get(shard.service, {}), shard.number
        else:
            return
        if key in entries and entries[key].condition != condition:
            entries[key] = replace(entries[key], condition=condition)

    def _apply_object(self, stored: StoredObject, source: str) -> None:
        if stored.name == CONFIG_NAME:
            self._apply_config(stored, source)
        elif stored.name.startswith(NODE_PREFIX):
            self._apply_node(stored)
        elif stored.name.startswith(SHARD_PREFIX):
            self._apply_shard(stored)

    def _apply_config(self, stored: StoredObject, source: str) -> None:
        record = to_record(ConfigRecord, stored)
        if record.generation <= self._config.generation:
            return
        try:
            declared = merge_record(record)
        except DeclarationError as invalid:
            CONFIG_REFUSED.report(generation=record.generation, reason=invalid)
            return
        self._config = record
        self._config_declarations = declared
        self._declarations = _with_recorded_divisions(
            declared, self._recorded_divisions
        )
        self.config_monitor.record_in_force(
            record.generation, stored.version, source
        )
        CONFIG_IN_FORCE.report(
            generation=record.generation,
            who=record.who,
            version=stored.version,
            source=source,
        )
        self.on_config_change()

    def _apply_node(self, stored: StoredObject) -> None:
        node_id = stored.name.removeprefix(NODE_PREFIX)
        self.node_change_count += 1
        if stored.value is None:
            self._nodes.pop(node_id, None)
            return
        record = to_record(NodeRecord, stored)
        self._nodes[node_id] = VersionedRecord(
            record, stored.version, stored.write_condition
        )

    def _apply_shard(self, stored: StoredObject) -> None:
        shard = _parse_shard_name(stored.name)
        known = self._shards.setdefault(shard.service, {})
        records = self._shard_records.setdefault(shard.service, {})
        if stored.value is None:
            known.pop(shard.number, None)
            self._index_succession(shard, records.pop(shard.number, None), None)
            return
        record = to_record(ShardRecord, stored)
        self._index_succession(shard, records.get(shard.number), record)
        known[shard.number] = VersionedRecord(
            record, stored.version, stored.write_condition
        )
        records[shard.number] = record
        self._record_division(shard.service, record)
        self.on_shard_change(shard, record)

    def _record_division(self, service: str, record: ShardRecord) -> None:
        if not record.shards:
            return
        division = {'shards': record.shards}
        if record.stripe_width:
            division['stripe_width'] = record.stripe_width
        if self._recorded_divisions.get(service) != division:
            self._recorded_divisions[service] = division
            self._declarations = _with_recorded_divisions(
                self._config_declarations, self._recorded_divisions
            )

    def _index_succession(
        self,
        shard: ShardName,
        before: ShardRecord | None,
        after: ShardRecord | None,
    ) -> None:
        for name in before.succession if before else ():
            self._shards_by_listed_node[name].discard(shard)
            if not self._shards_by_listed_node[name]:
                self._shards_by_listed_node.pop(name)
        for name in after.succession if after else ():
            self._shards_by_listed_node.setdefault(name, set()).add(shard)
