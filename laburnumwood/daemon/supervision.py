"""Keeping tasks alive."""

from collections.abc import Callable

import eventlet

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.events import TASK_FAILED

_RESTART_MS = 200


def supervise(task: Callable[[], None]) -> None:
    """Run a task; start it again after any error."""
    while True:
        try:
            return task()
        except Exception as failure:
            name = getattr(task, '__qualname__', task)
            TASK_FAILED.report(task=name, reason=repr(failure))
        eventlet.sleep(_RESTART_MS / MS_PER_SECOND)
