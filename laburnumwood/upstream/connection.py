"""Connections to the worker that notice how and when they end.

A connection is opened by urllib3 and read by the standard library's framing
of answers.  Heads are read here: the general parsers of both take longer than
all else that a request costs on its way to the worker.
"""

import re
from collections.abc import Iterable
from http.client import (
    BadStatusLine,
    HTTPException,
    HTTPResponse,
    LineTooLong,
)
from socket import MSG_DONTWAIT, MSG_PEEK
from typing import Any

from eventlet.greenio import GreenSocket
from eventlet.hubs import IOClosed
from urllib3.connection import HTTPConnection

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.header_index import (
    Header,
    HeaderIndex,
    HeadError,
    read_headers,
)

_LONGEST_LINE = 65_536  # bytes
# Of an answer without its body: interim answers, head and trailers together.
_LONGEST_HEAD = 262_144  # bytes
_STATUS_LINE = re.compile(rb'HTTP/1\.([01]) ([1-9][0-9]{2})(?: .*)?\r?\n')
_HEADER_LINE = re.compile(rb'([^\s:\0]+):[ \t]*([^\r\n\0]*?)[ \t]*\r?\n')
_LENGTH = re.compile('[0-9]{1,18}')
_CHUNK_LINE = re.compile(rb'([0-9a-fA-F]{1,15})[ \t]*(?:;[^\r\n]*)?\r?\n')
_BODYLESS = frozenset((204, 304))
_ENDS_OF_TRAILER = frozenset((b'\r\n', b'\n', b''))
_TIMEOUT_PARAMETER = re.compile(r'timeout\s*=\s*([0-9]+)', re.IGNORECASE)
_IDLE_MARGIN_MS = 500  # before the worker closes an idle connection itself


class _ResettableSocket(GreenSocket):
    """A socket whose reads fail after a reset.

    The library's own make a reset look like an ordinary end, with which an
    answer without a length is whole.
    """

    def __init__(self, *args: Any, clock: Clock) -> None:
        super().__init__(*args)
        self._clock = clock
        self._until_ms: int | None = None

    def set_read_deadline(self, until_ms: int) -> None:
        """Let all reads together end at a time, however often a byte comes."""
        self._until_ms = until_ms

    def set_read_timeout(self, limit_ms: int) -> None:
        """Let each read from now on wait for so long at the most."""
        self._until_ms = None
        self.settimeout(limit_ms / MS_PER_SECOND)

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
        if self._until_ms is not None:
            left_ms = self._until_ms - self._clock.now_ms()
            self.settimeout(max(left_ms, 1) / MS_PER_SECOND)
        try:
            self._read_trampoline()
        except IOClosed as closed:
            raise ConnectionAbortedError('closed on this side') from closed


class FramingError(HTTPException):
    """The head of an answer does not say where the answer ends."""


class StrictResponse(HTTPResponse):
    """An answer; only its head is read in another way than the library's."""

    def __init__(self, sock: Any, method: str) -> None:
        super().__init__(sock, method=method)
        self._has_no_body = method == 'HEAD'
        self._head_left = _LONGEST_HEAD
        self.fields: tuple[Header, ...] = ()
        self.index = HeaderIndex(())

    def begin(self) -> None:
        """Read the head; raises `HTTPException` or `OSError`."""
        minor, status = self._read_status_line()
        self.fields = self._read_fields()
        while 100 <= status < 200:
            minor, status = self._read_status_line()
            self.fields = self._read_fields()
        self.index = HeaderIndex(self.fields)
        self.status = status
        self.code = status
        self.version = 10 + minor
        self._frame()

    def _read_line(self) -> bytes:
        longest = min(_LONGEST_LINE, self._head_left)
        line: bytes = self.fp.readline(longest + 1)
        if len(line) > longest:
            raise LineTooLong('head')
        self._head_left -= len(line)
        return line

    def _read_next_chunk_size(self) -> int:
        # The library's own takes signs, underscores and sizes of any length.
        found = _CHUNK_LINE.fullmatch(self._read_line())
        if found is None:
            raise FramingError('the size of a chunk')
        return int(found[1], base=16)

    def _read_and_discard_trailer(self) -> None:
        # The library's own reads on for as long as there are trailers.
        for line in iter(self._read_line, None):
            if line in _ENDS_OF_TRAILER:
                return

    def _read_status_line(self) -> tuple[int, int]:
        line = self._read_line()
        found = _STATUS_LINE.fullmatch(line)
        if found is None:
            raise BadStatusLine(repr(line))
        return int(found[1]), int(found[2])

    def _read_fields(self) -> tuple[Header, ...]:
        try:
            return read_headers(self._read_line, _HEADER_LINE)
        except HeadError as unreadable:
            raise BadStatusLine(str(unreadable)) from unreadable

    def _frame(self) -> None:
        self.chunked = self._is_chunked()
        self.chunk_left = None
        announced = self._announced_length()
        self.length = None if self.chunked else announced
        if self.status in _BODYLESS or self._has_no_body:
            self.length = 0
        is_framed = self.chunked or self.length is not None
        told = self.index.tokens('connection')
        stays = self.version == 11 or 'keep-alive' in told
        is_plain = not (self.chunked and announced is not None)
        keeps = is_framed and is_plain and stays
        self.will_close = not keeps or 'close' in told

    def _is_chunked(self) -> bool:
        codings = self.index.all('transfer-encoding')
        if codings and [each.lower() for each in codings] != ['chunked']:
            raise FramingError(f'transfer-encoding {codings!r}')
        return bool(codings)

    def _announced_length(self) -> int | None:
        lengths = set(self.index.all('content-length'))
        if not lengths:
            return None
        length = lengths.pop()
        if lengths or _LENGTH.fullmatch(length) is None:
            raise FramingError(f'content-length {length!r}')
        return int(length)


class WorkerConnection(HTTPConnection):
    """A connection that sends a request in one piece."""

    def __init__(self, *args: Any, clock: Clock, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._clock = clock
        self.sock: Any
        self._closes_ms: int | None = None  # when the worker closes it if idle
        self._sent = 0  # requests

    def send_request(
        self, head: bytes, body: bytes, method: str, timeout_ms: int
    ) -> StrictResponse:
        """Send a request and return its answer when the head has come.

        Raises `OSError` or `HTTPException`.
        """
        self._sent += 1
        self.sock.settimeout(timeout_ms / MS_PER_SECOND)
        self.sock.set_read_deadline(self._clock.now_ms() + timeout_ms)
        self.sock.sendall(head + body)
        response = StrictResponse(self.sock, method)
        response.begin()
        return response

    @property
    def is_reused(self) -> bool:
        """Tell whether more than one request was sent on it."""
        return self._sent > 1

    def record_keep_alive(self, answer_index: HeaderIndex) -> None:
        """Take in for how long the worker keeps the connection when idle."""
        found = _TIMEOUT_PARAMETER.search(answer_index.first('keep-alive'))
        if found is not None:
            limit_ms = int(found[1]) * MS_PER_SECOND - _IDLE_MARGIN_MS
            self._closes_ms = self._clock.now_ms() + limit_ms

    @property
    def is_connected(self) -> bool:
        """Tell whether the connection can take another request."""
        sock: Any = self.sock
        if sock is None:
            return False
        closes_ms = self._closes_ms
        if closes_ms is not None and self._clock.now_ms() >= closes_ms:
            return False
        try:
            # Bytes that nobody asked for spoil a connection as an end does.
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
            clock=self._clock,
        )
        sock.settimeout(limit_s)
        return sock


def request_head(method: str, target: str, headers: Iterable[Header]) -> bytes:
    """Return the head of a request; raises `ValueError` if it can't be sent."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers]
    head = '\r\n'.join((*lines, '', ''))
    breaks = len(lines) + 1
    if (head.count('\r'), head.count('\n')) != (breaks, breaks):
        raise ValueError('a line break in the head of a request')
    return head.encode('latin1')
