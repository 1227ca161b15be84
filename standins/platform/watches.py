"""Watches: calls that wait for the next event."""

from eventlet.event import Event

from standins.clock import MS_PER_SECOND, monotonic_ms
from standins.platform.counts import CallCounts
from standins.platform.faults import Faults
from standins.platform.history import History, StoredObject


class Watches:
    """Holds watches until an event, an outage or the end of their wait."""

    def __init__(
        self,
        history: History,
        faults: Faults,
        counts: CallCounts,
    ) -> None:
        self._history = history
        self._faults = faults
        self._counts = counts
        self._changed = Event()

    def wake(self) -> None:
        """Let every waiting watch look again."""
        changed = self._changed
        self._changed = Event()
        changed.send()

    def wait(
        self,
        prefix: str,
        since: int,
        wait_ms: int,
    ) -> tuple[list[StoredObject], int]:
        """Return the events after a revision, and the revision reached.

        While watches stall, no event is seen and the revision stays at
        `since`, so that nothing is lost once the stall is over.
        """
        deadline_ms = monotonic_ms() + wait_ms
        with self._counts.waiting:
            return self._look(prefix, since, deadline_ms)

    def _look(
        self,
        prefix: str,
        since: int,
        deadline_ms: float,
    ) -> tuple[list[StoredObject], int]:
        reached = since
        while True:
            self._faults.strike_outage()
            events: list[StoredObject] = []
            if not self._faults.settings.watch_stall:
                events = self._history.since(reached, prefix)
                reached = self._history.revision
            left_ms = deadline_ms - monotonic_ms()
            if events or left_ms <= 0:
                return events, reached
            self._changed.wait(timeout=left_ms / MS_PER_SECOND)
