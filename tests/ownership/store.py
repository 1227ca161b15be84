"""A store that is late, loses answers or is away, as it is told."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

from laburnumwood.errors import (
    PlatformConflictError,
    PlatformNotReachedError,
    PlatformUnavailableError,
)
from laburnumwood.records import StoredObject
from laburnumwood.store.client import HttpStore


class FakeStore(HttpStore):
    """Objects with versions, behind the calls of the real client.

    `mode` is `up`, `down` (nothing arrives), `refused` (the same, and callers
    know it), `lose` (writes take effect, no answer comes), `lose-writes` (the
    same, but reads are answered) or `late` (writes take effect when `land` is
    called).
    """

    def __init__(self) -> None:
        self.mode = 'up'
        self.revision = 0
        self.history: list[StoredObject] = []
        self._objects: dict[str, StoredObject] = {}
        self._late: list[Callable[[], int]] = []

    def get(self, name: str) -> StoredObject | None:
        """Return an object."""
        if self.mode not in {'up', 'lose-writes'}:
            raise self._failure(name)
        return self._objects.get(name)

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return all objects."""
        if self.mode != 'up':
            raise self._failure(prefix)
        return tuple(self._objects.values()), self.revision

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object."""
        return self._request(lambda: self._write(name, value, None))

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace an object of a version."""
        return self._request(lambda: self._write(name, value, version))

    def land(self) -> None:
        """Let the late writes take effect, oldest first."""
        late, self._late = self._late, []
        for write in late:
            with suppress(PlatformConflictError):
                write()

    def spoil(self, name: str) -> None:
        """Put a value of unknown form in place of an object's."""
        found = self._objects[name].version
        self._write(name, {'unknown': 'form'}, found)

    def _request(self, write: Callable[[], int]) -> int:
        if self.mode == 'up':
            return write()
        if self.mode == 'late':
            self._late.append(write)
        elif self.mode in {'lose', 'lose-writes'}:
            write()
        raise self._failure(self.mode)

    def _failure(self, what: str) -> PlatformUnavailableError:
        if self.mode == 'refused':
            return PlatformNotReachedError(what)
        return PlatformUnavailableError(what)

    def _write(
        self, name: str, value: dict[str, Any], version: int | None
    ) -> int:
        known = self._objects.get(name)
        found = known.version if known else None
        if found != version:
            raise PlatformConflictError(name)
        self.revision += 1
        stored = StoredObject(name, value, self.revision)
        self._objects[name] = stored
        self.history.append(stored)
        return self.revision
