"""An event loop over a clock that jumps from one timer to the next."""

import heapq
from collections.abc import Callable
from typing import Any
from weakref import WeakKeyDictionary

from eventlet.event import Event
from eventlet.hubs import get_hub, use_hub
from eventlet.hubs.hub import BaseHub
from eventlet.hubs.timer import Timer
from greenlet import getcurrent

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.hub import is_time_limit

_START_S = 1_000.0
_LIMIT_S = 1e-4  # after a turn begins, late time limits end


class Process:
    """A simulated process, which owns the green threads that it starts.

    It takes no turn before `busy_until_s`, and none once it has ended.
    """

    def __init__(self) -> None:
        self.busy_until_s: float = 0
        self.has_ended = False


class VirtualHub(BaseHub):
    """A hub without descriptors, whose clock jumps to the next timer.

    A timer belongs to the process whose green thread sets it, and so does each
    thread that a timer starts.
    """

    def __init__(self, _clock: Any = None) -> None:
        self.now_s = _START_S
        self._owners: WeakKeyDictionary[Any, Process] = WeakKeyDictionary()
        self._timer_count = 0
        self._firing: Process | None = None  # the owner of the timer that runs
        super().__init__(lambda: self.now_s)

    @classmethod
    def is_available(cls) -> bool:
        """Return that the hub can be used anywhere."""
        return True

    def wait(self, _seconds: float | None = None) -> None:
        """Let the time of the next timer come."""
        due_s = self.sleep_until()
        if due_s is None:
            raise RuntimeError('nothing is left to wait for')
        self.now_s = max(self.now_s, due_s)

    def add_timer(self, timer: Timer) -> float:
        """Add a timer of the process that runs now."""
        if not hasattr(timer, 'owner'):
            thread = getcurrent()
            is_own = thread is self.greenlet
            timer.owner = self._firing if is_own else self._owners.get(thread)
        self._timer_count += 1
        timer.order = self._timer_count
        return float(super().add_timer(timer))

    def call_for(
        self,
        owner: Process | None,
        delay_s: float,
        call: Callable[..., Any],
        *arguments: Any,
    ) -> None:
        """Let a process make a call, None: the world around the processes."""
        timer = Timer(delay_s, call, *arguments)
        timer.owner = owner
        self.add_timer(timer)

    def fire_timers(self, when: float) -> None:
        """Run the timers that are due, but for those of busy processes."""
        while self.timers and self.timers[0][0] <= when:
            _, timer = heapq.heappop(self.timers)
            if timer.called:
                self.timers_canceled -= 1
            elif timer.owner is None or not timer.owner.has_ended:
                self._fire(timer, when)

    def _fire(self, timer: Timer, when: float) -> None:
        owner = timer.owner
        if owner is not None and owner.busy_until_s > when:
            # As the hub of the product: what has come goes before time limits.
            wait_s = _LIMIT_S if is_time_limit(timer) else 0
            self.next_timers.append((owner.busy_until_s + wait_s, timer))
            return
        thread = getattr(timer.tpl[0], '__self__', None)
        if owner is not None and hasattr(thread, 'gr_frame'):
            self._owners.setdefault(thread, owner)
        self._firing = owner
        try:
            timer()
        finally:
            self._firing = None


class _Waiters(dict[Any, None]):
    """The threads that wait for an event, in the order of their coming."""

    def add(self, thread: Any) -> None:
        """Add a thread."""
        self[thread] = None

    def discard(self, thread: Any) -> None:
        """Remove a thread if it waits."""
        self.pop(thread, None)


def _make_ordered(event: Event) -> None:
    event._waiters = _Waiters()
    event.reset()


class VirtualClock(Clock):
    """The clock of a virtual hub."""

    def now_ms(self) -> int:
        """Return the virtual time in ms."""
        return int(hub().now_s * MS_PER_SECOND)

    def wall_ms(self) -> int:
        """Return the virtual time in ms."""
        return self.now_ms()


def _was_added_before(timer: Timer, other: Timer) -> bool:
    return bool(timer.order < other.order)


def use_virtual_time() -> None:
    """Let all green threads of this operating system thread run on it."""
    use_hub(VirtualHub)
    # What is due at the same time runs in an order that repeats.
    Timer.__lt__ = _was_added_before
    Event.__init__ = _make_ordered


def hub() -> VirtualHub:
    """Return the virtual hub in use."""
    current: VirtualHub = get_hub()
    return current
