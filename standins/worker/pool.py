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
        """Tell whether every slot is taken."""
        return len(self._runs) >= self.slots

    @property
    def draining(self) -> bool:
        """Tell whether new work is refused."""
        return self.status.latest != 'ok'

    def open_run(self, order: Order, journal: Journal) -> Run:
        """Take a slot for an order."""
        run = Run(order, journal, self._close_run)
        self._runs.add(run)
        self.running.note(len(self._runs))
        return run

    def cancel(self, request: str) -> bool:
        """Stop the runs of a request; return whether there were any."""
        found = [run for run in self._runs if run.order.request == request]
        for run in found:
            run.stop('cancelled')
        for stopped in found:
            stopped.wait_over()
        errors = {over.stop_error for over in found}
        return 'cancelled' in errors

    def drain(self, limit_ms: int) -> None:
        """Refuse new work; stop what still runs after a limit above 0."""
        self.status.note('draining')
        if limit_ms:
            eventlet.spawn_after(limit_ms / MS_PER_SECOND, self._stop_all)

    def _stop_all(self) -> None:
        for run in tuple(self._runs):
            run.stop('stopped')

    def _close_run(self, run: Run) -> None:
        self._runs.discard(run)
        self.running.note(len(self._runs))
