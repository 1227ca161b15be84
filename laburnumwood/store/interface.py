"""The interface of a store of objects."""

from typing import Any, Protocol

from laburnumwood.records import StoredObject


class Store(Protocol):
    """Named objects with versions and conditional writes.

    The revision of the store counts all changes; an object's version is the
    era and the revision of its last change (`laburnumwood.store.versions`).
    Every method raises
    `PlatformUnavailableError` if there is no answer.  A write may have taken
    effect in that case, unless the exception is its subclass
    `PlatformNotReachedError`.
    """

    @property
    def era(self) -> int:
        """Return the newest era of the store that is known; 0: it has none."""

    def learn_era(self, era: int) -> None:
        """Record an era of the store that another node has told."""

    @property
    def scopes(self) -> tuple[str, ...]:
        """Return the prefixes to list and watch to cover all objects.

        The first one covers the records of nodes and shards.
        """

    def get(self, name: str) -> StoredObject | None:
        """Return the object with a name, or None if it does not exist."""

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return the objects with a prefix, and the version of the store."""

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object and return its version.

        Raises `PlatformConflictError` if it exists.
        """

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace a version of an object and return the new version.

        Raises `PlatformConflictError` if the object has another version; a
        version of an earlier era is not even sent.
        """

    def watch(
        self,
        prefix: str,
        since: int,
        wait_ms: int,
        *,
        may_be_stale: bool = False,
    ) -> tuple[tuple[StoredObject, ...], int]:
        """Wait for changes of objects with a prefix after a version.

        Returns the changes and the version after them.  With `may_be_stale`
        a store may use a cheaper read whose changes arrive later.

        Raises `CompactedError` if the store no longer keeps all of them, as
        when `since` is of an earlier era.
        """
