"""Polling of the worker's load endpoint."""

from collections.abc import Callable

import eventlet

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.upstream.worker import WorkerClient

_POLL_MS = 1_000


class LoadPoller:
    """Polls the worker for its load.

    `on_load` is called with each number of running requests it returns.
    """

    def __init__(
        self, worker: WorkerClient, on_load: Callable[[int], None]
    ) -> None:
        self._worker = worker
        self._on_load = on_load

    def run(self) -> None:
        """Poll periodically; does not return."""
        while True:
            running = self._worker.load()
            if running is not None:
                self._on_load(running)
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
