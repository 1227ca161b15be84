"""Comparison of a folder with what is accepted and what was seen of it."""

import difflib
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from laburnumwood.config.files import FileContent, Files, digest


class Difference(Enum):
    """How a file of the folder stands to the accepted one."""

    SAME = 'same'
    CHANGED = 'changed'
    REMOVED = 'removed'
    CONFLICT = 'changed by others too'
    NEWER = 'accepted is newer'
    ELSEWHERE = 'not in the folder'

    @property
    def is_proposed(self) -> bool:
        """Tell whether applying the folder proposes this file."""
        return self in {Difference.CHANGED, Difference.REMOVED, Difference.CONFLICT}


@dataclass(frozen=True, slots=True)
class FileComparison:
    """A file as it is in the folder and as it is accepted."""

    name: str
    state: Difference
    local: FileContent | None
    accepted: FileContent | None

    def diff_lines(
        self, before: str = 'accepted', after: str = 'folder'
    ) -> Iterator[str]:
        """Yield the difference from the accepted file, line by line."""
        yield from difflib.unified_diff(
            _text(self.accepted),
            _text(self.local),
            f'{self.name} ({before})',
            f'{self.name} ({after})',
            lineterm='',
        )


def _text(content: FileContent | None) -> list[str]:
    if content is None:
        return []
    return json.dumps(content, indent=2, sort_keys=True).splitlines()


def _digest(content: FileContent | None) -> str | None:
    return None if content is None else digest(content)


def _classify(local: str | None, accepted: str | None, seen: str | None) -> Difference:
    if local == accepted:
        return Difference.SAME
    if local is None and seen is None:
        return Difference.ELSEWHERE
    if local == seen:
        return Difference.NEWER
    if accepted != seen:
        return Difference.CONFLICT
    return Difference.REMOVED if local is None else Difference.CHANGED


def compare(
    local: Files, accepted: Files, seen: Mapping[str, str]
) -> list[FileComparison]:
    """Return how each file of the folder or of the configuration stands.

    `seen` holds the digests of the accepted files that the folder is based
    on.
    """
    return [
        FileComparison(
            name,
            _classify(
                _digest(local.get(name)),
                _digest(accepted.get(name)),
                seen.get(name),
            ),
            local.get(name),
            accepted.get(name),
        )
        for name in sorted({*local, *accepted, *seen})
    ]
