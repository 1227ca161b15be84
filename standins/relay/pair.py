"""The two connections of one client that the relay joins."""

import socket
import struct
from contextlib import suppress
from typing import Protocol

import eventlet

from standins.relay.switches import Direction

PIECE_BYTES = 65_536
_ENDED = (OSError, EOFError)  # the latter when closed by another task
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Passage(Protocol):
    """What a pair asks of its route."""

    def greeted(self, pair: 'Pair') -> None:
        """Apply what concerns new connections."""

    def passes(self, pair: 'Pair', direction: Direction, size: int) -> bool:
        """Tell whether a piece goes on."""

    def forget(self, pair: 'Pair') -> None:
        """Drop a pair that has ended."""


class Pair:
    """A client's connection and the one to the target."""

    def __init__(self, client: socket.socket, route: Passage) -> None:
        self.greeting = b''
        self._client = client
        self._target: socket.socket | None = None
        self._route = route
        self._deaf: set[Direction] = set()
        self._is_over = False

    def run(self, address: tuple[str, int], timeout_s: float) -> None:
        """Connect to the target and pass bytes until both ways end."""
        target = socket.create_connection(address, timeout_s)
        self._target = target
        target.settimeout(None)
        for each in (self._client, target):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        upward = eventlet.spawn(
            self._pump, self._client, target, Direction.to_target
        )
        self._pump(target, self._client, Direction.to_client)
        upward.wait()

    def silence(self) -> None:
        """Drop all bytes from now on and keep the connections open."""
        self._deaf.update(Direction)

    def deafen(self, direction: Direction) -> None:
        """Drop all bytes of one direction from now on."""
        self._deaf.add(direction)

    def is_deaf(self, direction: Direction) -> bool:
        """Tell whether the bytes of a direction are dropped."""
        return direction in self._deaf

    def reset(self) -> None:
        """End both connections, without a clean end."""
        if self._is_over:
            return
        self._is_over = True
        self._route.forget(self)
        for each in (self._client, self._target):
            if each is not None:
                _reset(each)

    def _note(self, piece: bytes) -> None:
        if not self.greeting:
            self.greeting = piece
            self._route.greeted(self)

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        direction: Direction,
    ) -> None:
        try:
            while piece := source.recv(PIECE_BYTES):
                self._note(piece)
                if self._route.passes(self, direction, len(piece)):
                    sink.sendall(piece)
        except _ENDED:
            self.reset()
            return
        if not self.is_deaf(direction):
            with suppress(OSError):
                sink.shutdown(socket.SHUT_WR)


def _reset(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        # A reader in another task is woken by the end of the input.
        connection.shutdown(socket.SHUT_RD)
    connection.close()
