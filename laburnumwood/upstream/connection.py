"""A connection to the worker that notices how and when it ends."""

from socket import MSG_DONTWAIT, MSG_PEEK
from typing import Any

from eventlet.greenio import GreenSocket
from eventlet.hubs import IOClosed
from urllib3.connection import HTTPConnection


class _ResettableSocket(GreenSocket):
    """A socket whose reads fail after a reset.

    The library's own make a reset look like an ordinary end, with which an
    answer without a length is whole.
    """

    def recv_into(
        self, buffer: memoryview, nbytes: int = 0, flags: int = 0
    ) -> int:
        """Read into a buffer and return how much; raises `OSError`."""
        while True:
            try:
                read: int = self.fd.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                self._await_bytes()
            else:
                return read

    def _await_bytes(self) -> None:
        try:
            self._read_trampoline()
        except IOClosed as closed:
            raise ConnectionAbortedError('closed on this side') from closed


class WorkerConnection(HTTPConnection):
    """A connection that finds out without waiting whether it was closed.

    The library asks the hub, which costs a switch of tasks each time.
    """

    @property
    def is_connected(self) -> bool:
        """Tell whether the connection can take another request."""
        if self.sock is None:
            return False
        try:
            # Bytes that nobody asked for spoil a connection as an end does.
            sock: Any = self.sock
            sock.fd.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def _new_conn(self) -> Any:
        connected: Any = super()._new_conn()
        limit_s = connected.gettimeout()
        # The library's socket closes what it holds when it is collected.
        sock = _ResettableSocket(
            connected.family,
            connected.type,
            connected.proto,
            connected.detach(),
        )
        sock.settimeout(limit_s)
        return sock
