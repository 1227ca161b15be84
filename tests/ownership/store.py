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
    know it), `lose-answers` (writes take effect, no answer comes), `lose-write-answers` (the
    same, but reads are answered) or `late` (writes take effect when `land` is
    called).
    """

    def __init__(self) -> None:
        self.mode = 'up'
        self.revision = 0
        self.history: list[StoredObject] = []
        self._objects: dict[str, StoredObject] = {}
        self._late_writes: list[Callable[[], int]] = []

    def get(self, name: str) -> StoredObject | None:
        """Return an object."""
        if self.mode not in {'up', 'lose-write-answers'}:
            raise self._unavailable_error(name)
        return self._objects.get(name)

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return all objects."""
        if self.mode != 'up':
            raise self._unavailable_error(prefix)
        return tuple(self._objects.values()), self.revision

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object."""
        return self._send_write(lambda: self._write(name, value, None))

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace an object of a version."""
        return self._send_write(lambda: self._write(name, value, version))

    def apply_late_writes(self) -> None:
        """Let the late writes take effect, oldest first."""
        late_writes, self._late_writes = self._late_writes, []
        for write in late_writes:
            with suppress(PlatformConflictError):
                write()

    def corrupt(self, name: str) -> None:
        """Put a value of unknown form in place of an object's."""
        current_version = self._objects[name].version
        self._write(name, {'unknown': 'form'}, current_version)

    def _send_write(self, write: Callable[[], int]) -> int:
        if self.mode == 'up':
            return write()
        if self.mode == 'late':
            self._late_writes.append(write)
        elif self.mode in {'lose-answers', 'lose-write-answers'}:
            write()
        raise self._unavailable_error(self.mode)

    def _unavailable_error(self, detail: str) -> PlatformUnavailableError:
        if self.mode == 'refused':
            return PlatformNotReachedError(detail)
        return PlatformUnavailableError(detail)

    def _write(
        self, name: str, value: dict[str, Any], version: int | None
    ) -> int:
        current = self._objects.get(name)
        current_version = current.version if current else None
        if current_version != version:
            raise PlatformConflictError(name)
        self.revision += 1
        stored = StoredObject(name, value, self.revision)
        self._objects[name] = stored
        self.history.append(stored)
        return self.revision
