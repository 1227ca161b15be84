"""A store that is asked only for what is not known already."""

from collections.abc import Callable
from functools import partial
from typing import Any

from laburnumwood.errors import PlatformConflictError
from laburnumwood.membership.directory import Directory
from laburnumwood.records import StoredObject
from laburnumwood.store.interface import Store
from laburnumwood.store.wrapped import WrappedStore


class CachedStore(WrappedStore):
    """Answers reads from a directory, until a write shows that it is behind.

    Writes are conditional, so that one over an old version is refused; the
    object is then read from the store itself.  What was written or read goes
    into the directory.
    """

    def __init__(self, store: Store, directory: Directory) -> None:
        super().__init__(store)
        self._directory = directory
        self._outdated: set[str] = set()

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if there is none of that name."""
        known = self._directory.stored_object(name)
        if known is not None and name not in self._outdated:
            return known
        found = super().get(name)
        self._outdated.discard(name)
        if found is not None:
            self._directory.apply(found)
        return found

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object and return its version."""
        write = partial(super().create, name, value)
        return self._written(name, value, write)

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace the given version of an object and return the new one."""
        write = partial(super().update, name, value, version)
        return self._written(name, value, write)

    def _written(
        self, name: str, value: dict[str, Any], write: Callable[[], int]
    ) -> int:
        try:
            version = write()
        except PlatformConflictError:
            self._outdated.add(name)
            raise
        self._directory.apply(StoredObject(name, value, version))
        return version
