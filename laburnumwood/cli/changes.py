"""Access to the accepted configuration and changes of it by operators."""

from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

from laburnumwood.cli.comparison import Difference, FileComparison, compare
from laburnumwood.cli.options import Options, UsageError
from laburnumwood.cli.seen import SeenFiles, read_seen, write_seen
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
    """Merge the files of a folder.

    Raises `DeclarationError` with a line for each error.
    """
    return merge_files(read_folder(folder))


def _select_files(
    comparisons: list[FileComparison], only: Collection[str], folder: Path
) -> list[FileComparison]:
    names = {
        file.name for file in comparisons if file.state != Difference.ELSEWHERE
    }
    missing = sorted(set(only) - names)
    if missing:
        missing_names = ', '.join(missing)
        raise UsageError(f'{folder} has no file {missing_names}; check --only')
    return [file for file in comparisons if not only or file.name in only]


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """The result of applying a folder.

    `record` is the accepted configuration, `changed` the names of the files
    that were changed, and `newer` the names of the files that the folder has
    not changed but others have.
    """

    record: ConfigRecord
    changed: tuple[str, ...]
    newer: tuple[str, ...] = ()


class ConfigClient:
    """Reads the accepted configuration, compares and applies folders.

    All methods raise `PlatformError` if the platform does not answer.
    """

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
        """Compare a folder with the accepted configuration.

        Returns the accepted configuration and the comparison of each file,
        or of those named by `only`.  Records the digests of the accepted
        files as seen: those of files that are the same, and those of files
        that both the folder and others have changed, which the next `apply`
        replaces.  Raises `UsageError` if the folder has no file of `only`.
        """
        accepted = self.read_accepted()
        seen = read_seen(folder)
        comparisons = _select_files(
            self._compare(folder, accepted, seen), only, folder
        )
        seen_differences = (Difference.SAME, Difference.CONFLICT)
        self._record_seen(
            folder,
            accepted,
            seen,
            [file for file in comparisons if file.state in seen_differences],
        )
        return accepted, comparisons

    def apply(self, folder: Path, only: Collection[str]) -> ApplyResult:
        """Accept the changes of a folder as the next generation.

        With `only`, the changes of other files are left out.  Raises
        `UsageError` if the folder has no file of `only`, and what
        `ConfigAcceptance.propose` raises.
        """
        accepted = self.read_accepted()
        seen = read_seen(folder)
        comparisons = _select_files(
            self._compare(folder, accepted, seen), only, folder
        )
        proposed = [file for file in comparisons if file.state.is_proposed]
        proposed_files = {file.name: file.local for file in proposed}
        record = self._propose(Proposal(proposed_files, self._who, seen.files))
        same = [file for file in comparisons if file.state is Difference.SAME]
        self._record_seen(folder, record, seen, [*proposed, *same])
        newer = [file for file in comparisons if file.state is Difference.NEWER]
        return ApplyResult(
            record,
            changed=tuple(sorted(proposed_files)),
            newer=tuple(file.name for file in newer),
        )

    def roll_back(self, generation: int) -> ConfigRecord:
        """Accept the files of an older generation as the next one.

        Raises what `ConfigAcceptance.roll_back` raises.
        """
        return self._acceptance.roll_back(generation, self._who)

    def history(self, most: int) -> list[AuditRecord]:
        """Return up to `most` entries of the audit trail, newest first."""
        entries = read_audit_trail(self._store)
        return [entry for _, entry in zip(range(most), entries, strict=False)]

    def _propose(self, proposal: Proposal) -> ConfigRecord:
        try:
            return self._acceptance.propose(proposal)
        except ConcurrentChangeError as changed:
            raise ConcurrentChangeError(
                self._with_authors(changed.names)
            ) from changed

    def _with_authors(self, names: Collection[str]) -> tuple[str, ...]:
        """Return each name with the operator who changed the file last."""
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
        comparisons: list[FileComparison],
    ) -> None:
        """Record the digests of the accepted files that were compared."""
        files = dict(seen.files)
        for file in comparisons:
            files.pop(file.name, None)
            if file.name in accepted.files:
                files[file.name] = digest(accepted.files[file.name])
        write_seen(
            folder, SeenFiles(generation=accepted.generation, files=files)
        )
