"""A store that is asked only for what is not known already."""

from typing import Any

from laburnumwood.errors import PlatformConflictError
from laburnumwood.membership.directory import Directory
from laburnumwood.records import StoredObject
from laburnumwood.store.interface import Store


class KnownStore:
    """Answers reads from a directory, until a write shows that it is behind.

    Writes are conditional, so that one over an old version is refused; the
    object is then read from the store itself.  What was written or read goes
    into the directory.
    """

    def __init__(self, store: Store, directory: Directory) -> None:
        self._store = store
        self._directory = directory
        self._outdated: set[str] = set()

    @property
    def scopes(self) -> tuple[str, ...]:
        """Return the prefixes to list and watch that make up the whole."""
        return self._store.scopes

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if there is none of that name."""
        known = self._directory.stored(name)
        if known is not None and name not in self._outdated:
            return known
        found = self._store.get(name)
        self._outdated.discard(name)
        if found is not None:
            self._directory.apply(found)
        return found

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return the objects under a prefix and the store's revision."""
        return self._store.list(prefix)

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object and return its version."""
        return self._written(name, value, None)

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace the given version of an object and return the new one."""
        return self._written(name, value, version)

    def watch(
        self, prefix: str, since: int, wait_ms: int
    ) -> tuple[tuple[StoredObject, ...], int]:
        """Wait for changes under a prefix after a revision."""
        return self._store.watch(prefix, since, wait_ms)

    def _written(
        self, name: str, value: dict[str, Any], version: int | None
    ) -> int:
        try:
            written = (
                self._store.create(name, value)
                if version is None
                else self._store.update(name, value, version)
            )
        except PlatformConflictError:
            self._outdated.add(name)
            raise
        self._directory.apply(StoredObject(name, value, written))
        return written
