"""The client and target connections between which the relay forwards."""

import socket
import struct
from contextlib import suppress
from typing import Protocol

import eventlet

from standins.relay.switches import Direction

MAX_CHUNK_BYTES = 65_536
_CLOSED_ERRORS = (OSError, EOFError)  # EOFError: closed by another task
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class PairRoute(Protocol):
    """The interface of a route that a connection pair calls."""

    def apply_to_new(self, pair: 'ConnectionPair') -> None:
        """Apply the switches for new connections, on the first bytes."""

    def should_forward(
        self, pair: 'ConnectionPair', direction: Direction, size: int
    ) -> bool:
        """Return whether to forward a chunk of `size` bytes."""

    def remove(self, pair: 'ConnectionPair') -> None:
        """Remove a closed pair."""


class ConnectionPair:
    """A connection from a client and the one to its target."""

    def __init__(self, client: socket.socket, route: PairRoute) -> None:
        self.first_chunk = b''
        self._client = client
        self._target: socket.socket | None = None
        self._route = route
        self._dropped_directions: set[Direction] = set()
        self._is_closed = False

    def run(self, address: tuple[str, int], timeout_s: float) -> None:
        """Connect to the target and forward until both directions end.

        Raises OSError if the target cannot be reached.
        """
        target = socket.create_connection(address, timeout_s)
        self._target = target
        target.settimeout(None)
        for connection in (self._client, target):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        to_target_task = eventlet.spawn(
            self._forward, self._client, target, Direction.to_target
        )
        self._forward(target, self._client, Direction.to_client)
        to_target_task.wait()

    def drop_all(self) -> None:
        """Drop all further bytes and keep the connections open."""
        self._dropped_directions.update(Direction)

    def drop_direction(self, direction: Direction) -> None:
        """Drop all further bytes of one direction."""
        self._dropped_directions.add(direction)

    def is_dropped(self, direction: Direction) -> bool:
        """Return whether the bytes of a direction are dropped."""
        return direction in self._dropped_directions

    def reset(self) -> None:
        """Close both connections with a TCP reset."""
        if self._is_closed:
            return
        self._is_closed = True
        self._route.remove(self)
        for connection in (self._client, self._target):
            if connection is not None:
                _reset(connection)

    def _record_first_chunk(self, chunk: bytes) -> None:
        if not self.first_chunk:
            self.first_chunk = chunk
            self._route.apply_to_new(self)

    def _forward(
        self,
        source: socket.socket,
        sink: socket.socket,
        direction: Direction,
    ) -> None:
        try:
            while chunk := source.recv(MAX_CHUNK_BYTES):
                self._record_first_chunk(chunk)
                if self._route.should_forward(self, direction, len(chunk)):
                    sink.sendall(chunk)
        except _CLOSED_ERRORS:
            self.reset()
            return
        if not self.is_dropped(direction):
            with suppress(OSError):
                sink.shutdown(socket.SHUT_WR)


def _reset(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        # The end of the input wakes a task that is blocked in recv().
        connection.shutdown(socket.SHUT_RD)
    connection.close()
