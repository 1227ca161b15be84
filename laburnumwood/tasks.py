"""Tasks: green threads whose failures are logged.

Nothing else in the package starts green threads.
"""

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.greenthread import GreenThread

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.events import TASK_FAILED, WORK_FAILED

_RESTART_DELAY_MS = 200
_MAX_ARGUMENT_LENGTH = 80  # characters of an argument in a log line

Task = Callable[[], None]


def _name(task: Callable[..., object]) -> object:
    return getattr(task, '__qualname__', task)


def run_logged(function: Callable[..., object], *arguments: Any) -> None:
    """Call a function; log an exception that it raises and suppress it."""
    try:
        function(*arguments)
    except Exception as failure:
        about = [str(each)[:_MAX_ARGUMENT_LENGTH] for each in arguments]
        WORK_FAILED.report(
            task=_name(function), about=about, reason=repr(failure)
        )


def start(task: Callable[..., object], *arguments: Any) -> None:
    """Start a task whose result is ignored; its failure is logged."""
    eventlet.spawn_n(run_logged, task, *arguments)


def start_joinable(task: Callable[..., Any], *arguments: Any) -> GreenThread:
    """Start a task and return its thread.

    The thread's `wait` returns the result of the task or raises its failure.
    """
    return eventlet.spawn(task, *arguments)


def supervise(task: Task) -> None:
    """Run a task until it returns; log each failure and run it again."""
    while True:
        try:
            return task()
        except Exception as failure:
            TASK_FAILED.report(task=_name(task), reason=repr(failure))
        eventlet.sleep(_RESTART_DELAY_MS / MS_PER_SECOND)


class Tasks:
    """Tasks that run until they return, restarted after each failure."""

    def __init__(self) -> None:
        self._running: list[GreenThread] = []

    def start(self, task: Task) -> None:
        """Start a task."""
        self._running.append(eventlet.spawn(supervise, task))

    def kill(self) -> None:
        """Kill all tasks."""
        for running in self._running:
            running.kill()
