"""Writes of accepted configurations to the store."""

import time
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.config.audit import files_of_generation, write_missing_entry
from laburnumwood.config.files import FileContent, Files, digest
from laburnumwood.config.merge import MergedConfig, merge_files
from laburnumwood.config.references import join_path
from laburnumwood.errors import (
    ConcurrentChangeError,
    DeclarationError,
    PlatformConflictError,
    PlatformError,
    PlatformUnavailableError,
)
from laburnumwood.records import ConfigRecord
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import CONFIG_NAME, to_record
from laburnumwood.store.writes import with_new_mark, write

_MAX_WRITE_ATTEMPTS = 5
_WRITE_RETRY_DELAY_MS = 300


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change of the configuration that an operator proposes.

    `files` maps names to the new contents of files, or to None for files to
    be removed; other files stay as they are.  `who` is the operator.  `seen`
    maps names to the digests of the accepted files on which the proposal is
    based; a file that is not in it did not exist then.
    """

    files: Mapping[str, FileContent | None]
    who: str
    seen: Mapping[str, str] = field(default_factory=dict)
    reason: str = ''


def read_accepted(store: Store) -> tuple[ConfigRecord, int | None]:
    """Return the accepted configuration and the version of its object.

    If there is none yet, the generation is 0 and the version None.
    """
    stored = store.get(CONFIG_NAME)
    if stored is None:
        return ConfigRecord(0), None
    return to_record(ConfigRecord, stored), stored.version


def _changed_by_others(
    proposal: Proposal, accepted: ConfigRecord
) -> tuple[str, ...]:
    """Return the proposed files that others changed since they were seen."""
    changed = []
    for name, proposed in sorted(proposal.files.items()):
        accepted_content = accepted.files.get(name)
        accepted_digest = (
            None if accepted_content is None else digest(accepted_content)
        )
        if (
            proposed != accepted_content
            and proposal.seen.get(name) != accepted_digest
        ):
            changed.append(name)
    return tuple(changed)


def _apply_proposal(
    files: Files, proposed: Mapping[str, FileContent | None]
) -> Files:
    merged: dict[str, FileContent | None] = {**files, **proposed}
    return {
        name: content for name, content in merged.items() if content is not None
    }


def validate_successor(files: Files, accepted: ConfigRecord) -> MergedConfig:
    """Check the files of the next generation and return them merged.

    The number of shards of a service must not change: it would give most
    keys another owner at once.  Raises `DeclarationError` with a line for
    each error.
    """
    merged = merge_files(files)
    if not accepted.files:
        return merged
    errors = []
    services_before = merge_files(accepted.files).declarations.services
    for name, service in merged.declarations.services.items():
        before = services_before.get(name)
        if before and before.shards and before.shards != service.shards:
            path = ('services', name, 'shards')
            errors.append(
                f'{merged.origin(path)}: {join_path(path)}: '
                f'found {service.shards}; '
                f'allowed: {before.shards}, for another number would give '
                'most keys another owner at once; declare a new service and '
                'move its callers over'
            )
    if errors:
        raise DeclarationError('\n'.join(errors))
    return merged


class ConfigAcceptance:
    """Accepts changes of the configuration by conditional writes.

    Each change writes the whole configuration as one object, expecting the
    version that was read.  An entry of the audit trail follows it.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def propose(self, proposal: Proposal) -> ConfigRecord:
        """Accept a proposal as the next generation and return its record.

        Returns the accepted record if the proposal changes nothing.  When
        operators change different files at the same time, both changes are
        accepted.  Raises `DeclarationError` if the result is not valid,
        `ConcurrentChangeError` if another operator has changed a file of the
        proposal, and `PlatformError` if the platform does not answer.
        """
        record = None
        while record is None:
            with suppress(PlatformConflictError):
                record = self._propose_once(proposal)
        return record

    def roll_back(self, generation: int, who: str) -> ConfigRecord:
        """Accept the files of an older generation as the next one.

        Raises `DeclarationError` if that generation does not exist, and what
        `propose` raises.
        """
        accepted, _ = read_accepted(self._store)
        older = files_of_generation(self._store, accepted, generation)
        removed: dict[str, FileContent | None] = dict.fromkeys(accepted.files)
        return self.propose(
            Proposal(
                files={**removed, **older},
                who=who,
                seen={
                    name: digest(content)
                    for name, content in accepted.files.items()
                },
                reason=f'rollback to generation {generation}',
            )
        )

    def _propose_once(self, proposal: Proposal) -> ConfigRecord:
        accepted, version = read_accepted(self._store)
        changed = _changed_by_others(proposal, accepted)
        if changed:
            raise ConcurrentChangeError(changed)
        files = _apply_proposal(accepted.files, proposal.files)
        validate_successor(files, accepted)
        if files == accepted.files:
            return accepted
        record = self._next_record(proposal, files, accepted, version)
        return self._accept(record, accepted, version)

    def _next_record(
        self,
        proposal: Proposal,
        files: Files,
        accepted: ConfigRecord,
        version: int | None,
    ) -> ConfigRecord:
        names = {*files, *accepted.files}
        changed_names = [
            name
            for name in names
            if files.get(name) != accepted.files.get(name)
        ]
        record = ConfigRecord(
            generation=accepted.generation + 1,
            files=files,
            who=proposal.who,
            when_ms=self._clock.wall_ms(),
            replaced={name: accepted.files.get(name) for name in changed_names},
            from_version=version,
            reason=proposal.reason,
        )
        return with_new_mark(record, proposal.who)

    def _accept(
        self, record: ConfigRecord, accepted: ConfigRecord, version: int | None
    ) -> ConfigRecord:
        if accepted.generation:
            # Once the record is replaced, a missing audit entry of it can no
            # longer be written.
            write_missing_entry(self._store, accepted)
        self._write_until_known(record, version)
        try:
            write_missing_entry(self._store, record)
        except PlatformError:
            # The configuration is accepted; the next reader of the audit
            # trail or the next change writes the entry.
            return record
        return record

    def _write_until_known(
        self, record: ConfigRecord, version: int | None
    ) -> None:
        for _ in range(_MAX_WRITE_ATTEMPTS):
            try:
                write(self._store, CONFIG_NAME, record, version)
            except PlatformUnavailableError:
                time.sleep(_WRITE_RETRY_DELAY_MS / MS_PER_SECOND)
            else:
                return
        raise PlatformUnavailableError(
            f'whether generation {record.generation} was accepted is not known'
        )


def replace_configuration(
    store: Store, files: dict[str, dict[str, Any]], who: str, clock: Clock
) -> ConfigRecord:
    """Accept files as the whole configuration; all others are removed.

    Raises what `ConfigAcceptance.propose` raises.
    """
    accepted, _ = read_accepted(store)
    seen = {name: digest(content) for name, content in accepted.files.items()}
    removed: dict[str, FileContent | None] = dict.fromkeys(accepted.files)
    proposal = Proposal({**removed, **files}, who, seen)
    return ConfigAcceptance(store, clock).propose(proposal)
