"""The caller behind a request: whether it is still there."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.hubs import trampoline

GoneHandler = Callable[[], None]


class Caller:
    """Watches the connection of a caller while its answer is awaited.

    A caller that ends its side of the connection counts as gone.
    """

    def __init__(self, sock: Any) -> None:
        self._socket = sock
        self._gone = False
        self._when_gone: GoneHandler | None = None
        self._watcher = eventlet.spawn(self._watch)

    @property
    def is_gone(self) -> bool:
        """Tell whether the caller has gone away."""
        return self._gone

    def when_gone(self, act: GoneHandler | None) -> None:
        """Set what is done when the caller goes, in place of the last."""
        self._when_gone = act

    def stop(self) -> None:
        """Watch no longer."""
        self._when_gone = None
        self._watcher.kill()

    def _watch(self) -> None:
        try:
            trampoline(self._socket, read=True)
            gone = not self._socket.fd.recv(1, socket.MSG_PEEK)
        except OSError:
            gone = True
        self._gone = gone
        if gone and self._when_gone is not None:
            self._when_gone()
