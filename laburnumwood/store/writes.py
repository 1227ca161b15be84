"""Conditional writes that read back to recover from a lost answer."""

from dataclasses import replace
from typing import TypeVar
from uuid import uuid4

from laburnumwood.errors import (
    PlatformConflictError,
    PlatformNotReachedError,
    PlatformUnavailableError,
)
from laburnumwood.records import (
    ConfigRecord,
    NodeRecord,
    ShardRecord,
    StoredObject,
    WriteMark,
)
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import to_value, written_object

_Record = TypeVar('_Record', ConfigRecord, NodeRecord, ShardRecord)


def new_mark(writer: str) -> WriteMark:
    """Return a unique mark for a write."""
    return WriteMark(writer, uuid4().hex)


def with_new_mark(record: _Record, writer: str) -> _Record:
    """Return a copy of a record with a unique mark."""
    return replace(record, mark=new_mark(writer))


def _put(
    store: Store, name: str, record: _Record, condition: int | None
) -> StoredObject:
    stamped = _with_era(record, store.era)
    value = to_value(stamped)
    if condition is None:
        return written_object(name, value, store.create(name, value))
    written = store.update(name, value, condition)
    return written_object(name, value, written)


def _with_era(record: _Record, era: int) -> _Record:
    if isinstance(record, ConfigRecord):
        return record
    return replace(record, era=era)


def confirm_write(store: Store, name: str, record: _Record) -> StoredObject:
    """Read a marked record back and return the object that was written.

    Raises `PlatformConflictError` if the store holds another value, and
    `PlatformUnavailableError` if it does not answer.  Call it only when the
    write itself can no longer be in transit, or retry the write afterwards.
    """
    try:
        stored = store.get(name)
    except PlatformNotReachedError as failure:
        # The read had no effect; the write may have had one.
        raise PlatformUnavailableError(name) from failure
    if stored is None or stored.value is None:
        raise PlatformConflictError(name)
    if stored.value.get('mark') != to_value(record)['mark']:
        raise PlatformConflictError(name)
    return stored


def write(
    store: Store, name: str, record: _Record, condition: int | None
) -> StoredObject:
    """Replace a version of an object by a marked record (None: create it).

    Returns the new object, whose record names the era of the store.  Raises
    `PlatformConflictError` if another write came first, and
    `PlatformUnavailableError` if the outcome is unknown: call again with the
    same record until it is known.  The subclass `PlatformNotReachedError`
    means that this call has written nothing.
    """
    try:
        return _put(store, name, record, condition)
    except PlatformConflictError:
        return confirm_write(store, name, record)
    except PlatformUnavailableError as failure:
        return _put_again(store, name, record, condition, failure)


def _put_again(
    store: Store,
    name: str,
    record: _Record,
    condition: int | None,
    first: PlatformUnavailableError,
) -> StoredObject:
    # Writing again also decides the first write: both have the same mark and
    # expect the same version, so at most one of them can take effect.
    try:
        return _put(store, name, record, condition)
    except PlatformConflictError:
        return confirm_write(store, name, record)
    except PlatformNotReachedError:
        raise first from None
