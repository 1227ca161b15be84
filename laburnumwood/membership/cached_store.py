"""A write-through cache in front of the store."""

from collections.abc import Callable
from functools import partial
from typing import Any

from laburnumwood.errors import PlatformConflictError
from laburnumwood.membership.configuration.status import FROM_OWN_WRITE
from laburnumwood.membership.directory import Directory
from laburnumwood.records import StoredObject
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import written_object
from laburnumwood.store.versions import era_of
from laburnumwood.store.wrapped import StoreWrapper


class CachedStore(StoreWrapper):
    """Answers reads from a directory until a conflict shows it to be stale.

    Writes are conditional, so the store refuses one over an old version; the
    object is then read from the store itself, as it is after the store has
    come back from an older copy.  Objects that were written or read are
    applied to the directory.  An object that the store has forgotten is
    returned as the directory knows it, with the condition to write it again.
    """

    def __init__(self, store: Store, directory: Directory) -> None:
        super().__init__(store)
        self._directory = directory
        self._stale_names: set[str] = set()

    def get(self, name: str) -> StoredObject | None:
        """Return an object, None if there is none of that name."""
        cached = self._directory.stored_object(name)
        is_stale = name in self._stale_names
        if cached is not None and not is_stale and self._is_current(cached):
            return cached
        found = super().get(name)
        self._stale_names.discard(name)
        if found is None:
            self._directory.mark_absent(name, self.era)
        else:
            self._directory.apply(found)
        return self._directory.stored_object(name) or found

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object and return its version.

        Raises `PlatformConflictError` if it exists already.
        """
        write_to_store = partial(super().create, name, value)
        return self._write_through(name, value, write_to_store)

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace a version of an object and return the new version.

        Raises `PlatformConflictError` if the object has another version.
        """
        write_to_store = partial(super().update, name, value, version)
        return self._write_through(name, value, write_to_store)

    def _is_current(self, cached: StoredObject) -> bool:
        return era_of(cached.write_condition) >= self.era

    def _write_through(
        self,
        name: str,
        value: dict[str, Any],
        write_to_store: Callable[[], int],
    ) -> int:
        try:
            version = write_to_store()
        except PlatformConflictError:
            self._stale_names.add(name)
            raise
        self._directory.apply(
            written_object(name, value, version), FROM_OWN_WRITE
        )
        return version
