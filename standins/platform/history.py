"""The bounded history of writes that watches read."""

from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import Any

from standins.answers import RefusedError

HISTORY_EVENTS = 20_000


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as of one write; the value of a deletion is None."""

    name: str
    value: Any
    version: int


class History:
    """The latest writes in order; every write has its own revision."""

    def __init__(self, limit: int = HISTORY_EVENTS) -> None:
        self._events: deque[StoredObject] = deque(maxlen=limit)
        self.revision = 0

    def append(self, event: StoredObject) -> None:
        """Add the event of the next revision."""
        self._events.append(event)
        self.revision = event.version

    def since(self, revision: int, prefix: str) -> list[StoredObject]:
        """Return the events after a revision under a prefix."""
        compacted = self.revision - len(self._events)
        if not compacted <= revision <= self.revision:
            raise RefusedError(410, 'compacted')
        later = islice(self._events, revision - compacted, None)
        return [event for event in later if event.name.startswith(prefix)]
