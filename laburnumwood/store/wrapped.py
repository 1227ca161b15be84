"""A store that passes its calls on to another one."""

from collections.abc import Callable
from functools import partial
from typing import Any, TypeVar

from laburnumwood.records import StoredObject
from laburnumwood.store.interface import Store

_Found = TypeVar('_Found')


class StoreWrapper:
    """Passes everything on; subclasses look at the calls that they need."""

    def __init__(self, store: Store) -> None:
        self._store = store

    @property
    def scopes(self) -> tuple[str, ...]:
        """Return the prefixes to list and watch that make up the whole."""
        return self._store.scopes

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if there is none of that name."""
        return self._forward(partial(self._store.get, name))

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return the objects under a prefix and the store's revision."""
        return self._forward(partial(self._store.list, prefix))

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object and return its version."""
        return self._forward(partial(self._store.create, name, value))

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace the given version of an object and return the new one."""
        return self._forward(partial(self._store.update, name, value, version))

    def watch(
        self,
        prefix: str,
        since: int,
        wait_ms: int,
        *,
        may_be_stale: bool = False,
    ) -> tuple[tuple[StoredObject, ...], int]:
        """Wait for changes under a prefix after a revision."""
        return self._forward(
            partial(
                self._store.watch,
                prefix,
                since,
                wait_ms,
                may_be_stale=may_be_stale,
            )
        )

    def _forward(self, call: Callable[[], _Found]) -> _Found:
        return call()
