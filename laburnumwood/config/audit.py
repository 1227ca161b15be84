"""The audit trail of accepted configurations."""

from collections.abc import Iterator, Mapping

from laburnumwood.config.files import FileContent, Files
from laburnumwood.errors import DeclarationError, PlatformConflictError
from laburnumwood.records import AuditRecord, ConfigRecord, FileChange
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import (
    CONFIG,
    audit_object,
    to_record,
    to_value,
)


def audit_entry(record: ConfigRecord) -> AuditRecord:
    """Return the entry of the audit trail for an accepted configuration."""
    changes = {
        name: FileChange(before, record.files.get(name))
        for name, before in sorted(record.replaced.items())
    }
    return AuditRecord(
        generation=record.generation,
        who=record.who,
        when_ms=record.when_ms,
        from_version=record.from_version,
        changes=changes,
        reason=record.reason,
    )


def write_missing_entry(store: Store, record: ConfigRecord) -> None:
    """Write the entry of the newest configuration if it is not there yet.

    Raises `PlatformError` if the platform does not answer.
    """
    name = audit_object(record.generation)
    try:
        store.create(name, to_value(audit_entry(record)))
    except PlatformConflictError:
        return  # it is there, and an entry is never written again


def read_audit_trail(store: Store) -> Iterator[AuditRecord]:
    """Yield the entries of the audit trail, the newest first.

    An entry that its writer left out is completed.  Raises `PlatformError`.
    """
    stored = store.get(CONFIG)
    if stored is None:
        return
    record = to_record(ConfigRecord, stored)
    for generation in range(record.generation, 0, -1):
        found = store.get(audit_object(generation))
        if found is not None:
            yield to_record(AuditRecord, found)
        elif generation == record.generation:
            write_missing_entry(store, record)
            yield audit_entry(record)


def revert_changes(files: Files, changes: Mapping[str, FileChange]) -> Files:
    """Return files as they were before some changes."""
    undone = {name: change.before for name, change in changes.items()}
    before: dict[str, FileContent | None] = {**files, **undone}
    return {
        name: content for name, content in before.items() if content is not None
    }


def files_of_generation(store: Store, accepted: ConfigRecord, generation: int) -> Files:
    """Return the files of an accepted generation.

    Raises `DeclarationError` if there is none such, and `PlatformError`.
    """
    if not 0 < generation <= accepted.generation:
        raise DeclarationError(
            f'generation {generation} is not known; the newest is '
            f'{accepted.generation}, see "laburnumwood history"'
        )
    files = dict(accepted.files)
    for number in range(accepted.generation, generation, -1):
        stored = store.get(audit_object(number))
        if stored is None and number != accepted.generation:
            raise DeclarationError(f'generation {number}: no audit entry')
        entry = to_record(AuditRecord, stored) if stored else audit_entry(accepted)
        files = revert_changes(files, entry.changes)
    return files
