"""Configuration files: JSON objects in a folder."""

import hashlib
import json
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from laburnumwood.errors import DeclarationError

FileContent = dict[str, Any]
Files = dict[str, FileContent]

_DUPLICATE_NAMES = object()  # the key under which an object lists them


def _build_object(pairs: list[tuple[str, Any]]) -> dict[Any, Any]:
    """Return a decoded JSON object that also lists its duplicate names."""
    decoded: dict[Any, Any] = {}
    duplicates: list[str] = []
    for name, child in pairs:
        if name in decoded:
            duplicates.append(name)
        decoded[name] = child
    if duplicates:
        decoded[_DUPLICATE_NAMES] = duplicates
    return decoded


def _children(node: Any) -> Iterator[tuple[Any, Any]]:
    """Yield the keys or indices of a container and their values."""
    if isinstance(node, list):
        yield from enumerate(node)
    elif isinstance(node, dict):
        yield from node.items()


def _duplicate_paths(node: Any, path: str) -> Iterator[str]:
    for name, child in _children(node):
        if name is _DUPLICATE_NAMES:
            yield from (f'{path}{duplicate}' for duplicate in child)
        else:
            yield from _duplicate_paths(child, f'{path}{name}.')


def parse_file(name: str, text: str) -> FileContent:
    """Return the content of a file from its text; `name` is for messages.

    Raises `DeclarationError` if the text is not a JSON object, or if an
    object in it has a duplicate name.
    """
    try:
        content = json.loads(text, object_pairs_hook=_build_object)
    except ValueError as unreadable:
        raise DeclarationError(f'{name}: {unreadable}') from unreadable
    errors = [
        f'{name}: {path}: stands twice; a name may stand once'
        for path in _duplicate_paths(content, '')
    ]
    if not isinstance(content, dict):
        errors.append(f'{name}: (whole file): expected an object {{...}}')
    if errors:
        raise DeclarationError('\n'.join(errors))
    return content


def read_folder(folder: Path) -> Files:
    """Return the contents of the JSON files of a folder by file name.

    Files whose names begin with a dot are ignored.  Raises
    `DeclarationError` with a line for each file that is not readable and
    each error in a file.
    """
    if not folder.is_dir():
        raise DeclarationError(f'{folder}: is not a folder; name one')
    files: Files = {}
    errors: list[str] = []
    for path in sorted(folder.glob('[!.]*.json')):
        try:
            files[path.name] = parse_file(path.name, path.read_text())
        except (OSError, UnicodeError) as unreadable:
            errors.append(f'{path.name}: {unreadable}')
        except DeclarationError as invalid:
            errors.append(str(invalid))
    if errors:
        raise DeclarationError('\n'.join(errors))
    return files


def digest(content: Mapping[str, Any]) -> str:
    """Return the SHA-256 digest of a file's content.

    It does not depend on the white space and the order of names in the file.
    """
    text = json.dumps(content, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(text.encode()).hexdigest()
