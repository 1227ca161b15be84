"""Merging of the files of several teams into one configuration."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ValidationError

from laburnumwood.config.declarations import (
    ACCEPTED,
    Declarations,
    OverrideRule,
)
from laburnumwood.config.references import ValuePath, find_violations, join_path
from laburnumwood.errors import DeclarationError
from laburnumwood.records import ConfigRecord
from laburnumwood.settings import describe_validation_error

_WILDCARD_SUFFIX = '.*'
_RULES = 'rules'


@dataclass(frozen=True, slots=True)
class MergedConfig:
    """A merged configuration.

    `set_by` maps the path of each value to the file that sets it.
    """

    declarations: Declarations
    set_by: dict[ValuePath, str]

    def origin(self, path: ValuePath) -> str:
        """Return the file that sets the value at a path.

        If no file sets it, this is the file that sets the nearest value above
        it, or else a value below it.
        """
        while path not in self.set_by and len(path) > 1:
            path = path[:-1]
        return self.set_by.get(path, _first_file_below(path, self.set_by))


def _first_file_below(path: ValuePath, set_by: Mapping[ValuePath, str]) -> str:
    below = (name for each, name in set_by.items() if each[: len(path)] == path)
    return next(below, 'merged files')


def _parse_declarations(
    name: str, content: Mapping[str, Any], context: object
) -> Declarations:
    """Validate the content of one file and return its declarations.

    Raises `DeclarationError` with a line for each error.
    """
    text = json.dumps(content, default=_to_json)
    try:
        return Declarations.model_validate_json(text, context=context)
    except ValidationError as invalid:
        lines = describe_validation_error(invalid, name, Declarations)
        raise DeclarationError(lines) from invalid


def _explicit_values(
    declaration: BaseModel, prefix: ValuePath
) -> Iterator[tuple[ValuePath, Any]]:
    """Yield the path and value of each field that a file sets explicitly.

    Fields that the file does not set are left out.
    """
    for name in sorted(declaration.model_fields_set):
        yield from _leaf_values(getattr(declaration, name), (*prefix, name))


def _leaf_values(
    value: Any, path: ValuePath
) -> Iterator[tuple[ValuePath, Any]]:
    if isinstance(value, dict):
        for name, child in value.items():
            yield from _leaf_values(child, (*path, name))
    elif isinstance(value, BaseModel):
        if not value.model_fields_set:
            yield path, {}
        yield from _explicit_values(value, path)
    else:
        yield path, value


def _matches(pattern: str, path: ValuePath) -> bool:
    if not pattern.endswith(_WILDCARD_SUFFIX):
        return join_path(path) == pattern
    above = (join_path(path[:end]) for end in range(1, len(path)))
    return pattern.removesuffix(_WILDCARD_SUFFIX) in above


class _Merger:
    """Merges files one after another and collects all errors.

    `context` is `ACCEPTED` for files that were accepted before.
    """

    def __init__(self, context: object) -> None:
        self.errors: list[str] = []
        self._context = context
        self._set_by: dict[ValuePath, str] = {}
        self._entry_files: dict[ValuePath, str] = {}
        self._rules: tuple[OverrideRule, ...] = ()
        self._merged: dict[str, Any] = {}

    def add(
        self, name: str, content: Mapping[str, Any], *, first: bool
    ) -> None:
        """Merge one more file; only the first one may contain rules."""
        try:
            declarations = _parse_declarations(name, content, self._context)
        except DeclarationError as invalid:
            self.errors.append(str(invalid))
            return
        if declarations.rules and not first:
            self.errors.append(
                f'{name}: {_RULES}: only the first file may hold rules'
            )
        if first:
            self._rules = declarations.rules
        for path, value in _explicit_values(declarations, ()):
            self._set(name, path, value)

    def result(self) -> MergedConfig:
        """Return the merged configuration; raises `DeclarationError`."""
        self._raise_errors()
        declarations = _parse_declarations(
            'merged files', self._merged, self._context
        )
        merged = MergedConfig(declarations, self._set_by)
        for violation in find_violations(declarations):
            file = merged.origin(violation.path)
            path = join_path(violation.path)
            self.errors.append(f'{file}: {path}: {violation.text}')
        self._raise_errors()
        return merged

    def _raise_errors(self) -> None:
        if self.errors:
            raise DeclarationError('\n'.join(self.errors))

    def _set(self, name: str, path: ValuePath, value: Any) -> None:
        entry = path[:2]
        other_file = self._entry_files.setdefault(entry, name)
        if other_file != name and not self._may_override(name, path):
            text = join_path(path)
            self.errors.append(
                f'{name}: {text}: {join_path(entry)} is set by {other_file} '
                f'already; one file sets a thing, unless a rule of the first '
                f'file lets {name} override {text}',
            )
            return
        self._set_by[path] = name
        *parents, last = path
        node = self._merged
        for parent in parents:
            node = node.setdefault(parent, {})
        if isinstance(value, dict):
            node.setdefault(last, {})
        else:
            node[last] = value

    def _may_override(self, name: str, path: ValuePath) -> bool:
        return any(
            name in rule.files and _matches(pattern, path)
            for rule in self._rules
            for pattern in rule.may_override
        )


def _to_json(value: Any) -> Any:
    if isinstance(value, BaseModel):
        return value.model_dump(mode='json', exclude_unset=True)
    return sorted(value)


def merge_files(files: Mapping[str, Mapping[str, Any]]) -> MergedConfig:
    """Merge files in the order of their names.

    Raises `DeclarationError` with a line for each error in any file.
    """
    return _merge(files, None)


def _merge(
    files: Mapping[str, Mapping[str, Any]], context: object
) -> MergedConfig:
    merger = _Merger(context)
    for number, name in enumerate(sorted(files)):
        merger.add(name, files[name], first=not number)
    return merger.result()


def _join(files: Mapping[str, Mapping[str, Any]]) -> Declarations | None:
    """Return the declarations of accepted files that set different entries.

    Returns None if two files set an entry, or if something is not valid.  This
    costs less than a merge that knows which file sets which value.
    """
    joined: dict[str, dict[str, Any]] = {}
    for _, content in sorted(files.items()):
        for section, entries in content.items():
            known = joined.setdefault(section, {})
            if not isinstance(entries, dict) or known.keys() & entries.keys():
                return None
            known.update(entries)
    try:
        declarations = _parse_declarations('merged files', joined, ACCEPTED)
    except DeclarationError:
        return None
    return None if any(find_violations(declarations)) else declarations


def merge_record(record: ConfigRecord) -> Declarations:
    """Return the declarations of an accepted configuration.

    Names are taken as they were accepted.  Sections of its optional files
    that this version does not know are left out.  Raises `DeclarationError`
    with a line for each error.
    """
    known = Declarations.model_fields.keys()
    optional = {
        name: {
            section: value
            for section, value in content.items()
            if section in known
        }
        for name, content in record.optional_files.items()
    }
    files = {**record.all_files, **optional}
    return _join(files) or _merge(files, ACCEPTED).declarations
