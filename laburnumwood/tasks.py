"""Tasks: green threads whose failures are logged.

Nothing else in the package starts green threads.
"""

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.greenthread import GreenThread

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.events import TASK_FAILED, WORK_FAILED

_RESTART_MS = 200
_LONGEST_TOLD = 80  # characters of what a failed task was for

Task = Callable[[], None]


def _name(task: Callable[..., object]) -> object:
    return getattr(task, '__qualname__', task)


def run_logged(act: Callable[..., object], *arguments: Any) -> None:
    """Do something now; what fails in it is logged and goes no further."""
    try:
        act(*arguments)
    except Exception as failure:
        about = [str(each)[:_LONGEST_TOLD] for each in arguments]
        WORK_FAILED.report(task=_name(act), about=about, reason=repr(failure))


def start(task: Callable[..., object], *arguments: Any) -> None:
    """Start a task that ends by itself; a failure of it is logged."""
    eventlet.spawn_n(run_logged, task, *arguments)


def start_joinable(task: Callable[..., Any], *arguments: Any) -> GreenThread:
    """Start a task for whose result, or failure, its starter waits."""
    return eventlet.spawn(task, *arguments)


def supervise(task: Task) -> None:
    """Run a task until it returns, again after each failure."""
    while True:
        try:
            return task()
        except Exception as failure:
            TASK_FAILED.report(task=_name(task), reason=repr(failure))
        eventlet.sleep(_RESTART_MS / MS_PER_SECOND)


class Tasks:
    """Tasks that run until they return, again after each failure."""

    def __init__(self) -> None:
        self._running: list[GreenThread] = []

    def start(self, task: Task) -> None:
        """Start a task."""
        self._running.append(eventlet.spawn(supervise, task))

    def kill(self) -> None:
        """End all tasks at once."""
        for running in self._running:
            running.kill()
