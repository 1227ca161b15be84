"""What the product needs of a store of objects."""

from typing import Any, Protocol

from laburnumwood.records import StoredObject


class Store(Protocol):
    """Named objects with versions and conditional writes.

    One revision counts all changes; an object's version is the revision of
    its last change.  Every method raises `PlatformUnavailableError` if no
    answer came; a write may then have taken effect all the same, unless it
    was of the kind `PlatformNotReachedError`.
    """

    @property
    def scopes(self) -> tuple[str, ...]:
        """Return the prefixes to list and watch that make up the whole.

        The first holds the records of nodes and shards.
        """

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if there is none of that name."""

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return the objects under a prefix and the store's revision."""

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object and return its version.

        Raises `PlatformConflictError` if there is one already.
        """

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace the given version of an object and return the new one.

        Raises `PlatformConflictError` if the object has another version.
        """

    def watch(
        self,
        prefix: str,
        since: int,
        wait_ms: int,
        *,
        may_be_stale: bool = False,
    ) -> tuple[tuple[StoredObject, ...], int]:
        """Wait for changes under a prefix after a revision.

        Returns them with the revision that they lead to.  What may be stale
        comes late, which a store may make cheaper.

        Raises `CompactedError` if the store no longer keeps them all.
        """
