"""Runs: the units of work that a worker executes."""

from collections.abc import Callable
from contextlib import ExitStack
from typing import Any

import eventlet
from eventlet.event import Event

from standins.clock import MS_PER_SECOND, monotonic_ms
from standins.journal.entry import JournalEntry, Outcome
from standins.worker.journal import Journal
from standins.worker.orders import Order


class Run:
    """One execution of an order, which may be stopped early."""

    def __init__(
        self,
        order: Order,
        journal: Journal,
        on_finished: Callable[['Run'], None],
    ) -> None:
        self.order = order
        self.stop_error: str | None = None
        self.on_stopped: Callable[[], None] | None = None
        self.entry: JournalEntry | None = None
        self._journal = journal
        self._on_finished = on_finished
        self._stopped = Event()
        self._finished = Event()
        self._outcome = Outcome.ran
        self._finishing = False
        self._deadline_timer: Any = None

    def start(self) -> JournalEntry:
        """Record the start in the journal and start the deadline timer."""
        self.entry = self._journal.record_start(self.order)
        if self.order.deadline_ms is not None:
            remaining_ms = max(0, self.order.deadline_ms - monotonic_ms())
            self._deadline_timer = eventlet.spawn_after(
                remaining_ms / MS_PER_SECOND,
                self.stop,
                'deadline',
            )
        return self.entry

    def stop(self, error: str, outcome: Outcome = Outcome.cancelled) -> None:
        """Stop the run early, unless it is already stopping or finished."""
        if self._stopped.ready() or self._finishing:
            return
        self.stop_error = error
        self._outcome = outcome
        self._stopped.send()
        if self.on_stopped:
            self.on_stopped()

    def work(self, duration_ms: float) -> bool:
        """Simulate work for a time; return whether it was not stopped."""
        self._stopped.wait(timeout=duration_ms / MS_PER_SECOND)
        return not self._stopped.ready()

    def finish(self) -> None:
        """Record the end in the journal; later calls have no effect."""
        if self._finishing:
            return
        self._finishing = True
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        with ExitStack() as stack:
            stack.callback(self._finished.send)
            self._on_finished(self)
            if self.entry is not None:
                self._journal.record_end(self.entry, self._outcome)

    def wait_finished(self) -> None:
        """Wait until the end is recorded in the journal."""
        self._finished.wait()
