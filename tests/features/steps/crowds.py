"""Crowds of callers that send bodies at once, most of which stop short."""

import selectors
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from random import Random

PIECE_SIZE = 50_000  # bytes that one caller sends at a time
SLOW_PIECE_SIZE = 2_000  # of a caller that goes on slowly
SLOW_INTERVAL_S = 0.2
CONNECT_LIMIT_S = 10
ANSWER_LIMIT_S = 20
_COMPLETE, _SLOW, _STOPS = 'complete', 'slow', 'stops'
_ENDINGS = (_COMPLETE, _SLOW, *6 * (_STOPS,))
_NUMBERS = count(1)

Head = Callable[[str, int], bytes]  # of its framing fields and its number


@dataclass(frozen=True, slots=True)
class CrowdPlan:
    """How many callers come, and what each of them may draw.

    `chunk_sizes` are in bytes; 0: the length of the body is given.
    """

    callers: int
    body_sizes: tuple[int, ...]
    chunk_sizes: tuple[int, ...]


@dataclass(slots=True)
class _Caller:
    sock: socket.socket
    body: memoryview
    ending: str
    sent: int = 0

    @property
    def left(self) -> memoryview:
        last = len(self.body) - (self.ending != _COMPLETE)
        size = SLOW_PIECE_SIZE if self.ending == _SLOW else PIECE_SIZE
        return self.body[self.sent : min(last, self.sent + size)]


def chunked(size: int, chunk_size: int) -> bytes:
    """Return a body of `size` bytes in chunks."""
    chunk = b'%x\r\n%b\r\n' % (chunk_size, b'x' * chunk_size)
    return b'%b0\r\n\r\n' % (chunk * (size // chunk_size))


def is_answered(address: tuple[str, int], request: bytes) -> bool:
    """Return whether a request is answered 200 on a new connection."""
    with (
        suppress(OSError),
        socket.create_connection(address, ANSWER_LIMIT_S) as caller,
    ):
        caller.sendall(request)
        return caller.recv(PIECE_SIZE).startswith(b'HTTP/1.1 200 ')
    return False


class Crowd:
    """Callers that come to one address, and come again once refused."""

    def __init__(
        self,
        address: tuple[str, int],
        plan: CrowdPlan,
        head: Head,
        random: Random,
    ) -> None:
        self._address = address
        self._head = head
        self._plan = plan
        self._random = random
        self._selector = selectors.DefaultSelector()
        self._bodies: dict[tuple[int, int], memoryview] = {}
        for _ in range(plan.callers):
            self._join()

    def send(self, seconds: float) -> None:
        """Send for some time; the connections stay open after it."""
        until_s = time.monotonic() + seconds
        slow_s = time.monotonic()
        while time.monotonic() < until_s:
            for key, events in self._selector.select(SLOW_INTERVAL_S):
                self._serve(key.data, events)
            if time.monotonic() >= slow_s:
                slow_s = time.monotonic() + SLOW_INTERVAL_S
                self._serve_slow()

    def close(self) -> None:
        """Close all connections; later calls have no effect."""
        if self._selector.get_map() is None:
            return
        for key in tuple(self._selector.get_map().values()):
            key.data.sock.close()
        self._selector.close()

    def _join(self) -> None:
        size = self._random.choice(self._plan.body_sizes)
        chunk_size = self._random.choice(self._plan.chunk_sizes)
        with suppress(OSError):  # refused: one caller fewer
            sock = socket.create_connection(self._address, CONNECT_LIMIT_S)
            framing = f'Content-Length: {size}'
            if chunk_size:
                framing = 'Transfer-Encoding: chunked'
            sock.sendall(self._head(framing, next(_NUMBERS)))
            sock.setblocking(False)
            body = self._body(size, chunk_size)
            caller = _Caller(sock, body, self._random.choice(_ENDINGS))
            awaited = selectors.EVENT_READ | selectors.EVENT_WRITE
            if caller.ending == _SLOW:
                awaited = selectors.EVENT_READ
            self._selector.register(sock, awaited, caller)

    def _body(self, size: int, chunk_size: int) -> memoryview:
        if (size, chunk_size) not in self._bodies:
            body = chunked(size, chunk_size) if chunk_size else b'x' * size
            self._bodies[size, chunk_size] = memoryview(body)
        return self._bodies[size, chunk_size]

    def _serve_slow(self) -> None:
        for key in tuple(self._selector.get_map().values()):
            if key.data.ending == _SLOW:
                self._serve(key.data, selectors.EVENT_WRITE)

    def _serve(self, caller: _Caller, events: int) -> None:
        is_over = bool(events & selectors.EVENT_READ)  # answer or end
        try:
            if not is_over and caller.left:
                caller.sent += caller.sock.send(caller.left)
        except BlockingIOError:
            return
        except OSError:
            is_over = True
        if is_over:
            self._selector.unregister(caller.sock)
            caller.sock.close()
            self._join()
        elif not caller.left:
            self._selector.modify(caller.sock, selectors.EVENT_READ, caller)
