"""An eventlet hub for a process that is busy at times.

It keeps file descriptors registered with epoll.  Eventlet's own hub registers a
descriptor for each wait and unregisters it afterwards, which costs two system
calls for most reads of a connection.

It reads what has come before it lets late time limits end.  After a long turn
eventlet's own hub fires all timers that are due first, so that a task whose
answer came in time, but during that turn, is told that there was none.
"""

import heapq
from typing import Any

from eventlet.hubs import epolls, hub
from eventlet.hubs.timer import Timer

from laburnumwood.clock import Clock
from laburnumwood.turns import TURNS

_CLOCK = Clock()
_LATE_S = 0.005  # from which a turn is late for a time limit
# From the task that reads to the one that waits for what it has read.
_TASKS_TO_WAITER = 4

Timers = list[tuple[float, Timer]]


def is_available() -> bool:
    """Return whether the operating system has epoll."""
    available: bool = epolls.is_available()
    return available


def _name(function: Any) -> str:
    return getattr(function, '__name__', '')


def is_time_limit(timer: Timer) -> bool:
    """Return whether a timer ends the wait of a task by an exception."""
    return not timer.called and _name(timer.tpl[0]) == 'throw'


class Hub(epolls.Hub):
    """An epoll hub that unregisters descriptors lazily.

    A descriptor is unregistered when it is ready while no task waits for it.
    A time limit whose turn comes late ends after the tasks that were woken by
    what had come until then.
    """

    def __init__(self, clock: Any = None) -> None:
        super().__init__(clock)
        self._registered: dict[int, int] = {}  # event masks by descriptor
        self._masks = {self.READ: self.READ_MASK, self.WRITE: self.WRITE_MASK}

    def add(
        self, evtype: str, fileno: int, cb: Any, tb: Any, mac: Any
    ) -> hub.FdListener:
        """Register a wait for a descriptor, as `BaseHub.add` does."""
        listener = hub.BaseHub.add(self, evtype, fileno, cb, tb, mac)
        known = self._registered.get(fileno, 0)
        wanted = known | self._masks[evtype]
        if wanted != known:
            try:
                self._register(fileno, wanted)
            except ValueError:
                # The descriptor is closed: its listeners are defunct.
                self.remove_descriptor(fileno)
                raise
        return listener

    def remove(self, listener: hub.FdListener) -> None:
        """Remove a wait; its descriptor stays registered."""
        hub.BaseHub.remove(self, listener)

    def remove_descriptor(self, fileno: int) -> None:
        """Remove a descriptor and every wait for it."""
        self._registered.pop(fileno, None)
        super().remove_descriptor(fileno)

    def mark_as_reopened(self, fileno: int) -> None:
        """Unregister a descriptor whose number is in use again."""
        super().mark_as_reopened(fileno)
        if fileno in self._registered:
            self._unregister(fileno)

    def do_poll(self, seconds: float) -> list[tuple[int, int]]:
        """Return the descriptors that are ready and their event masks.

        Waits for no longer than `seconds`.
        """
        began_ms = _CLOCK.now_ms()
        ready: list[tuple[int, int]] = super().do_poll(seconds)
        TURNS.record_wait(began_ms, _CLOCK.now_ms())
        for fileno, event in ready:
            awaited = self._awaited_mask(fileno)
            if not awaited or event & ~awaited & self._registered.get(
                fileno, 0
            ):
                self._narrow_registration(fileno, awaited)
        return ready

    def fire_timers(self, when: float) -> None:
        """Run the timers that are due, late time limits last."""
        late = self._take_late_limits(when)
        super().fire_timers(when)
        if late:
            self.wait(0)
            for _ in range(_TASKS_TO_WAITER):
                self.prepare_timers()
                super().fire_timers(self.clock())
            for each in late:
                heapq.heappush(self.timers, each)
            super().fire_timers(when)

    def _take_late_limits(self, when: float) -> Timers:
        if not self.timers or self.timers[0][0] > when - _LATE_S:
            return []
        late: Timers = []
        others: Timers = []
        while self.timers and self.timers[0][0] <= when:
            due = heapq.heappop(self.timers)
            if due[1].called:
                self.timers_canceled -= 1
            else:
                (late if is_time_limit(due[1]) else others).append(due)
        for each in others:
            heapq.heappush(self.timers, each)
        return late

    def _awaited_mask(self, fileno: int) -> int:
        mask = 0
        for evtype, each in self._masks.items():
            if fileno in self.listeners[evtype]:
                mask |= each
        return mask

    def _narrow_registration(self, fileno: int, awaited: int) -> None:
        if awaited:
            self._register(fileno, awaited)
        else:
            self._unregister(fileno)

    def _register(self, fileno: int, mask: int) -> None:
        if fileno in self._registered:
            self.poll.modify(fileno, mask)
        else:
            self.poll.register(fileno, mask)
        self._registered[fileno] = mask

    def _unregister(self, fileno: int) -> None:
        self._registered.pop(fileno, None)
        try:
            self.poll.unregister(fileno)
        except OSError:
            return  # closed meanwhile, which has unregistered it
