"""The objects of the platform and their conditional writes."""

from typing import Any

from sortedcontainers import SortedDict

from standins.answers import RefusedError
from standins.platform.history import History, StoredObject


class ObjectStore:
    """Named values; every write raises the one global revision."""

    def __init__(self, history: History) -> None:
        self._by_name: SortedDict[str, StoredObject] = SortedDict()
        self._history = history

    @property
    def revision(self) -> int:
        """Return the revision of the last write."""
        return self._history.revision

    def read(self, name: str) -> StoredObject:
        """Return one object."""
        if name not in self._by_name:
            raise RefusedError(404, 'not-found')
        return self._by_name[name]

    def listing(self, prefix: str) -> list[StoredObject]:
        """Return all objects whose names begin with the prefix, sorted."""
        found = []
        for name in self._by_name.irange(prefix):
            if not name.startswith(prefix):
                break
            found.append(self._by_name[name])
        return found

    def create(self, name: str, value: Any) -> StoredObject:
        """Write an object that must not exist yet."""
        self._expect(name, None)
        return self._write(name, value)

    def update(self, name: str, value: Any, version: int) -> StoredObject:
        """Replace an object that must have this version."""
        self._expect(name, version)
        return self._write(name, value)

    def delete(self, name: str, version: int) -> StoredObject:
        """Delete an object that must have this version."""
        self.read(name)
        self._expect(name, version)
        deletion = StoredObject(name, None, self.revision + 1)
        self._by_name.pop(name)
        self._history.append(deletion)
        return deletion

    def _expect(self, name: str, version: int | None) -> None:
        stored = self._by_name.get(name)
        current = stored.version if stored else None
        if current != version:
            raise RefusedError(412, 'conflict', version=current)

    def _write(self, name: str, value: Any) -> StoredObject:
        written = StoredObject(name, value, self.revision + 1)
        self._by_name[name] = written
        self._history.append(written)
        return written
