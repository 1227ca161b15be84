"""The slots of a worker and the runs that occupy them."""

import eventlet

from standins.clock import MS_PER_SECOND
from standins.worker.journal import Journal
from standins.worker.lagged import Lagged
from standins.worker.orders import Order
from standins.worker.runs import Run


class RunPool:
    """Holds the runs in progress, at most one for each slot."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = Lagged(0)
        self.status = Lagged('ok')
        self._runs: set[Run] = set()

    @property
    def full(self) -> bool:
        """Return whether every slot is occupied."""
        return len(self._runs) >= self.slots

    @property
    def draining(self) -> bool:
        """Return whether new work is refused."""
        return self.status.latest != 'ok'

    def open_run(self, order: Order, journal: Journal) -> Run:
        """Create a run for an order; it occupies a slot until it finishes."""
        run = Run(order, journal, self._release_slot)
        self._runs.add(run)
        self.running.record(len(self._runs))
        return run

    def cancel(self, request: str) -> bool:
        """Cancel the runs of a request and wait until they finish.

        Returns whether any run ended because of the cancellation.
        """
        matching = [run for run in self._runs if run.order.request == request]
        for run in matching:
            run.stop('cancelled')
        for cancelled in matching:
            cancelled.wait_finished()
        errors = {finished.stop_error for finished in matching}
        return 'cancelled' in errors

    def drain(self, limit_ms: int) -> None:
        """Refuse new work.

        If the limit is above 0, the runs still in progress after that many
        milliseconds are stopped.
        """
        self.status.record('draining')
        if limit_ms:
            eventlet.spawn_after(limit_ms / MS_PER_SECOND, self._stop_all)

    def _stop_all(self) -> None:
        for run in tuple(self._runs):
            run.stop('stopped')

    def _release_slot(self, run: Run) -> None:
        self._runs.discard(run)
        self.running.record(len(self._runs))
