"""Conditional writes whose lost answers are settled by reading back."""

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
    WriteMark,
)
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import to_value

_Record = TypeVar('_Record', ConfigRecord, NodeRecord, ShardRecord)


def new_mark(writer: str) -> WriteMark:
    """Return a mark that no other write carries."""
    return WriteMark(writer, uuid4().hex)


def marked(record: _Record, writer: str) -> _Record:
    """Return the record with a mark that no other write carries."""
    return replace(record, mark=new_mark(writer))


def _put(
    platform: Store, name: str, record: _Record, version: int | None
) -> int:
    if version is None:
        return platform.create(name, to_value(record))
    return platform.update(name, to_value(record), version)


def confirm_write(platform: Store, name: str, record: _Record) -> int:
    """Return the version under which a marked record was written.

    Raises `PlatformConflictError` if the store holds anything else, and
    `PlatformUnavailableError` if it can't be asked.  Call it only when the
    write itself can no longer be on its way, or retry the write afterwards.
    """
    try:
        stored = platform.get(name)
    except PlatformNotReachedError as failure:
        # It is the question that did nothing, not the write.
        raise PlatformUnavailableError(name) from failure
    if stored is None or stored.value is None:
        raise PlatformConflictError(name)
    if stored.value.get('mark') != to_value(record)['mark']:
        raise PlatformConflictError(name)
    return stored.version


def write(
    platform: Store, name: str, record: _Record, version: int | None
) -> int:
    """Write a marked record over a version (None: create it).

    Returns the new version.  Raises `PlatformConflictError` if another write
    came first, and `PlatformUnavailableError` if the outcome is not known:
    then call again with the same record, until it is.  Its kind
    `PlatformNotReachedError` says that this call has written nothing.
    """
    try:
        return _put(platform, name, record, version)
    except PlatformConflictError:
        return confirm_write(platform, name, record)
    except PlatformUnavailableError as failure:
        return _put_again(platform, name, record, version, failure)


def _put_again(
    platform: Store,
    name: str,
    record: _Record,
    version: int | None,
    first: PlatformUnavailableError,
) -> int:
    # Writing again settles the first write too: both carry one mark and ask
    # for one version, so at most one of them can take effect.
    try:
        return _put(platform, name, record, version)
    except PlatformConflictError:
        return confirm_write(platform, name, record)
    except PlatformNotReachedError:
        raise first from None
