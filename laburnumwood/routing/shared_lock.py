"""A lock that runs hold on a worker, shared or exclusively."""

from collections.abc import Iterator
from contextlib import contextmanager

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import WorkerBusyError

_POLL_MS = 2
_ACQUIRE_TIMEOUT_MS = 1_000


class SharedLock:
    """A lock that many runs share, or one holds exclusively.

    An exclusive run waits for the others for at most a second; new runs wait
    as long for an exclusive one.  Neither waits beyond its deadline.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._shared_count = 0
        self._is_exclusive = False

    @contextmanager
    def acquired(self, deadline_ms: int, *, exclusive: bool) -> Iterator[None]:
        """Hold a place on the worker; raises `WorkerBusyError`."""
        if exclusive:
            with self._exclusive(deadline_ms):
                yield
            return
        self._await_exclusive_end(deadline_ms)
        self._shared_count += 1
        try:
            yield
        finally:
            self._shared_count -= 1

    @contextmanager
    def _exclusive(self, deadline_ms: int) -> Iterator[None]:
        until_ms = self._await_exclusive_end(deadline_ms)
        self._is_exclusive = True
        try:
            while self._shared_count:
                self._wait(until_ms)
            yield
        finally:
            self._is_exclusive = False

    def _await_exclusive_end(self, deadline_ms: int) -> int:
        until_ms = min(self._clock.now_ms() + _ACQUIRE_TIMEOUT_MS, deadline_ms)
        while self._is_exclusive:
            self._wait(until_ms)
        return until_ms

    def _wait(self, until_ms: int) -> None:
        if self._clock.now_ms() >= until_ms:
            raise WorkerBusyError('no time alone on the worker')
        eventlet.sleep(_POLL_MS / MS_PER_SECOND)
