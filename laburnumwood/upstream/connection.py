"""Connections to the worker that detect truncated and misframed answers.

Connections are opened by urllib3, and bodies are read by the standard
library.  The heads of answers are parsed here, because the general parsers of
both take longer than all other work of sending a request to the worker.
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
from laburnumwood.resources.bodies import Body
from laburnumwood.upstream.sent_requests import SentRequests

_MAX_LINE_BYTES = 65_536
# Interim answers, head and trailers of one answer together.
_MAX_HEAD_BYTES = 262_144
_STATUS_LINE = re.compile(rb'HTTP/1\.([01]) ([1-9][0-9]{2})(?: .*)?\r?\n')
_HEADER_LINE = re.compile(rb'([^\s:\0]+):([^\r\n\0]*)\r?\n')
_MAX_HEADERS = 100
_MAX_COPIED_BYTES = 65_536  # of a body, to send it with the head
_CONTENT_LENGTH = re.compile('[0-9]{1,18}')
_CHUNK_LINE = re.compile(rb'([0-9a-fA-F]{1,15})[ \t]*(?:;[^\r\n]*)?\r?\n')
# Status 101 ends HTTP on a connection and isn't asked for.
_INTERIM_STATUSES = frozenset(range(100, 200)) - {101}
_FINAL_STATUSES = range(200, 600)
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
_ENDS_OF_TRAILERS = frozenset((b'\r\n', b'\n', b''))
_TIMEOUT_PARAMETER = re.compile(r'timeout\s*=\s*([0-9]+)', re.IGNORECASE)
# A connection is not reused in this time before the worker, by its Keep-Alive
# timeout, closes it.
_IDLE_MARGIN_MS = 500


class _ResettableSocket(GreenSocket):
    """A socket whose reads raise an error after a connection reset.

    The reads of eventlet's own class treat a reset as an ordinary end of the
    stream, which would make a truncated answer without a length look complete.
    """

    def __init__(self, *args: Any, clock: Clock) -> None:
        super().__init__(*args)
        self._clock = clock
        self._deadline_ms: int | None = None

    def set_read_deadline(self, deadline_ms: int) -> None:
        """Limit all further reads together by a deadline.

        Unlike a timeout, a deadline is not extended by each byte received.
        """
        self._deadline_ms = deadline_ms

    def set_read_timeout(self, timeout_ms: int) -> None:
        """Remove the deadline and limit each further read by a timeout."""
        self._deadline_ms = None
        self.settimeout(timeout_ms / MS_PER_SECOND)

    def recv_into(
        self, buffer: memoryview, nbytes: int = 0, flags: int = 0
    ) -> int:
        """Read into a buffer and return the number of bytes read.

        Raises `OSError`, also after a reset; the deadline and the timeout
        raise its subclass `TimeoutError`.
        """
        while True:
            try:
                read: int = self.fd.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                self._wait_until_readable()
            else:
                return read

    def _wait_until_readable(self) -> None:
        if self._deadline_ms is not None:
            left_ms = self._deadline_ms - self._clock.now_ms()
            self.settimeout(max(left_ms, 1) / MS_PER_SECOND)
        try:
            self._read_trampoline()
        except IOClosed as closed:
            raise ConnectionAbortedError('closed on this side') from closed


class FramingError(HTTPException):
    """An answer does not say unambiguously where it ends."""


class StrictResponse(HTTPResponse):
    """An HTTP response with strict parsing of its head and framing.

    Anything but the head, the chunk sizes and the trailers is read as by the
    standard library.
    """

    def __init__(self, sock: Any, method: str) -> None:
        super().__init__(sock, method=method)
        self._has_no_body = method == 'HEAD'
        self._head_bytes_left = _MAX_HEAD_BYTES
        self.fields: tuple[Header, ...] = ()
        self.index = HeaderIndex(())

    def begin(self) -> None:
        """Read the head, skipping interim answers.

        Raises `HTTPException`, also for a status that no answer has, or
        `OSError`.
        """
        minor, status = self._read_status_line()
        self.fields = self._read_fields()
        while status in _INTERIM_STATUSES:
            minor, status = self._read_status_line()
            self.fields = self._read_fields()
        if status not in _FINAL_STATUSES:
            raise BadStatusLine(str(status))
        self.index = HeaderIndex(self.fields)
        self.status = status
        self.code = status
        self.version = 10 + minor
        self._set_framing()

    def _read_line(self) -> bytes:
        longest = min(_MAX_LINE_BYTES, self._head_bytes_left)
        line: bytes = self.fp.readline(longest + 1)
        if len(line) > longest:
            raise LineTooLong('head')
        self._head_bytes_left -= len(line)
        return line

    def _read_next_chunk_size(self) -> int:
        # The standard library accepts signs, underscores and sizes of any
        # length.
        match = _CHUNK_LINE.fullmatch(self._read_line())
        if match is None:
            raise FramingError('the size of a chunk')
        return int(match[1], base=16)

    def _read_and_discard_trailer(self) -> None:
        # The standard library reads trailers without any limit.
        for line in iter(self._read_line, None):
            if line in _ENDS_OF_TRAILERS:
                return

    def _read_status_line(self) -> tuple[int, int]:
        line = self._read_line()
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise BadStatusLine(repr(line))
        return int(match[1]), int(match[2])

    def _read_fields(self) -> tuple[Header, ...]:
        try:
            return read_headers(self._read_line, _HEADER_LINE, _MAX_HEADERS)
        except HeadError as unreadable:
            raise BadStatusLine(str(unreadable)) from unreadable

    def _set_framing(self) -> None:
        self.chunked = self._has_chunked_body()
        self.chunk_left = None
        content_length = self._read_content_length()
        self.length = None if self.chunked else content_length
        if self.status in _STATUSES_WITHOUT_BODY or self._has_no_body:
            self.length = 0
        is_framed = self.chunked or self.length is not None
        connection_options = self.index.tokens('connection')
        is_persistent = self.version == 11 or 'keep-alive' in connection_options
        is_unambiguous = not (self.chunked and content_length is not None)
        is_reusable = is_framed and is_unambiguous and is_persistent
        self.will_close = not is_reusable or 'close' in connection_options

    def _has_chunked_body(self) -> bool:
        encodings = self.index.all('transfer-encoding')
        if encodings and [each.lower() for each in encodings] != ['chunked']:
            raise FramingError(f'transfer-encoding {encodings!r}')
        return bool(encodings)

    def _read_content_length(self) -> int | None:
        lengths = set(self.index.all('content-length'))
        if not lengths:
            return None
        length = lengths.pop()
        if lengths or _CONTENT_LENGTH.fullmatch(length) is None:
            raise FramingError(f'content-length {length!r}')
        return int(length)


class WorkerConnection(HTTPConnection):
    """A connection that sends each request with a single call."""

    def __init__(self, *args: Any, clock: Clock, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._clock = clock
        self.sock: Any
        # Not to be reused after this time, None if the worker gave no timeout.
        self._idle_deadline_ms: int | None = None
        self._requests_sent = 0
        self.last_used_ms = 0  # when a request was sent, or the answer read
        self.sent_requests = SentRequests(clock)

    def send_request(
        self, head: bytes, body: Body, method: str, timeout_ms: int
    ) -> StrictResponse:
        """Send a request and return its answer once the head has been read.

        `timeout_ms` limits sending and reading the head.  Raises `OSError` or
        `HTTPException`.
        """
        self._requests_sent += 1
        self.last_used_ms = self._clock.now_ms()
        self.sock.settimeout(timeout_ms / MS_PER_SECOND)
        self.sock.set_read_deadline(self.last_used_ms + timeout_ms)
        self._send(head, body)
        response = StrictResponse(self.sock, method)
        response.begin()
        return response

    def _send(self, head: bytes, body: Body) -> None:
        if len(body) <= _MAX_COPIED_BYTES:
            self.sock.sendall(head + body)
            return
        self.sock.sendall(head)
        self.sock.sendall(memoryview(body))  # what is left is not copied

    @property
    def is_reused(self) -> bool:
        """Return whether more than one request was sent on the connection."""
        return self._requests_sent > 1

    def record_keep_alive(self, answer_index: HeaderIndex) -> None:
        """Record the Keep-Alive timeout of an answer, if it has one."""
        match = _TIMEOUT_PARAMETER.search(answer_index.first('keep-alive'))
        if match is not None:
            timeout_ms = int(match[1]) * MS_PER_SECOND - _IDLE_MARGIN_MS
            self._idle_deadline_ms = self._clock.now_ms() + timeout_ms

    @property
    def is_connected(self) -> bool:
        """Return whether the connection can be used for another request."""
        sock: Any = self.sock
        if sock is None:
            return False
        idle_deadline_ms = self._idle_deadline_ms
        if (
            idle_deadline_ms is not None
            and self._clock.now_ms() >= idle_deadline_ms
        ):
            return False
        try:
            # Unsolicited bytes make a connection as unusable as its end.
            sock.fd.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def _new_conn(self) -> Any:
        connected: Any = super()._new_conn()
        timeout_s = connected.gettimeout()
        # The socket is detached, since urllib3's socket object closes its
        # descriptor when it is garbage-collected.
        sock = _ResettableSocket(
            connected.family,
            connected.type,
            connected.proto,
            connected.detach(),
            clock=self._clock,
        )
        sock.settimeout(timeout_s)
        return sock


def request_head(method: str, target: str, headers: Iterable[Header]) -> bytes:
    """Return the encoded head of a request.

    Raises `ValueError` if the head contains line breaks other than those that
    end its lines, or characters that are not in Latin-1.
    """
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers]
    head = '\r\n'.join((*lines, '', ''))
    line_count = len(lines) + 1
    if (head.count('\r'), head.count('\n')) != (line_count, line_count):
        raise ValueError('a line break in the head of a request')
    return head.encode('latin1')
