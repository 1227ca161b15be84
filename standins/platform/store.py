"""The objects of the platform, with conditional writes."""

from typing import Any

from sortedcontainers import SortedDict

from standins.answers import RefusedError
from standins.platform.history import History, StoredObject


class ObjectStore:
    """Values by name; every write increments one global revision."""

    def __init__(self, history: History) -> None:
        self._by_name: SortedDict[str, StoredObject] = SortedDict()
        self._history = history

    @property
    def revision(self) -> int:
        """Return the revision of the last write."""
        return self._history.revision

    def read(self, name: str) -> StoredObject:
        """Return an object; raise RefusedError (404) if it does not exist."""
        if name not in self._by_name:
            raise RefusedError(404, 'not-found')
        return self._by_name[name]

    def list_objects(self, prefix: str) -> list[StoredObject]:
        """Return all objects with a name prefix, sorted by name."""
        found = []
        for name in self._by_name.irange(prefix):
            if not name.startswith(prefix):
                break
            found.append(self._by_name[name])
        return found

    def create(self, name: str, value: Any) -> StoredObject:
        """Create an object; raise RefusedError (412) if it exists."""
        self._check_version(name, None)
        return self._write(name, value)

    def update(self, name: str, value: Any, version: int) -> StoredObject:
        """Replace an object; raise RefusedError (412) on another version."""
        self._check_version(name, version)
        return self._write(name, value)

    def delete(self, name: str, version: int) -> StoredObject:
        """Delete an object; raise RefusedError (412) on another version.

        Raises RefusedError (404) if the object does not exist.
        """
        self.read(name)
        self._check_version(name, version)
        deletion = StoredObject(name, None, self.revision + 1)
        self._by_name.pop(name)
        self._history.append(deletion)
        return deletion

    def put_back(self, span_ms: int) -> None:
        """Come back from a copy that is `span_ms` old."""
        self._replace(self._history.forget_last(span_ms))

    def put_back_before(self, prefix: str) -> None:
        """Come back from a copy of before any name with a prefix existed."""
        self._replace(self._history.forget_from(prefix))

    def _replace(self, events: list[StoredObject]) -> None:
        """Replace all objects by the outcome of events."""
        self._by_name.clear()
        for event in events:
            if event.value is None:
                self._by_name.pop(event.name)
            else:
                self._by_name[event.name] = event

    def _check_version(self, name: str, version: int | None) -> None:
        stored = self._by_name.get(name)
        current = stored.version if stored else None
        if current != version:
            raise RefusedError(412, 'conflict', version=current)

    def _write(self, name: str, value: Any) -> StoredObject:
        written = StoredObject(name, value, self.revision + 1)
        self._by_name[name] = written
        self._history.append(written)
        return written
