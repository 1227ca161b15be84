"""Merging of team files into one configuration."""

import json
from collections.abc import Mapping
from typing import Any

from pydantic import ValidationError

from laburnumwood.config.declarations import Declarations
from laburnumwood.errors import DeclarationError
from laburnumwood.settings import describe


def read_file(name: str, content: Mapping[str, Any]) -> Declarations:
    """Return what one file declares.

    Raises `DeclarationError` with a line for each fault.
    """
    try:
        return Declarations.model_validate_json(json.dumps(content))
    except ValidationError as invalid:
        raise DeclarationError(describe(invalid, name)) from invalid


def _settings_of(part: Declarations) -> dict[str, Any]:
    """Return what a part sets, by the path of each thing."""
    found: dict[str, Any] = {}
    for section in sorted(part.model_fields_set):
        declared = getattr(part, section)
        if isinstance(declared, dict):
            for name, what in declared.items():
                found[f'{section}.{name}'] = what
        else:
            found[section] = declared
    return found


def merge(files: Mapping[str, Mapping[str, Any]]) -> Declarations:
    """Merge files in the order of their names.

    Raises `DeclarationError` if a file is not valid or two files set one
    thing.
    """
    set_by: dict[str, str] = {}
    merged: dict[str, Any] = {}
    for name in sorted(files):
        for path, what in _settings_of(read_file(name, files[name])).items():
            if path in set_by:
                raise DeclarationError(
                    f'{name}: {path}: is set by {set_by[path]} already; '
                    'one thing is set by one file',
                )
            set_by[path] = name
            section, _, entry = path.partition('.')
            if entry:
                merged.setdefault(section, {})[entry] = what
            else:
                merged[section] = what
    return Declarations(**merged)
