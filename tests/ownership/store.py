"""A store in memory that can be slow, lose answers or be unreachable."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from laburnumwood.errors import (
    PlatformConflictError,
    PlatformNotReachedError,
    PlatformUnavailableError,
)
from laburnumwood.records import StoredObject
from laburnumwood.store.client import HttpStore
from laburnumwood.store.versions import era_of, make_version, revision_of


@dataclass(frozen=True, slots=True)
class _Write:
    """An object as it was written, at a revision."""

    name: str
    value: dict[str, Any]
    revision: int


class StoreContents:
    """The versioned objects of a store, shared by its clients.

    `mode` is one of:

    - `up`: all requests are answered
    - `down`: no request arrives, and callers can't tell whether it did
    - `refused`: no request arrives, and callers know it
    - `lose-answers`: writes take effect, but no request is answered
    - `lose-write-answers`: the same, but `get` is answered
    - `late`: no request is answered, and writes take effect when
      `apply_late_writes` is called

    `era` begins anew when the store comes back from an older copy, which is
    never older than `oldest_copy`, a revision.  `history` has each version of
    all objects, oldest first, also the forgotten ones.
    """

    def __init__(self) -> None:
        self.mode = 'up'
        self.era = 1
        self.revision = 0
        self.oldest_copy = 0
        self.history: list[StoredObject] = []
        self._writes: list[_Write] = []
        self._late_writes: list[Callable[[], int]] = []

    def found(self, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        written = self._current(name)
        return None if written is None else self._stored(written)

    def all_objects(self) -> tuple[StoredObject, ...]:
        """Return all objects."""
        newest = {each.name: each for each in self._writes}
        return tuple(map(self._stored, newest.values()))

    def apply_late_writes(self) -> None:
        """Apply the writes sent in mode `late`, oldest first."""
        late_writes, self._late_writes = self._late_writes, []
        for write in late_writes:
            with suppress(PlatformConflictError):
                write()

    def put_back(self, count: int) -> None:
        """Come back from a copy without the last `count` writes.

        Their revisions are given out again.
        """
        self.revision = max(self.revision - count, self.oldest_copy)
        self._writes = [
            each for each in self._writes if each.revision <= self.revision
        ]
        self.era += 1

    def corrupt(self, name: str) -> None:
        """Replace the value of an object by one that no record type has."""
        current = self._current(name)
        revision = current.revision if current else 0
        self.write(name, {'unknown': 'form'}, revision)

    def send_write(
        self, name: str, value: dict[str, Any], expected: int
    ) -> int:
        """Write an object that has an expected revision, 0: none.

        Returns the new version, unless the mode keeps the answer back.
        """
        if self.mode == 'up':
            return self.write(name, value, expected)
        if self.mode == 'late':
            self._late_writes.append(lambda: self.write(name, value, expected))
        elif self.mode in {'lose-answers', 'lose-write-answers'}:
            self.write(name, value, expected)
        raise self.unavailable_error(self.mode)

    def unavailable_error(self, detail: str) -> PlatformUnavailableError:
        """Return the error of a request that is not answered."""
        if self.mode == 'refused':
            return PlatformNotReachedError(detail)
        return PlatformUnavailableError(detail)

    def write(self, name: str, value: dict[str, Any], expected: int) -> int:
        """Write an object now and return its version."""
        current = self._current(name)
        found = current.revision if current else 0
        if found != expected:
            raise PlatformConflictError(name)
        self.revision += 1
        written = _Write(name, value, self.revision)
        self._writes.append(written)
        self.history.append(self._stored(written))
        return make_version(self.era, self.revision)

    def _current(self, name: str) -> _Write | None:
        found = (each for each in reversed(self._writes) if each.name == name)
        return next(found, None)

    def _stored(self, written: _Write) -> StoredObject:
        written_era = written.value.get('era') or 1
        return StoredObject(
            written.name,
            written.value,
            make_version(written_era, written.revision),
            make_version(self.era, written.revision),
        )


class FakeStore(HttpStore):
    """A client of a store in memory with the interface of the real one.

    `silence` is 'requests' if none of them arrives any more, and 'answers' if
    none of those do, as on a connection that has gone silent.
    """

    def __init__(self, backing: StoreContents | None = None) -> None:
        self.backing = backing or StoreContents()
        self.is_refused = False
        self.silence = ''
        self._era = 0

    @property
    def mode(self) -> str:
        """Return the mode of the store for this client."""
        if self.silence:
            return 'down' if self.silence == 'requests' else 'lose-answers'
        return 'refused' if self.is_refused else self.backing.mode

    @mode.setter
    def mode(self, mode: str) -> None:
        """Set the mode of the store."""
        self.backing.mode = mode

    @property
    def era(self) -> int:
        """Return the newest era of the store that is known."""
        return self._era

    def learn_era(self, era: int) -> None:
        """Record an era of the store that another node has told."""
        self._era = max(era, self._era)

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        if self.mode not in {'up', 'lose-write-answers'}:
            raise self._unavailable_error(name)
        self.learn_era(self.backing.era)
        return self.backing.found(name)

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return all objects, whatever the prefix, and the version."""
        if self.mode != 'up':
            raise self._unavailable_error(prefix)
        backing = self.backing
        self.learn_era(backing.era)
        version = make_version(backing.era, backing.revision)
        return backing.all_objects(), version

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object and return its version."""
        return self._write(name, value, 0)

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace a version of an object and return its new version."""
        if era_of(version) != self._era:
            raise PlatformConflictError(name)
        return self._write(name, value, revision_of(version))

    def _write(self, name: str, value: dict[str, Any], expected: int) -> int:
        if self.is_refused:
            raise PlatformNotReachedError(name)
        if self.silence == 'requests':
            raise PlatformUnavailableError(name)
        written = self.backing.send_write(name, value, expected)
        if self.silence:
            raise PlatformUnavailableError(name)
        self.learn_era(self.backing.era)
        return written

    def _unavailable_error(self, detail: str) -> PlatformUnavailableError:
        if self.silence:
            return PlatformUnavailableError(detail)
        return self.backing.unavailable_error(detail)
