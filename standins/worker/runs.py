"""The work in progress of a worker."""

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
    """One piece of work, which may be stopped before its end."""

    def __init__(
        self,
        order: Order,
        journal: Journal,
        when_over: Callable[['Run'], None],
    ) -> None:
        self.order = order
        self.stop_error: str | None = None
        self.when_stopped: Callable[[], None] | None = None
        self.entry: JournalEntry | None = None
        self._journal = journal
        self._when_over = when_over
        self._stopped = Event()
        self._over = Event()
        self._outcome = Outcome.ran
        self._ending = False
        self._alarm: Any = None

    def start(self) -> JournalEntry:
        """Note the start in the journal and set the deadline."""
        self.entry = self._journal.start(self.order)
        if self.order.deadline_ms is not None:
            left_ms = max(0, self.order.deadline_ms - monotonic_ms())
            self._alarm = eventlet.spawn_after(
                left_ms / MS_PER_SECOND,
                self.stop,
                'deadline',
            )
        return self.entry

    def stop(self, error: str, outcome: Outcome = Outcome.cancelled) -> None:
        """End the work before its time, unless it is over."""
        if self._stopped.ready() or self._ending:
            return
        self.stop_error = error
        self._outcome = outcome
        self._stopped.send()
        if self.when_stopped:
            self.when_stopped()

    def work(self, duration_ms: float) -> bool:
        """Work for some time; return whether it came to its end."""
        self._stopped.wait(timeout=duration_ms / MS_PER_SECOND)
        return not self._stopped.ready()

    def finish(self) -> None:
        """Note the end in the journal; later calls do nothing."""
        if self._ending:
            return
        self._ending = True
        if self._alarm is not None:
            self._alarm.cancel()
        with ExitStack() as stack:
            stack.callback(self._over.send)
            self._when_over(self)
            if self.entry is not None:
                self._journal.finish(self.entry, self._outcome)

    def wait_over(self) -> None:
        """Wait until the journal has the end."""
        self._over.wait()
