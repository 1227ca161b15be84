"""An event loop of eventlet that leaves descriptors registered.

The library's own registers a descriptor for each wait and takes it out again
afterwards: two calls of the system for most reads of a connection.
"""

from typing import Any

from eventlet.hubs import epolls, hub


def is_available() -> bool:
    """Tell the library whether the system has what this needs."""
    available: bool = epolls.is_available()
    return available


class Hub(epolls.Hub):
    """Takes a descriptor out once it is ready and nobody waits for it."""

    def __init__(self, clock: Any = None) -> None:
        super().__init__(clock)
        self._registered: dict[int, int] = {}  # masks by descriptor
        self._masks = {self.READ: self.READ_MASK, self.WRITE: self.WRITE_MASK}

    def add(
        self, evtype: str, fileno: int, cb: Any, tb: Any, mac: Any
    ) -> hub.FdListener:
        """Wait for a descriptor to be ready, as the library asks for it."""
        listener = hub.BaseHub.add(self, evtype, fileno, cb, tb, mac)
        known = self._registered.get(fileno, 0)
        wanted = known | self._masks[evtype]
        if wanted != known:
            try:
                self._register(fileno, wanted)
            except ValueError:
                # The descriptor is closed: its tasks are told.
                self.remove_descriptor(fileno)
                raise
        return listener

    def remove(self, listener: hub.FdListener) -> None:
        """End a wait; its descriptor stays registered."""
        hub.BaseHub.remove(self, listener)

    def remove_descriptor(self, fileno: int) -> None:
        """Drop a descriptor and all that waits for it."""
        self._registered.pop(fileno, None)
        super().remove_descriptor(fileno)

    def mark_as_reopened(self, fileno: int) -> None:
        """Forget what was known of the descriptor that had this number."""
        super().mark_as_reopened(fileno)
        if fileno in self._registered:
            self._take_out(fileno)

    def do_poll(self, seconds: float) -> list[tuple[int, int]]:
        """Return which descriptors are ready, at the latest after a time."""
        ready: list[tuple[int, int]] = super().do_poll(seconds)
        for fileno, event in ready:
            awaited = self._awaited(fileno)
            if not awaited or event & ~awaited & self._registered.get(
                fileno, 0
            ):
                self._narrow(fileno, awaited)
        return ready

    def _awaited(self, fileno: int) -> int:
        mask = 0
        for evtype, each in self._masks.items():
            if fileno in self.listeners[evtype]:
                mask |= each
        return mask

    def _narrow(self, fileno: int, awaited: int) -> None:
        if awaited:
            self._register(fileno, awaited)
        else:
            self._take_out(fileno)

    def _register(self, fileno: int, mask: int) -> None:
        if fileno in self._registered:
            self.poll.modify(fileno, mask)
        else:
            self.poll.register(fileno, mask)
        self._registered[fileno] = mask

    def _take_out(self, fileno: int) -> None:
        self._registered.pop(fileno, None)
        try:
            self.poll.unregister(fileno)
        except OSError:
            return  # closed meanwhile: the system has taken it out
