"""An eventlet hub that keeps file descriptors registered with epoll.

Eventlet's own hub registers a descriptor for each wait and unregisters it
afterwards, which costs two system calls for most reads of a connection.
"""

from typing import Any

from eventlet.hubs import epolls, hub

from laburnumwood.clock import Clock
from laburnumwood.turns import TURNS

_CLOCK = Clock()


def is_available() -> bool:
    """Return whether the operating system has epoll."""
    available: bool = epolls.is_available()
    return available


class Hub(epolls.Hub):
    """An epoll hub that unregisters descriptors lazily.

    A descriptor is unregistered when it is ready while no task waits for it.
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
