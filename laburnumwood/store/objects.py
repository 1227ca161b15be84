"""Names and forms of the objects that the system keeps in the store."""

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

CONFIG = 'config'
NODES = 'nodes/'
SHARDS = 'shards/'
AUDIT = 'audit/'

_Record = TypeVar('_Record', AuditRecord, ConfigRecord, NodeRecord, ShardRecord)
_ADAPTERS: dict[type[Any], TypeAdapter[Any]] = {}  # made at first use


def _adapter(form: type[Any]) -> TypeAdapter[Any]:
    if form not in _ADAPTERS:
        _ADAPTERS[form] = TypeAdapter(form)
    return _ADAPTERS[form]


def node_object(node_id: str) -> str:
    """Return the name of a node's object."""
    return f'{NODES}{node_id}'


def shard_object(shard: ShardName) -> str:
    """Return the name of a shard's object."""
    return f'{SHARDS}{shard}'


def audit_object(generation: int) -> str:
    """Return the name of the audit trail's object for a generation."""
    return f'{AUDIT}{generation}'


def to_value(
    record: AuditRecord | ConfigRecord | NodeRecord | ShardRecord,
) -> dict[str, Any]:
    """Return what the store keeps for a record."""
    return _adapter(type(record)).dump_python(record, mode='json')


def to_record(form: type[_Record], stored: StoredObject) -> _Record:
    """Return the record that an object holds.

    Raises `RecordError` if the object has an unknown form.
    """
    try:
        found: _Record = _adapter(form).validate_python(stored.value)
    except ValidationError as invalid:
        raise RecordError(f'{stored.name}: {invalid}') from invalid
    return found
