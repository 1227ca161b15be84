"""Comparison of a folder with the accepted configuration."""

import difflib
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from laburnumwood.config.files import FileContent, Files, digest


class Difference(Enum):
    """How a file of a folder differs from the accepted one.

    This also depends on the accepted file that the folder is based on, see
    `SeenFiles`.
    """

    SAME = 'same'
    CHANGED = 'changed'
    REMOVED = 'removed'
    CONFLICT = 'changed by others too'
    NEWER = 'accepted is newer'
    ELSEWHERE = 'not in the folder'

    @property
    def is_proposed(self) -> bool:
        """Return whether applying the folder changes the accepted file."""
        return self in {
            Difference.CHANGED,
            Difference.REMOVED,
            Difference.CONFLICT,
        }


@dataclass(frozen=True, slots=True)
class FileComparison:
    """A file in the folder and the accepted file of the same name.

    `local` and `accepted` are their contents, None if there is no file.
    """

    name: str
    state: Difference
    local: FileContent | None
    accepted: FileContent | None

    def diff_lines(
        self, before: str = 'accepted', after: str = 'folder'
    ) -> Iterator[str]:
        """Yield the lines of a unified diff from the accepted file.

        `before` and `after` label the accepted and the local file.
        """
        yield from difflib.unified_diff(
            _text_lines(self.accepted),
            _text_lines(self.local),
            f'{self.name} ({before})',
            f'{self.name} ({after})',
            lineterm='',
        )


def _text_lines(content: FileContent | None) -> list[str]:
    if content is None:
        return []
    return json.dumps(content, indent=2, sort_keys=True).splitlines()


def _digest(content: FileContent | None) -> str | None:
    return None if content is None else digest(content)


def _classify(
    local: str | None, accepted: str | None, seen: str | None
) -> Difference:
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
    """Compare the files of a folder with the accepted ones, sorted by name.

    `seen` maps names to the digests of the accepted files on which the
    folder is based.
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
