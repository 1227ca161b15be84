"""Changes of the configuration by operators."""

from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

from laburnumwood.cli.comparison import FileComparison, Difference, compare
from laburnumwood.cli.options import Options, UsageError
from laburnumwood.cli.seen_files import SeenFiles, read_seen, write_seen
from laburnumwood.clock import Clock
from laburnumwood.config.acceptance import (
    ConfigAcceptance,
    Proposal,
    read_accepted,
)
from laburnumwood.config.audit import read_audit_trail
from laburnumwood.config.files import digest, read_folder
from laburnumwood.config.merge import MergedConfig, merge_files
from laburnumwood.errors import ConcurrentChangeError
from laburnumwood.records import AuditRecord, ConfigRecord
from laburnumwood.store.client import HttpStore


def merge_folder(folder: Path) -> MergedConfig:
    """Return the merged files of a folder; raises `DeclarationError`."""
    return merge_files(read_folder(folder))


def _select_files(
    states: list[FileComparison], only: Collection[str], folder: Path
) -> list[FileComparison]:
    known = {each.name for each in states if each.state != Difference.ELSEWHERE}
    missing = sorted(set(only) - known)
    if missing:
        names = ', '.join(missing)
        raise UsageError(f'{folder} has no file {names}; check --only')
    return [each for each in states if not only or each.name in only]


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """What is accepted now, which files changed and which are newer there."""

    record: ConfigRecord
    changed: tuple[str, ...]
    newer: tuple[str, ...] = ()


class ConfigClient:
    """Compares folders with the accepted configuration and applies them."""

    def __init__(self, options: Options) -> None:
        self._store = HttpStore(options.platform_url)
        self._acceptance = ConfigAcceptance(self._store, Clock())
        self._who = options.who

    def read_accepted(self) -> ConfigRecord:
        """Return the accepted configuration."""
        return read_accepted(self._store)[0]

    def diff(
        self, folder: Path, only: Collection[str]
    ) -> tuple[ConfigRecord, list[FileComparison]]:
        """Return how the files stand, and note that they were seen.

        What others have changed in the meantime counts as seen only where
        the folder holds a change of its own: that is what applying replaces.
        """
        accepted = self.read_accepted()
        seen = read_seen(folder)
        states = _select_files(self._compare(folder, accepted, seen), only, folder)
        shown = (Difference.SAME, Difference.CONFLICT)
        self._record_seen(
            folder, accepted, seen, [each for each in states if each.state in shown]
        )
        return accepted, states

    def apply(self, folder: Path, only: Collection[str]) -> ApplyResult:
        """Make the changes of a folder the next generation.

        Raises what `ConfigAcceptance.propose` does.
        """
        accepted = self.read_accepted()
        seen = read_seen(folder)
        states = _select_files(self._compare(folder, accepted, seen), only, folder)
        proposed = [each for each in states if each.state.is_proposed]
        wanted = {each.name: each.local for each in proposed}
        record = self._propose(Proposal(wanted, self._who, seen.files))
        same = [each for each in states if each.state is Difference.SAME]
        self._record_seen(folder, record, seen, [*proposed, *same])
        newer = [each for each in states if each.state is Difference.NEWER]
        return ApplyResult(
            record,
            changed=tuple(sorted(wanted)),
            newer=tuple(each.name for each in newer),
        )

    def roll_back(self, generation: int) -> ConfigRecord:
        """Make the files of an older generation the next one."""
        return self._acceptance.roll_back(generation, self._who)

    def history(self, most: int) -> list[AuditRecord]:
        """Return the newest entries of the audit trail."""
        entries = read_audit_trail(self._store)
        return [entry for _, entry in zip(range(most), entries, strict=False)]

    def _propose(self, proposal: Proposal) -> ConfigRecord:
        try:
            return self._acceptance.propose(proposal)
        except ConcurrentChangeError as changed:
            raise ConcurrentChangeError(self._with_authors(changed.names)) from changed

    def _with_authors(self, names: Collection[str]) -> tuple[str, ...]:
        """Return each name with who changed that file last."""
        remaining = set(names)
        names_with_authors = []
        for entry in read_audit_trail(self._store):
            for name in sorted(remaining.intersection(entry.changes)):
                names_with_authors.append(
                    f'{name} (generation {entry.generation} by {entry.who})'
                )
            remaining.difference_update(entry.changes)
            if not remaining:
                break
        return tuple(names_with_authors)

    def _compare(
        self, folder: Path, accepted: ConfigRecord, seen: SeenFiles
    ) -> list[FileComparison]:
        return compare(read_folder(folder), accepted.files, seen.files)

    def _record_seen(
        self,
        folder: Path,
        accepted: ConfigRecord,
        seen: SeenFiles,
        states: list[FileComparison],
    ) -> None:
        files = dict(seen.files)
        for each in states:
            files.pop(each.name, None)
            if each.name in accepted.files:
                files[each.name] = digest(accepted.files[each.name])
        write_seen(folder, SeenFiles(generation=accepted.generation, files=files))
