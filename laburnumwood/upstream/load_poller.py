"""Polling of the worker's load endpoint."""

from collections.abc import Callable

import eventlet

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.upstream.worker import Worker

_POLL_MS = 1_000


class LoadPoller:
    """Passes on what the worker reports of its load."""

    def __init__(self, worker: Worker, note: Callable[[int], None]) -> None:
        self._worker = worker
        self._note = note

    def run(self) -> None:
        """Ask again and again; does not return."""
        while True:
            running = self._worker.load()
            if running is not None:
                self._note(running)
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
