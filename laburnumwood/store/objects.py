"""Names of the objects in the store, and their conversion to records."""

from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError

from laburnumwood.errors import RecordError
from laburnumwood.records import (
    AuditRecord,
    ConfigRecord,
    NodeRecord,
    ShardName,
    ShardRecord,
    StoredObject,
)
from laburnumwood.store.versions import era_of, make_version, revision_of

CONFIG_NAME = 'config'
NODE_PREFIX = 'nodes/'
SHARD_PREFIX = 'shards/'
AUDIT_PREFIX = 'audit/'
EVACUATION_PREFIX = 'evacuations/'  # written by operators
# Of configurations and nodes, left out where they are empty.
_ADDED_FIELDS = ('added_files', 'optional_files', 'worker_departures')

_Record = TypeVar('_Record', AuditRecord, ConfigRecord, NodeRecord, ShardRecord)
_ADAPTERS: dict[type[Any], TypeAdapter[Any]] = {}  # created at first use


def _adapter(record_type: type[Any]) -> TypeAdapter[Any]:
    if record_type not in _ADAPTERS:
        _ADAPTERS[record_type] = TypeAdapter(record_type)
    return _ADAPTERS[record_type]


def node_object_name(node_id: str) -> str:
    """Return the name of the object of a node."""
    return f'{NODE_PREFIX}{node_id}'


def shard_object_name(shard: ShardName) -> str:
    """Return the name of the object of a shard."""
    return f'{SHARD_PREFIX}{shard}'


def audit_object_name(generation: int) -> str:
    """Return the name of the audit object of a generation."""
    return f'{AUDIT_PREFIX}{generation}'


def written_object(
    name: str, value: dict[str, Any], written: int
) -> StoredObject:
    """Return an object that a write has stored under a version.

    A record names the era that it was written for; the store may have begun
    another one meanwhile.
    """
    era = value.get('era') or era_of(written)
    return StoredObject(
        name, value, make_version(era, revision_of(written)), written
    )


def to_value(
    record: AuditRecord | ConfigRecord | NodeRecord | ShardRecord,
) -> dict[str, Any]:
    """Return the value that the store keeps for a record."""
    value: dict[str, Any] = _adapter(type(record)).dump_python(
        record, mode='json'
    )
    for name in _ADDED_FIELDS:
        if not value.get(name, True):
            value.pop(name)  # the form that earlier versions wrote
    return value


def to_record(record_type: type[_Record], stored: StoredObject) -> _Record:
    """Return the record in an object.

    Raises `RecordError` if the value does not match the schema of the record.
    """
    try:
        record: _Record = _adapter(record_type).validate_python(stored.value)
    except ValidationError as error:
        raise RecordError(f'{stored.name}: {error}') from error
    return record
