"""Acceptance of configurations into the store."""

import time
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.config.audit import write_missing_entry, files_of_generation
from laburnumwood.config.files import FileContent, Files, digest
from laburnumwood.config.merge import MergedConfig, merge_files
from laburnumwood.errors import (
    ConcurrentChangeError,
    DeclarationError,
    PlatformConflictError,
    PlatformError,
    PlatformUnavailableError,
)
from laburnumwood.records import ConfigRecord
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import CONFIG, to_record
from laburnumwood.store.writes import marked, write

_MAX_WRITE_ATTEMPTS = 5
_WRITE_RETRY_DELAY_MS = 300


@dataclass(frozen=True, slots=True)
class Proposal:
    """Files to be set, or removed (None), by an operator.

    `seen` holds the digest of each accepted file as the operator last saw
    it; a file that is not in it was not there.
    """

    files: Mapping[str, FileContent | None]
    who: str
    seen: Mapping[str, str] = field(default_factory=dict)
    reason: str = ''


def read_accepted(store: Store) -> tuple[ConfigRecord, int | None]:
    """Return the accepted configuration and its version (None: none yet)."""
    stored = store.get(CONFIG)
    if stored is None:
        return ConfigRecord(0), None
    return to_record(ConfigRecord, stored), stored.version


def _changed_by_others(proposal: Proposal, accepted: ConfigRecord) -> tuple[str, ...]:
    """Return the files that someone else changed since they were seen."""
    changed = []
    for name, wanted in sorted(proposal.files.items()):
        accepted_content = accepted.files.get(name)
        known = None if accepted_content is None else digest(accepted_content)
        if wanted != accepted_content and proposal.seen.get(name) != known:
            changed.append(name)
    return tuple(changed)


def _apply_proposal(files: Files, wanted: Mapping[str, FileContent | None]) -> Files:
    merged: dict[str, FileContent | None] = {**files, **wanted}
    return {
        name: content for name, content in merged.items() if content is not None
    }


def validate_successor(files: Files, accepted: ConfigRecord) -> MergedConfig:
    """Return the merged files; raises `DeclarationError` for every fault.

    The number of shards of a service never changes while it has any.
    """
    merged = merge_files(files)
    if not accepted.files:
        return merged
    lines = []
    before = merge_files(accepted.files).declarations.services
    for name, service in merged.declarations.services.items():
        known = before.get(name)
        if known and known.shards and known.shards != service.shards:
            path = f'services.{name}.shards'
            lines.append(
                f'{merged.origin(path)}: {path}: found {service.shards}; '
                f'allowed: {known.shards}, for another number would give '
                'most keys another owner at once; declare a new service and '
                'move its callers over'
            )
    if lines:
        raise DeclarationError('\n'.join(lines))
    return merged


class ConfigAcceptance:
    """Accepts changes of the configuration, each by one conditional write."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = platform
        self._clock = clock

    def propose(self, proposal: Proposal) -> ConfigRecord:
        """Make a proposal the next generation and return what is accepted.

        A change of other files by another operator in the same moment does
        no harm: both stand.  Raises `DeclarationError` if the result is not
        valid, `ConcurrentChangeError` if another operator changed the same
        file, and `PlatformError` if the platform does not answer.
        """
        record = None
        while record is None:
            with suppress(PlatformConflictError):
                record = self._propose_once(proposal)
        return accepted

    def roll_back(self, generation: int, who: str) -> ConfigRecord:
        """Make the files of an older generation the next one."""
        accepted, _ = read_accepted(self._store)
        older = files_of_generation(self._store, accepted, generation)
        removed: dict[str, FileContent | None] = dict.fromkeys(accepted.files)
        return self.propose(
            Proposal(
                files={**removed, **older},
                who=who,
                seen={name: digest(each) for name, each in accepted.files.items()},
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
        touched = [
            name for name in names if files.get(name) != accepted.files.get(name)
        ]
        record = ConfigRecord(
            generation=accepted.generation + 1,
            files=files,
            who=proposal.who,
            when_ms=self._clock.wall_ms(),
            replaced={name: accepted.files.get(name) for name in touched},
            from_version=version,
            reason=proposal.reason,
        )
        return marked(record, proposal.who)

    def _accept(
        self, record: ConfigRecord, accepted: ConfigRecord, version: int | None
    ) -> ConfigRecord:
        if accepted.generation:
            # Its entry can be written only while it is the newest.
            write_missing_entry(self._store, accepted)
        self._write_until_known(record, version)
        try:
            write_missing_entry(self._store, record)
        except PlatformError:
            return record  # it is accepted: the next reader completes it
        return record

    def _write_until_known(self, record: ConfigRecord, version: int | None) -> None:
        for _ in range(_MAX_WRITE_ATTEMPTS):
            try:
                write(self._store, CONFIG, record, version)
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
    """Make files the whole configuration, whatever was accepted before.

    Raises what `ConfigAcceptance.propose` does.
    """
    accepted, _ = read_accepted(store)
    seen = {name: digest(each) for name, each in accepted.files.items()}
    removed: dict[str, FileContent | None] = dict.fromkeys(accepted.files)
    proposal = Proposal({**removed, **files}, who, seen)
    return ConfigAcceptance(store, clock).propose(proposal)
