"""Supervision of the daemon's tasks."""

from collections.abc import Callable

import eventlet
from eventlet.greenthread import GreenThread

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.events import TASK_FAILED

_RESTART_MS = 200


Task = Callable[[], None]


def _supervise(task: Task) -> None:
    while True:
        try:
            return task()
        except Exception as failure:
            name = getattr(task, '__qualname__', task)
            TASK_FAILED.report(task=name, reason=repr(failure))
        eventlet.sleep(_RESTART_MS / MS_PER_SECOND)


class Tasks:
    """Tasks that run until they return, again after each error."""

    def __init__(self) -> None:
        self._running: list[GreenThread] = []

    def start(self, task: Task) -> None:
        """Start a task."""
        self._running.append(eventlet.spawn(_supervise, task))

    def kill(self) -> None:
        """End all tasks at once."""
        for running in self._running:
            running.kill()
