"""Changes of the configuration by operators."""

from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

from laburnumwood.cli.comparison import FileState, State, compare
from laburnumwood.cli.options import Options, UsageError
from laburnumwood.cli.seen import Seen, read_seen, write_seen
from laburnumwood.clock import Clock
from laburnumwood.config.acceptance import (
    Acceptance,
    Proposal,
    current,
)
from laburnumwood.config.audit import read_newest
from laburnumwood.config.files import digest, read_folder
from laburnumwood.config.merge import Merged, merge_files
from laburnumwood.errors import ConcurrentChangeError
from laburnumwood.records import AuditRecord, ConfigRecord
from laburnumwood.store.client import HttpStore


def validate(folder: Path) -> Merged:
    """Return the merged files of a folder; raises `DeclarationError`."""
    return merge_files(read_folder(folder))


def _among(
    states: list[FileState], only: Collection[str], folder: Path
) -> list[FileState]:
    known = {each.name for each in states if each.state != State.ELSEWHERE}
    missing = sorted(set(only) - known)
    if missing:
        names = ', '.join(missing)
        raise UsageError(f'{folder} has no file {names}; check --only')
    return [each for each in states if not only or each.name in only]


@dataclass(frozen=True, slots=True)
class Applied:
    """What is accepted now, which files changed and which are newer there."""

    record: ConfigRecord
    changed: tuple[str, ...]
    newer: tuple[str, ...] = ()


class Changes:
    """Compares folders with the accepted configuration and applies them."""

    def __init__(self, options: Options) -> None:
        self._platform = HttpStore(options.platform_url)
        self._acceptance = Acceptance(self._platform, Clock())
        self._who = options.who

    def current(self) -> ConfigRecord:
        """Return the accepted configuration."""
        return current(self._platform)[0]

    def diff(
        self, folder: Path, only: Collection[str]
    ) -> tuple[ConfigRecord, list[FileState]]:
        """Return how the files stand, and note that they were seen.

        What others have changed in the meantime counts as seen only where
        the folder holds a change of its own: that is what applying replaces.
        """
        now = self.current()
        seen = read_seen(folder)
        states = _among(self._compare(folder, now, seen), only, folder)
        shown = (State.SAME, State.CONFLICT)
        self._note(
            folder, now, seen, [each for each in states if each.state in shown]
        )
        return now, states

    def apply(self, folder: Path, only: Collection[str]) -> Applied:
        """Make the changes of a folder the next generation.

        Raises what `Acceptance.propose` does.
        """
        now = self.current()
        seen = read_seen(folder)
        states = _among(self._compare(folder, now, seen), only, folder)
        proposed = [each for each in states if each.state.is_proposed]
        wanted = {each.name: each.local for each in proposed}
        record = self._propose(Proposal(wanted, self._who, seen.files))
        same = [each for each in states if each.state is State.SAME]
        self._note(folder, record, seen, [*proposed, *same])
        newer = [each for each in states if each.state is State.NEWER]
        return Applied(
            record,
            changed=tuple(sorted(wanted)),
            newer=tuple(each.name for each in newer),
        )

    def roll_back(self, generation: int) -> ConfigRecord:
        """Make the files of an older generation the next one."""
        return self._acceptance.roll_back(generation, self._who)

    def history(self, most: int) -> list[AuditRecord]:
        """Return the newest entries of the audit trail."""
        entries = read_newest(self._platform)
        return [entry for _, entry in zip(range(most), entries, strict=False)]

    def _propose(self, proposal: Proposal) -> ConfigRecord:
        try:
            return self._acceptance.propose(proposal)
        except ConcurrentChangeError as changed:
            raise ConcurrentChangeError(self._blame(changed.names)) from changed

    def _blame(self, names: Collection[str]) -> tuple[str, ...]:
        """Return each name with who changed that file last."""
        wanted = set(names)
        told = []
        for entry in read_newest(self._platform):
            for name in sorted(wanted.intersection(entry.changes)):
                told.append(
                    f'{name} (generation {entry.generation} by {entry.who})'
                )
            wanted.difference_update(entry.changes)
            if not wanted:
                break
        return tuple(told)

    def _compare(
        self, folder: Path, now: ConfigRecord, seen: Seen
    ) -> list[FileState]:
        return compare(read_folder(folder), now.files, seen.files)

    def _note(
        self,
        folder: Path,
        now: ConfigRecord,
        seen: Seen,
        states: list[FileState],
    ) -> None:
        files = dict(seen.files)
        for each in states:
            files.pop(each.name, None)
            if each.name in now.files:
                files[each.name] = digest(now.files[each.name])
        write_seen(folder, Seen(generation=now.generation, files=files))
