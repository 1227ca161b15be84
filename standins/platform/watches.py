"""Watches: long-polling calls that wait for the next event."""

from eventlet.event import Event

from standins.clock import MS_PER_SECOND, monotonic_ms
from standins.platform.counts import CallCounts
from standins.platform.faults import Faults
from standins.platform.history import History, StoredObject


class Watches:
    """Blocks watch calls until an event, an outage or their timeout."""

    def __init__(
        self,
        history: History,
        faults: Faults,
        counts: CallCounts,
    ) -> None:
        self._history = history
        self._faults = faults
        self._counts = counts
        self._change_event = Event()

    def notify(self) -> None:
        """Make every blocked watch check for events and outages again."""
        change_event = self._change_event
        self._change_event = Event()
        change_event.send()

    def wait_for_events(
        self,
        prefix: str,
        since: int,
        wait_ms: int,
    ) -> tuple[list[StoredObject], int]:
        """Return the events after revision `since` and the revision reached.

        Blocks until there is an event or `wait_ms` have passed; raises
        DroppedError during an outage.

        While watches are stalled, no events are returned and the revision
        stays at `since`, so no event is lost once the stall is over.
        """
        deadline_ms = monotonic_ms() + wait_ms
        with self._counts.waiting_watches:
            return self._wait_until(prefix, since, deadline_ms)

    def _wait_until(
        self,
        prefix: str,
        since: int,
        deadline_ms: float,
    ) -> tuple[list[StoredObject], int]:
        reached = since
        while True:
            self._faults.apply_outage()
            events: list[StoredObject] = []
            if not self._faults.settings.watch_stall:
                events = self._history.since(reached, prefix)
                reached = self._history.revision
            remaining_ms = deadline_ms - monotonic_ms()
            if events or remaining_ms <= 0:
                return events, reached
            self._change_event.wait(timeout=remaining_ms / MS_PER_SECOND)
