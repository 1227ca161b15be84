"""HTTP/1.1 on one connection, read strictly, for the stand-ins."""

import socket
from collections.abc import Iterable
from dataclasses import dataclass

_READ = 65_536
Headers = Iterable[tuple[str, str]]


class BrokenAnswerError(ValueError):
    """What came is no complete message."""


@dataclass(frozen=True)
class Head:
    """The first line and the headers of a message."""

    line: str
    fields: tuple[tuple[str, str], ...]

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.line.split(' ')[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.line.split(' ')[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.line.split(' ')[1])

    def first(self, name: str) -> str:
        """Return the first value of a header, '' if there is none."""
        found = (text for each, text in self.fields if each.lower() == name)
        return next(found, '')

    def has(self, name: str) -> bool:
        """Return whether there is a header."""
        return any(each.lower() == name for each, _ in self.fields)


class Connection:
    """A connection with a buffer of what was read ahead."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._buffer = b''
        self.is_ended = False

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.sock.sendall(data)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def ask(
        self, method: str, target: str, headers: Headers, body: bytes = b''
    ) -> tuple[int, Head, bytes]:
        """Send a request; return status, head and body of the answer."""
        self.send(request_bytes(method, target, headers, body))
        return self.read_answer(method)

    def read_answer(self, method: str) -> tuple[int, Head, bytes]:
        """Return status, head and body; raises `BrokenAnswerError`."""
        head = self.read_head()
        while head is not None and 100 <= head.status < 200:
            head = self.read_head()
        if head is None:
            raise BrokenAnswerError('closed without an answer')
        if method == 'HEAD' or head.status in (204, 304):
            return head.status, head, b''
        return head.status, head, self.read_body(head, is_answer=True)

    def read_head(self) -> Head | None:
        """Return the next head, None if the connection ended before it."""
        while b'\r\n\r\n' not in self._buffer:
            if not self._fill():
                if self._buffer:
                    raise BrokenAnswerError('cut in a head')
                return None
        raw, _, self._buffer = self._buffer.partition(b'\r\n\r\n')
        line, *rest = raw.decode('latin1').split('\r\n')
        fields = tuple(
            (name, text.strip())
            for name, _, text in (each.partition(':') for each in rest)
        )
        if not line.startswith('HTTP/1.1 ') and ' HTTP/1.' not in line:
            raise BrokenAnswerError(f'no head: {line[:60]!r}')
        return Head(line, fields)

    def read_body(self, head: Head, *, is_answer: bool = False) -> bytes:
        """Return the whole body; raises `BrokenAnswerError`."""
        if head.first('transfer-encoding').lower() == 'chunked':
            return self._read_chunks()
        if head.has('content-length'):
            return self._read_exactly(int(head.first('content-length')))
        if not is_answer:
            return b''
        while self._fill():
            pass
        body, self._buffer = self._buffer, b''
        return body

    def _read_chunks(self) -> bytes:
        parts = []
        while True:
            size = int(self._read_line().split(b';')[0], 16)
            if not size:
                while self._read_line():
                    pass
                return b''.join(parts)
            parts.append(self._read_exactly(size))
            if self._read_line():
                raise BrokenAnswerError('a chunk is longer than it says')

    def _read_line(self) -> bytes:
        while b'\r\n' not in self._buffer:
            if not self._fill():
                raise BrokenAnswerError('cut in a line')
        line, _, self._buffer = self._buffer.partition(b'\r\n')
        return line

    def _read_exactly(self, size: int) -> bytes:
        while len(self._buffer) < size:
            if not self._fill():
                raise BrokenAnswerError('cut in a body')
        body, self._buffer = self._buffer[:size], self._buffer[size:]
        return body

    def _fill(self) -> bool:
        received = self.sock.recv(_READ)
        if not received:
            self.is_ended = True
        self._buffer += received
        return bool(received)


def request_bytes(
    method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    """Return a request as it is sent, its body with a length."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers]
    if body or method not in ('GET', 'HEAD'):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin1') + body


def connect(address: str, timeout_s: float) -> Connection:
    """Return a new connection to an address such as `host:port`."""
    host, _, port = address.rpartition(':')
    sock = socket.create_connection((host, int(port)), timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(sock)
