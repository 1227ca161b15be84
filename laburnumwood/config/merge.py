"""Merging of the files of several teams into one configuration."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ValidationError

from laburnumwood.config.declarations import Declarations, OverrideRule
from laburnumwood.config.references import find_violations
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
    set_by: dict[str, str]

    def origin(self, path: str) -> str:
        """Return the file that sets the value at a path.

        If no file sets it, this is the file that sets the nearest value above
        it, or else a value below it.
        """
        while path not in self.set_by and '.' in path:
            path = path.rpartition('.')[0]
        return self.set_by.get(path, _first_file_below(path, self.set_by))


def _first_file_below(path: str, set_by: Mapping[str, str]) -> str:
    below = (name for each, name in set_by.items() if each.startswith(path))
    return next(below, 'merged files')


def parse_declarations(name: str, content: Mapping[str, Any]) -> Declarations:
    """Validate the content of one file and return its declarations.

    Raises `DeclarationError` with a line for each error.
    """
    try:
        return Declarations.model_validate_json(json.dumps(content))
    except ValidationError as invalid:
        text = describe_validation_error(invalid, name, Declarations)
        raise DeclarationError(text) from invalid


def _explicit_values(
    declaration: BaseModel, prefix: str
) -> Iterator[tuple[str, Any]]:
    """Yield the path and value of each field that a file sets explicitly.

    Fields that the file does not set are left out.
    """
    for name in sorted(declaration.model_fields_set):
        yield from _leaf_values(getattr(declaration, name), f'{prefix}{name}')


def _leaf_values(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict):
        for name, child in value.items():
            yield from _leaf_values(child, f'{path}.{name}')
    elif isinstance(value, BaseModel):
        if not value.model_fields_set:
            yield path, {}
        yield from _explicit_values(value, f'{path}.')
    else:
        yield path, value


def _matches(pattern: str, path: str) -> bool:
    if pattern.endswith(_WILDCARD_SUFFIX):
        return path.startswith(pattern.removesuffix('*'))
    return path == pattern


class _Merger:
    """Merges files one after another and collects all errors."""

    def __init__(self) -> None:
        self.errors: list[str] = []
        self._set_by: dict[str, str] = {}
        self._entry_files: dict[str, str] = {}
        self._rules: tuple[OverrideRule, ...] = ()
        self._merged: dict[str, Any] = {}

    def add(
        self, name: str, content: Mapping[str, Any], *, first: bool
    ) -> None:
        """Merge one more file; only the first one may contain rules."""
        try:
            declarations = parse_declarations(name, content)
        except DeclarationError as invalid:
            self.errors.append(str(invalid))
            return
        if declarations.rules and not first:
            self.errors.append(
                f'{name}: {_RULES}: only the first file may hold rules'
            )
        if first:
            self._rules = declarations.rules
        for path, value in _explicit_values(declarations, ''):
            self._set(name, path, value)

    def result(self) -> MergedConfig:
        """Return the merged configuration; raises `DeclarationError`."""
        self._raise_errors()
        text = json.dumps(self._merged, default=_to_json)
        try:
            declarations = Declarations.model_validate_json(text)
        except ValidationError as invalid:
            lines = describe_validation_error(
                invalid, 'merged files', Declarations
            )
            raise DeclarationError(lines) from invalid
        merged = MergedConfig(declarations, self._set_by)
        for violation in find_violations(declarations):
            file = merged.origin(violation.path)
            self.errors.append(f'{file}: {violation.path}: {violation.text}')
        self._raise_errors()
        return merged

    def _raise_errors(self) -> None:
        if self.errors:
            raise DeclarationError('\n'.join(self.errors))

    def _set(self, name: str, path: str, value: Any) -> None:
        entry = '.'.join(path.split('.')[:2])
        other_file = self._entry_files.setdefault(entry, name)
        if other_file != name and not self._may_override(name, path):
            self.errors.append(
                f'{name}: {path}: {entry} is set by {other_file} already; one '
                f'file sets a thing, unless a rule of the first file lets '
                f'{name} override {path}',
            )
            return
        self._set_by[path] = name
        *parents, last = path.split('.')
        node = self._merged
        for parent in parents:
            node = node.setdefault(parent, {})
        if isinstance(value, dict):
            node.setdefault(last, {})
        else:
            node[last] = value

    def _may_override(self, name: str, path: str) -> bool:
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
    merger = _Merger()
    for number, name in enumerate(sorted(files)):
        merger.add(name, files[name], first=not number)
    return merger.result()


def merge_record(record: ConfigRecord) -> Declarations:
    """Return the declarations of an accepted configuration.

    Sections of its optional files that this version does not know are left
    out.  Raises `DeclarationError` with a line for each error.
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
    return merge_declarations({**record.all_files, **optional})


def merge_declarations(files: Mapping[str, Mapping[str, Any]]) -> Declarations:
    """Merge files like `merge_files` and return only the declarations."""
    return merge_files(files).declarations
