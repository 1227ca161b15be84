"""The audit trail of accepted configurations."""

from collections.abc import Iterator, Mapping

from laburnumwood.config.files import FileContent, Files
from laburnumwood.errors import DeclarationError, PlatformConflictError
from laburnumwood.records import AuditRecord, ConfigRecord, FileChange
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import (
    CONFIG_NAME,
    audit_object_name,
    to_record,
    to_value,
)


def audit_entry(record: ConfigRecord) -> AuditRecord:
    """Return the audit entry of an accepted configuration."""
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
    """Write the audit entry of a configuration unless it exists.

    Raises `PlatformError` if the platform does not answer.
    """
    name = audit_object_name(record.generation)
    try:
        store.create(name, to_value(audit_entry(record)))
    except PlatformConflictError:
        return  # The entry exists; audit entries never change.


def read_audit_trail(store: Store) -> Iterator[AuditRecord]:
    """Yield the entries of the audit trail, newest first.

    Writes the newest entry if it is missing because its writer failed
    between accepting the configuration and writing the entry.  Raises
    `PlatformError` if the platform does not answer.
    """
    stored = store.get(CONFIG_NAME)
    if stored is None:
        return
    record = to_record(ConfigRecord, stored)
    for generation in range(record.generation, 0, -1):
        stored_entry = store.get(audit_object_name(generation))
        if stored_entry is not None:
            yield to_record(AuditRecord, stored_entry)
        elif generation == record.generation:
            write_missing_entry(store, record)
            yield audit_entry(record)


def revert_changes(files: Files, changes: Mapping[str, FileChange]) -> Files:
    """Return the files as they were before the changes."""
    reverted = {name: change.before for name, change in changes.items()}
    before: dict[str, FileContent | None] = {**files, **reverted}
    return {
        name: content for name, content in before.items() if content is not None
    }


def files_of_generation(
    store: Store, accepted: ConfigRecord, generation: int
) -> Files:
    """Return the files of a generation up to the accepted one.

    They are computed by reverting the changes of all later audit entries.
    Raises `DeclarationError` if the generation or a needed entry does not
    exist, and `PlatformError` if the platform does not answer.
    """
    if not 0 < generation <= accepted.generation:
        raise DeclarationError(
            f'generation {generation} is not known; the newest is '
            f'{accepted.generation}, see "laburnumwood history"'
        )
    files = dict(accepted.files)
    for number in range(accepted.generation, generation, -1):
        stored = store.get(audit_object_name(number))
        if stored is None and number != accepted.generation:
            raise DeclarationError(f'generation {number}: no audit entry')
        entry = (
            to_record(AuditRecord, stored) if stored else audit_entry(accepted)
        )
        files = revert_changes(files, entry.changes)
    return files
