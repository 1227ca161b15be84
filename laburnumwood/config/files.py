"""The files of a configuration as operators keep them: JSON in a folder."""

import hashlib
import json
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from laburnumwood.errors import DeclarationError

FileContent = dict[str, Any]
Files = dict[str, FileContent]

_DUPLICATE_NAMES = object()


def _build_object(pairs: list[tuple[str, Any]]) -> dict[Any, Any]:
    found: dict[Any, Any] = {}
    duplicates: list[str] = []
    for name, what in pairs:
        if name in found:
            duplicates.append(name)
        found[name] = what
    if duplicates:
        found[_DUPLICATE_NAMES] = duplicates
    return found


def _children(node: Any) -> Iterator[tuple[Any, Any]]:
    if isinstance(node, list):
        yield from enumerate(node)
    elif isinstance(node, dict):
        yield from node.items()


def _duplicate_paths(node: Any, path: str) -> Iterator[str]:
    for name, what in _children(node):
        if name is _DUPLICATE_NAMES:
            yield from (f'{path}{each}' for each in what)
        else:
            yield from _duplicate_paths(what, f'{path}{name}.')


def parse_file(name: str, text: str) -> FileContent:
    """Return what the text of a file holds.

    Raises `DeclarationError` if it is no JSON object, or if a name stands
    twice in one object of it.
    """
    try:
        content = json.loads(text, object_pairs_hook=_build_object)
    except ValueError as unreadable:
        raise DeclarationError(f'{name}: {unreadable}') from unreadable
    lines = [
        f'{name}: {path}: stands twice; a name may stand once'
        for path in _duplicate_paths(content, '')
    ]
    if not isinstance(content, dict):
        lines.append(f'{name}: (whole file): expected an object {{...}}')
    if lines:
        raise DeclarationError('\n'.join(lines))
    return content


def read_folder(folder: Path) -> Files:
    """Return the JSON files of a folder by their names.

    Raises `DeclarationError` with a line for each fault.  Files whose names
    begin with a dot are left out.
    """
    if not folder.is_dir():
        raise DeclarationError(f'{folder}: is not a folder; name one')
    files: Files = {}
    lines: list[str] = []
    for path in sorted(folder.glob('[!.]*.json')):
        try:
            files[path.name] = parse_file(path.name, path.read_text())
        except (OSError, UnicodeError) as unreadable:
            lines.append(f'{path.name}: {unreadable}')
        except DeclarationError as faulty:
            lines.append(str(faulty))
    if lines:
        raise DeclarationError('\n'.join(lines))
    return files


def digest(content: Mapping[str, Any]) -> str:
    """Return a digest of a file's content, whatever its layout."""
    text = json.dumps(content, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(text.encode()).hexdigest()
