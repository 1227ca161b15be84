"""Acceptance of configurations into the store."""

import time
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.config.audit import complete, files_at
from laburnumwood.config.files import Content, Files, digest
from laburnumwood.config.merge import Merged, merge_files
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

_SETTLE_ATTEMPTS = 5
_SETTLE_PAUSE_MS = 300


@dataclass(frozen=True, slots=True)
class Proposal:
    """Files to be set, or removed (None), by an operator.

    `seen` holds the digest of each accepted file as the operator last saw
    it; a file that is not in it was not there.
    """

    files: Mapping[str, Content | None]
    who: str
    seen: Mapping[str, str] = field(default_factory=dict)
    reason: str = ''


def current(platform: Store) -> tuple[ConfigRecord, int | None]:
    """Return the accepted configuration and its version (None: none yet)."""
    stored = platform.get(CONFIG)
    if stored is None:
        return ConfigRecord(0), None
    return to_record(ConfigRecord, stored), stored.version


def _changed_since(proposal: Proposal, now: ConfigRecord) -> tuple[str, ...]:
    """Return the files that someone else changed since they were seen."""
    changed = []
    for name, wanted in sorted(proposal.files.items()):
        accepted = now.files.get(name)
        known = None if accepted is None else digest(accepted)
        if wanted != accepted and proposal.seen.get(name) != known:
            changed.append(name)
    return tuple(changed)


def _with(files: Files, wanted: Mapping[str, Content | None]) -> Files:
    merged: dict[str, Content | None] = {**files, **wanted}
    return {
        name: content for name, content in merged.items() if content is not None
    }


def check_successor(files: Files, now: ConfigRecord) -> Merged:
    """Return the merged files; raises `DeclarationError` for every fault.

    The number of shards of a service never changes while it has any.
    """
    merged = merge_files(files)
    if not now.files:
        return merged
    lines = []
    before = merge_files(now.files).declarations.services
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


class Acceptance:
    """Accepts changes of the configuration, each by one conditional write."""

    def __init__(self, platform: Store, clock: Clock) -> None:
        self._platform = platform
        self._clock = clock

    def propose(self, proposal: Proposal) -> ConfigRecord:
        """Make a proposal the next generation and return what is accepted.

        A change of other files by another operator in the same moment does
        no harm: both stand.  Raises `DeclarationError` if the result is not
        valid, `ConcurrentChangeError` if another operator changed the same
        file, and `PlatformError` if the platform does not answer.
        """
        accepted = None
        while accepted is None:
            with suppress(PlatformConflictError):
                accepted = self._try(proposal)
        return accepted

    def roll_back(self, generation: int, who: str) -> ConfigRecord:
        """Make the files of an older generation the next one."""
        now, _ = current(self._platform)
        older = files_at(self._platform, now, generation)
        removed: dict[str, Content | None] = dict.fromkeys(now.files)
        return self.propose(
            Proposal(
                files={**removed, **older},
                who=who,
                seen={name: digest(each) for name, each in now.files.items()},
                reason=f'rollback to generation {generation}',
            )
        )

    def _try(self, proposal: Proposal) -> ConfigRecord:
        now, version = current(self._platform)
        changed = _changed_since(proposal, now)
        if changed:
            raise ConcurrentChangeError(changed)
        files = _with(now.files, proposal.files)
        check_successor(files, now)
        if files == now.files:
            return now
        record = self._next(proposal, files, now, version)
        return self._accept(record, now, version)

    def _next(
        self,
        proposal: Proposal,
        files: Files,
        now: ConfigRecord,
        version: int | None,
    ) -> ConfigRecord:
        names = {*files, *now.files}
        touched = [
            name for name in names if files.get(name) != now.files.get(name)
        ]
        record = ConfigRecord(
            generation=now.generation + 1,
            files=files,
            who=proposal.who,
            when_ms=self._clock.wall_ms(),
            replaced={name: now.files.get(name) for name in touched},
            from_version=version,
            reason=proposal.reason,
        )
        return marked(record, proposal.who)

    def _accept(
        self, record: ConfigRecord, now: ConfigRecord, version: int | None
    ) -> ConfigRecord:
        if now.generation:
            # Its entry can be written only while it is the newest.
            complete(self._platform, now)
        self._write(record, version)
        try:
            complete(self._platform, record)
        except PlatformError:
            return record  # it is accepted: the next reader completes it
        return record

    def _write(self, record: ConfigRecord, version: int | None) -> None:
        for _ in range(_SETTLE_ATTEMPTS):
            try:
                write(self._platform, CONFIG, record, version)
            except PlatformUnavailableError:
                time.sleep(_SETTLE_PAUSE_MS / MS_PER_SECOND)
            else:
                return
        raise PlatformUnavailableError(
            f'whether generation {record.generation} was accepted is not known'
        )


def accept(
    platform: Store, files: dict[str, dict[str, Any]], who: str, clock: Clock
) -> ConfigRecord:
    """Make files the whole configuration, whatever was accepted before.

    Raises what `Acceptance.propose` does.
    """
    now, _ = current(platform)
    seen = {name: digest(each) for name, each in now.files.items()}
    removed: dict[str, Content | None] = dict.fromkeys(now.files)
    proposal = Proposal({**removed, **files}, who, seen)
    return Acceptance(platform, clock).propose(proposal)
