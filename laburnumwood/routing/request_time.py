"""The time of one request: when it arrived, and its deadline."""

import struct
from socket import IPPROTO_TCP
from typing import Any

from laburnumwood.clock import Clock
from laburnumwood.turns import Turns

# The Linux socket option TCP_INFO: see tcp(7) and linux/tcp.h.
_TCP_INFO = 11
_TCP_INFO_SIZE = 56  # bytes
# The retransmission timeout, which is never 0, and the time in ms since the
# last data were received.
_TCP_INFO_FIELDS = struct.Struct('=8xI40xI')
_MAX_WAIT_MS = 60_000  # more than any request is worth waiting for
_UNKNOWN_TIMEOUT_MS = 3_600_000  # until the route of a request is known


def _told_by_system_ms(sock: Any) -> int | None:
    try:
        info = sock.getsockopt(IPPROTO_TCP, _TCP_INFO, _TCP_INFO_SIZE)
        timeout, waited_ms = _TCP_INFO_FIELDS.unpack(info)
    except (OSError, struct.error):
        return None
    is_told = timeout > 0 and waited_ms <= _MAX_WAIT_MS
    return int(waited_ms) if is_told else None


def unread_for_ms(sock: Any, turns: Turns) -> int:
    """Return for how long the last bytes received on a connection have waited.

    They may have waited in the backlog of a listener or while this process was
    busy.  Where the system does not tell, the result is how long they may have
    waited by the turns of the event loop.
    """
    waited_ms = _told_by_system_ms(sock)
    return turns.longest_wait_ms if waited_ms is None else waited_ms


class RequestTime:
    """The arrival of a request's first byte, and its deadline once known.

    The deadline counts from the arrival.  It is set once, and all that is done
    for the request ends by it.
    """

    def __init__(self, clock: Clock, arrived_ms: int) -> None:
        self._clock = clock
        self._arrived_ms = arrived_ms
        self._until_ms = arrived_ms + _UNKNOWN_TIMEOUT_MS
        self.read_ms: int | None = None  # when the whole request was read

    @property
    def elapsed_ms(self) -> int:
        """Return the time since the request arrived, in ms."""
        return self._clock.now_ms() - self._arrived_ms

    @property
    def reading_ms(self) -> int | None:
        """Return the time until the whole request was read, in ms."""
        return None if self.read_ms is None else self.read_ms - self._arrived_ms

    @property
    def left_ms(self) -> int:
        """Return the time until the deadline, negative after it, in ms."""
        return self._until_ms - self._clock.now_ms()

    @property
    def overrun_ms(self) -> int:
        """Return the time since the deadline in ms, 0 if it has not passed."""
        return max(0, -self.left_ms)

    def limit(self, timeout_ms: int) -> int:
        """Set the deadline to some ms after the arrival, and return it."""
        self._until_ms = self._arrived_ms + timeout_ms
        return self._until_ms

    def mark_read(self) -> None:
        """Record that the whole request was read."""
        self.read_ms = self._clock.now_ms()
