"""The bounded history of writes, from which watches read events."""

from collections import deque
from dataclasses import dataclass
from itertools import islice, takewhile
from typing import Any

from standins.answers import RefusedError
from standins.clock import monotonic_ms

MAX_HISTORY_EVENTS = 20_000


@dataclass(frozen=True, slots=True)
class StoredObject:
    """The state of an object after a write; a deletion has the value None.

    `version` is the revision of the store that the write produced.
    """

    name: str
    value: Any
    version: int


class History:
    """The most recent writes in order; every write has its own revision."""

    def __init__(self, limit: int = MAX_HISTORY_EVENTS) -> None:
        self._events: deque[StoredObject] = deque(maxlen=limit)
        self._times_ms: deque[float] = deque(maxlen=limit)
        self.revision = 0

    def append(self, event: StoredObject) -> None:
        """Append the event of the next revision."""
        self._events.append(event)
        self._times_ms.append(monotonic_ms())
        self.revision = event.version

    def forget_last(self, span_ms: int) -> list[StoredObject]:
        """Forget the events of the last `span_ms`; return the others.

        The revisions of the forgotten events are given out again.
        """
        limit_ms = monotonic_ms() - span_ms
        while self._times_ms and self._times_ms[-1] > limit_ms:
            self._times_ms.pop()
            self.revision = self._events.pop().version - 1
        return list(self._events)

    def forget_from(self, prefix: str) -> list[StoredObject]:
        """Forget the first event for a name with a prefix and all after it.

        Return the others.  The revisions of the forgotten events are given
        out again.
        """
        events = list(self._events)
        kept = list(
            takewhile(lambda event: not event.name.startswith(prefix), events)
        )
        for forgotten in reversed(events[len(kept) :]):
            self._events.pop()
            self._times_ms.pop()
            self.revision = forgotten.version - 1
        return kept

    def since(self, revision: int, prefix: str) -> list[StoredObject]:
        """Return the events after a revision for names with a prefix.

        Raises RefusedError (410) where the history no longer holds them all,
        or where the revision is later than the last write.
        """
        compacted_count = self.revision - len(self._events)
        if not compacted_count <= revision <= self.revision:
            raise RefusedError(410, 'compacted')
        later = islice(self._events, revision - compacted_count, None)
        return [event for event in later if event.name.startswith(prefix)]
