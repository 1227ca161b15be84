"""A limit on the connections that callers keep open.

Beyond it the connection that has waited for its caller for the longest time
is closed, or the new one if none has waited for long.  Those on which an answer
is sent come last.
"""

from collections.abc import Callable
from contextlib import suppress
from resource import RLIM_INFINITY, RLIMIT_NOFILE, getrlimit
from typing import Any

from eventlet import greenio

from laburnumwood.clock import Clock
from laburnumwood.events import CONNECTION_EVICTED
from laburnumwood.metrics import CONNECTIONS_EVICTED

_MOST_CONNECTIONS = 4_096
# The shares of descriptors and of memory that the connections of callers get.
_DESCRIPTOR_SHARE = 3 / 4
_MEMORY_SHARE = 1 / 4
_CONNECTION_SIZE = 32_768  # bytes of memory, besides what it sends
_MIN_WAIT_MS = 1_000  # a connection that has waited for less is not closed


def connection_limit(
    max_descriptors: int | None = None, memory_bytes: int | None = None
) -> int:
    """Return how many connections of callers a process keeps open.

    `max_descriptors` limits the descriptors in addition to the system, and
    `memory_bytes` is what the process has besides its code; None: not known.
    """
    limits = [_MOST_CONNECTIONS]
    allowed = getrlimit(RLIMIT_NOFILE)[0]
    if allowed != RLIM_INFINITY:
        limits.append(int(allowed * _DESCRIPTOR_SHARE))
    if max_descriptors is not None:
        limits.append(int(max_descriptors * _DESCRIPTOR_SHARE))
    if memory_bytes is not None:
        limits.append(int(memory_bytes * _MEMORY_SHARE) // _CONNECTION_SIZE)
    return max(1, min(limits))


class CallerConnection:
    """One open connection, and since when it has waited for its caller."""

    def __init__(self, close: Callable[[], None], clock: Clock) -> None:
        self._clock = clock
        self._waiting_since_ms: int | None = clock.now_ms()
        self._close = close
        self.is_answering = False
        self.is_closed = False

    @property
    def waited_ms(self) -> int:
        """Return the ms of waiting for its caller, 0 if it does not wait."""
        if self._waiting_since_ms is None:
            return 0
        return self._clock.now_ms() - self._waiting_since_ms

    def begin_wait(self, since_ms: int | None = None) -> None:
        """Record that the caller's next move is awaited, usually from now."""
        if since_ms is None:
            since_ms = self._clock.now_ms()
        self._waiting_since_ms = since_ms

    def begin_answer(self) -> None:
        """Record that the caller is to read an answer from now."""
        self.begin_wait()
        self.is_answering = True

    def end_wait(self) -> None:
        """Record that the connection does not wait for its caller."""
        self._waiting_since_ms = None
        self.is_answering = False

    def close(self) -> None:
        """Close it; what its caller has sent must not be run any more."""
        self.is_closed = True
        self._close()


def _eviction_rank(connection: CallerConnection) -> tuple[bool, bool, int]:
    """Return a value that is greater for what is closed earlier.

    A caller that reads an answer slowly would lose it.
    """
    waited_ms = connection.waited_ms
    is_idle = waited_ms >= _MIN_WAIT_MS
    return is_idle, not connection.is_answering, waited_ms


def _shut_down(sock: Any) -> None:
    """End the reading and writing of a connection in its own task."""
    with suppress(OSError):
        greenio.shutdown_safe(sock)


class ConnectionTable:
    """The connections of callers at one listener."""

    def __init__(self, most: int, clock: Clock) -> None:
        self._clock = clock
        self._connections: dict[CallerConnection, None] = {}
        self.most = most

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def open(self, sock: Any) -> CallerConnection | None:
        """Return the entry of a new connection, None if there is no room."""
        if len(self._connections) >= self.most and not self._evict():
            return None
        connection = CallerConnection(lambda: _shut_down(sock), self._clock)
        self._connections[connection] = None
        return connection

    def remove(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.pop(connection, None)

    def _evict(self) -> bool:
        """Close the connection that has waited longest.

        Returns False, and closes none, if none has waited for long.
        """
        idlest = max(self._connections, key=_eviction_rank)
        waited_ms = idlest.waited_ms
        is_idle = waited_ms >= _MIN_WAIT_MS
        CONNECTION_EVICTED.report(
            is_new=not is_idle, waited_ms=waited_ms, open=len(self)
        )
        CONNECTIONS_EVICTED.record(1, {})
        if is_idle:
            self.remove(idlest)
            idlest.close()
        return is_idle
