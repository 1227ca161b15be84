"""A base class for stores that forward calls to another store."""

from collections.abc import Callable
from functools import partial
from typing import Any, TypeVar

from laburnumwood.records import StoredObject
from laburnumwood.store.interface import Store

_Result = TypeVar('_Result')


class StoreWrapper:
    """Forwards all calls; subclasses override the calls that they change."""

    def __init__(self, store: Store) -> None:
        self._store = store

    @property
    def era(self) -> int:
        """Return the newest era of the store that is known; 0: it has none."""
        return self._store.era

    def learn_era(self, era: int) -> None:
        """Record an era of the store that another node has told."""
        self._store.learn_era(era)

    @property
    def scopes(self) -> tuple[str, ...]:
        """Return the prefixes to list and watch to cover all objects."""
        return self._store.scopes

    def get(self, name: str) -> StoredObject | None:
        """Return the object with a name, or None if it does not exist."""
        return self._forward(partial(self._store.get, name))

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return the objects with a prefix, and the version of the store."""
        return self._forward(partial(self._store.list, prefix))

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object and return its version."""
        return self._forward(partial(self._store.create, name, value))

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace a version of an object and return the new version."""
        return self._forward(partial(self._store.update, name, value, version))

    def watch(
        self,
        prefix: str,
        since: int,
        wait_ms: int,
        *,
        may_be_stale: bool = False,
    ) -> tuple[tuple[StoredObject, ...], int]:
        """Wait for changes of objects with a prefix after a version."""
        return self._forward(
            partial(
                self._store.watch,
                prefix,
                since,
                wait_ms,
                may_be_stale=may_be_stale,
            )
        )

    def _forward(self, call: Callable[[], _Result]) -> _Result:
        return call()
