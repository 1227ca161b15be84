"""HTTP/1.1 on the connection of one caller.

Eventlet's server accepts connections and frames request bodies.  This module
reads request heads and writes answers: the general parser of the standard
library takes longer than all other work that the ingress does for a request.
"""

import fcntl
import os
import struct
import sys
import termios
import traceback
from array import array
from collections.abc import Callable, Iterable
from contextlib import suppress
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

import eventlet
from eventlet import Timeout, wsgi
from eventlet.green import socket
from eventlet.hubs import notify_close

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.config.declarations import CallerLimits
from laburnumwood.errors import (
    BodyEvictedError,
    BodyMemoryError,
    LaburnumwoodError,
)
from laburnumwood.events import (
    ANSWER_FAILED,
    ANSWER_LATE,
    CALLER_LOST,
    HEAD_REJECTED,
)
from laburnumwood.header_index import Header, HeadError
from laburnumwood.metrics import ANSWER_OVERRUN, PROBLEM_ANSWERS
from laburnumwood.resources.body_memory import (
    BODY_MEMORY,
    BodyReservation,
    evict_current_task,
)
from laburnumwood.resources.connections import ConnectionTable
from laburnumwood.routing.body_input import BodyInput, ChunkReader
from laburnumwood.routing.problems import (
    PROBLEMS,
    make_failure,
    problem_body,
    problem_headers,
    status_line,
)
from laburnumwood.routing.request_head import (
    HeadReader,
    HeadTimeoutError,
    HeadTooLargeError,
    RequestHead,
    TargetTooLongError,
    read_request_head,
)
from laburnumwood.routing.request_time import RequestTime, unread_for_ms
from laburnumwood.turns import TURNS

LimitsProvider = Callable[[], CallerLimits]

# Keys of the WSGI environment.
ANSWERED_KEY = 'laburnumwood.answered'  # requests answered on the connection
CONNECTION_KEY = 'laburnumwood.connection'  # its `CallerConnection`
CLOSE_KEY = 'laburnumwood.close'  # function: close after this answer
HEADERS_KEY = 'laburnumwood.headers'  # the `HeaderIndex` of the request
REQUEST_ID_KEY = 'laburnumwood.request'  # request id, once it is known
TARGET_KEY = 'laburnumwood.target'  # path and query as the caller sent them
TIME_KEY = 'laburnumwood.time'  # the `RequestTime` of the request

_DRAIN_TIMEOUT_S = 1
_DRAIN_SIZE = 65_536  # bytes
_MAX_DRAIN_BYTES = 67_108_864  # most unread bytes to discard
_CONTINUE_LINE = b'HTTP/1.1 100 Continue\r\n'
_BODYLESS_STATUSES = frozenset(('204', '304'))
_HEAD_BUFFER = 16_384  # bytes of a head that are read ahead
_MAX_EMPTY_LINES = 8  # before a request
_END_OF_HEAD = b'\r\n\r\n'
_PEEK_FLAGS = socket.MSG_PEEK | socket.MSG_DONTWAIT
_WRITE_BUFFER_SIZE = 512  # bytes; answers are sent without it
_SEND_TIMEOUT_S = 300  # in which a caller has to read some of an answer
_PROBLEM_KINDS: dict[type[LaburnumwoodError], str] = {
    BodyMemoryError: 'overloaded',
    BodyEvictedError: 'overloaded',
    HeadError: 'bad-request',
    HeadTooLargeError: 'headers-too-large',
    TargetTooLongError: 'target-too-long',
    HeadTimeoutError: 'head-timeout',
}
_MIN_LATE_MS = 100  # an answer that says at its deadline that it has passed
_LINGER_ZERO = struct.pack('ii', 1, 0)


def unread_size(sock: Any) -> int:
    """Return how many bytes that were sent the peer has not confirmed."""
    size = array('i', (0,))
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, size)
    return size[0]


def reset_connection(sock: Any) -> None:
    """Close a connection with a TCP reset instead of an orderly end."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        descriptor = sock.detach()
        notify_close(descriptor)
        os.close(descriptor)


class _CallerLostError(Exception):
    """The connection of the caller ended while its answer was sent."""


class _AnswerWriter:
    """Writes one answer; its head is sent with the first part of the body."""

    def __init__(self, protocol: 'CallerProtocol') -> None:
        self._protocol = protocol
        self._head = b''
        self._is_chunked = False
        self._has_body = True
        self.has_started = False
        self.status = ''

    def start(
        self, status: str, headers: list[Header], _failed: Any = None
    ) -> Callable[[bytes], None]:
        """Set status and headers: the `start_response` of WSGI."""
        protocol = self._protocol
        code = status[:3]
        self.status = code
        self._has_body = (
            protocol.command != 'HEAD' and code not in _BODYLESS_STATUSES
        )
        lines = [f'HTTP/1.1 {status}']
        lines += [f'{name}: {text}' for name, text in headers]
        has_length = any(
            name.lower() == 'content-length' for name, _ in headers
        )
        if self._has_body and not has_length:
            self._is_chunked = protocol.request_version == 'HTTP/1.1'
            protocol.close_connection |= not self._is_chunked
            if self._is_chunked:
                lines.append('Transfer-Encoding: chunked')
        if protocol.close_connection:
            lines.append('Connection: close')
        elif protocol.request_version != 'HTTP/1.1':
            lines.append('Connection: keep-alive')
        self._head = '\r\n'.join((*lines, '', '')).encode('latin1')
        return self.write

    def write(self, content: bytes) -> None:
        """Send a part of the body; the first call also sends the head."""
        if content:
            self._send(self._frame(content))

    def finish(self) -> None:
        """Send the last chunk, or the head if the body is empty."""
        if self._is_chunked:
            self._send(b'0\r\n\r\n')
        elif not self.has_started:
            self._send(b'')

    def _frame(self, content: bytes) -> bytes:
        if not self._has_body:
            return b''
        if self._is_chunked:
            return b'%x\r\n%b\r\n' % (len(content), content)
        return content

    def _send(self, content: bytes) -> None:
        if not self.has_started:
            self.has_started = True
            content = self._head + content
        if not content:
            return
        try:
            self._protocol.send(content)
        except OSError as error:
            raise _CallerLostError(repr(error)) from error


class CallerProtocol(wsgi.HttpProtocol):
    """Answers a request that can't be parsed with a problem.

    `get_limits` returns the limits in force; `connections` has all those of
    the listener.
    """

    wbufsize = _WRITE_BUFFER_SIZE

    def __init__(
        self,
        get_limits: LimitsProvider,
        clock: Clock,
        connections: ConnectionTable,
        conn_state: list[Any],
        server: Any,
    ) -> None:
        self._get_limits = get_limits
        self._clock = clock
        self._answered = 0  # requests on this connection
        self._head_memory: BodyReservation | None = None
        connection = connections.open(conn_state[1])
        if connection is None:
            return  # the server closes it
        self._connection = connection
        try:
            super().__init__(conn_state, server)
        finally:
            self._forget_request()
            connections.remove(connection)

    def parse_request(self) -> bool:
        """Set what the library reads of a head; return True.

        The head was read and parsed with its request line.
        """
        head = self._head
        self.command = head.method
        self.path = head.target
        self.request_version = head.version
        self.headers = head.index
        options = head.index.tokens('connection')
        if self.request_version == 'HTTP/1.1':
            self.close_connection = 'close' in options
        else:
            self.close_connection = 'keep-alive' not in options
        return True

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment of a request."""
        path, _, query = self.path.partition('?')
        headers = self.headers
        content_length = headers.first('content-length')
        is_chunked = headers.has('transfer-encoding')
        expects_continue = headers.first('expect').lower() == '100-continue'
        body = BodyInput(
            ChunkReader(self.rfile, self._longest_line)
            if is_chunked
            else self.rfile,
            None if is_chunked else content_length or '0',
            self.connection,
            wfile=self.wfile if expects_continue else None,
            wfile_line=_CONTINUE_LINE,
            chunked_input=is_chunked,
        )
        return {
            'REQUEST_METHOD': self.command,
            'SCRIPT_NAME': '',
            'RAW_PATH_INFO': path,
            'PATH_INFO': unquote(path, 'latin1') if '%' in path else path,
            'QUERY_STRING': query,
            'CONTENT_LENGTH': content_length,
            'SERVER_PROTOCOL': self.request_version,
            'REMOTE_ADDR': self.client_address[0],
            'HTTP_AUTHORIZATION': headers.first('authorization'),
            'wsgi.input': body,
            'eventlet.input': body,
            'headers_raw': self._head.fields,
            HEADERS_KEY: headers,
            TARGET_KEY: self.path,
            CONNECTION_KEY: self._connection,
            TIME_KEY: RequestTime(self._clock, self._arrived_ms),
            ANSWERED_KEY: self._answered,
            CLOSE_KEY: self._close_after_answer,
        }

    def handle_one_response(self) -> None:
        """Call the application and write its answer."""
        answer = _AnswerWriter(self)
        body = self.environ['wsgi.input']
        parts: Iterable[bytes] = ()
        wsgi.WSGI_LOCAL.already_handled = False
        try:
            parts = self.application(self.environ, answer.start)
            for part in parts:
                answer.write(part)
            if wsgi.WSGI_LOCAL.already_handled:
                self.close_connection = True
            else:
                answer.finish()
        except _CallerLostError as error:
            self._report_caller_lost(answer, error)
        except (Exception, Timeout):
            self._handle_failure(answer)
        finally:
            if hasattr(parts, 'close'):
                parts.close()
            self._end_response(answer, body)

    def send(self, content: bytes) -> None:
        """Send a part of an answer; raises `OSError`.

        A caller that reads nothing is given up within twice `_SEND_TIMEOUT_S`.
        """
        self._connection.begin_answer()
        self.connection.settimeout(_SEND_TIMEOUT_S)
        try:
            self._send_all(memoryview(content))
        finally:
            self.connection.settimeout(None)
            self._connection.end_wait()

    def _send_all(self, rest: memoryview) -> None:
        unread = sys.maxsize
        while rest:
            try:
                rest = rest[self.connection.send(rest) :]
                unread = sys.maxsize
            except TimeoutError:
                # The system may take no more although the caller reads slowly.
                before, unread = unread, unread_size(self.connection)
                if unread >= before:
                    raise

    def _end_response(self, answer: _AnswerWriter, body: BodyInput) -> None:
        self._answered += 1
        self._release_head()
        self._record_overrun(answer)
        self._discard_unread_body(body)

    def _record_overrun(self, answer: _AnswerWriter) -> None:
        times: RequestTime = self.environ[TIME_KEY]
        late_ms = times.overrun_ms
        if late_ms < _MIN_LATE_MS:
            return
        ANSWER_OVERRUN.record(late_ms)
        ANSWER_LATE.report(
            request=self.environ.get(REQUEST_ID_KEY, ''),
            status=answer.status,
            late_ms=late_ms,
            elapsed_ms=times.elapsed_ms,
            unread_ms=self._unread_ms,
            reading_ms=times.reading_ms,
        )

    def _report_caller_lost(
        self, answer: _AnswerWriter, error: _CallerLostError
    ) -> None:
        self.close_connection = True
        CALLER_LOST.report(
            request=self.environ.get(REQUEST_ID_KEY, ''),
            path=self.path,
            begun=answer.has_started,
            reason=error,
        )

    def _handle_failure(self, answer: _AnswerWriter) -> None:
        self.close_connection = True
        ANSWER_FAILED.report(
            path=self.path,
            begun=answer.has_started,
            trace=traceback.format_exc(),
        )
        if answer.has_started:
            reset_connection(self.connection)
        else:
            status = status_line(HTTPStatus.INTERNAL_SERVER_ERROR)
            answer.start(status, [('Content-Length', '0')])
            with suppress(_CallerLostError):
                answer.finish()

    def _discard_unread_body(self, body: BodyInput) -> None:
        """Discard the unread rest of a body, or close the connection.

        A caller may send all of it before it reads the answer.
        """
        if body.should_send_hundred_continue:
            self.close_connection = True
        has_unread = body.chunked_input or body.position < body.content_length
        if not has_unread:
            return
        self._connection.begin_wait()
        if self.close_connection:
            with suppress(OSError):
                self._drain()
            return
        try:
            body.skip_rest()
        except (wsgi.ChunkReadError, OSError):
            self.close_connection = True

    def _close_after_answer(self) -> None:
        self.close_connection = True

    def _read_request_line(self) -> str:
        """Read a whole head; return its request line, '' if there is none."""
        try:
            head = self._await_head()
        except (HeadError, HeadTimeoutError, BodyMemoryError) as error:
            self._release_head()
            self._refuse(_PROBLEM_KINDS[type(error)], str(error))
            return ''
        except OSError:
            return ''
        is_closed = self._connection.is_closed
        if head is None or is_closed or self.conn_state[2] == wsgi.STATE_CLOSE:
            # Closed while it was idle: an answer could no longer be sent.
            return ''
        self._connection.end_wait()
        self._head = head
        return f'{head.method} {head.target} {head.version}'

    def _await_head(self) -> RequestHead | None:
        """Return the next head, None if the connection has ended before it.

        Empty lines before a head are skipped (RFC 9112, section 2.2).
        """
        for _ in range(_MAX_EMPTY_LINES + 1):
            if not self._await_bytes():
                return None
            self._record_arrival()
            head = self._receive_head()
            if head is not None:
                return head
        raise HeadError('too many empty lines before it')

    def _await_bytes(self) -> bool:
        """Wait for bytes; return whether any came before limit and end."""
        idle_s = self._get_limits().idle_timeout_ms / MS_PER_SECOND
        self._connection.begin_wait()
        with Timeout(idle_s, exception=False):
            return bool(self.rfile.peek(1))
        return self._has_unread_bytes()

    def _record_arrival(self) -> None:
        self._unread_ms = unread_for_ms(self.connection, TURNS)
        self._arrived_ms = self._clock.now_ms() - self._unread_ms

    def _has_unread_bytes(self) -> bool:
        """Return whether bytes wait in the socket.

        They may have arrived in time if the process was paused meanwhile.
        """
        try:
            return bool(self.connection.fd.recv(1, _PEEK_FLAGS))
        except OSError:
            return False

    def _receive_head(self) -> RequestHead | None:
        limits = self._get_limits()
        self._longest_line = limits.longest_head
        if _END_OF_HEAD in self.rfile.peek(1):
            reader = HeadReader(self.rfile, limits.longest_head)
            return read_request_head(reader.read_line)  # needs no time limit
        self._head_memory = BODY_MEMORY.reserve(evict=evict_current_task())
        self._head_memory.grow(_HEAD_BUFFER)
        reader = HeadReader(self.rfile, limits.longest_head, self._head_memory)
        timed_out = HeadTimeoutError(f'{limits.head_timeout_ms} ms have passed')
        with Timeout(limits.head_timeout_ms / MS_PER_SECOND, timed_out):
            head = read_request_head(reader.read_line)
        self._head_memory.complete()
        return head

    def _forget_request(self) -> None:
        self._release_head()
        # The environment refers to this object: together they would stay in
        # memory until garbage is collected.
        self.environ: dict[str, Any] = {}

    def _release_head(self) -> None:
        if self._head_memory is not None:
            self._head_memory.release()
            self._head_memory = None

    def _refuse(self, kind: str, detail: str) -> None:
        failure = make_failure(kind, detail, ran=False)
        HEAD_REJECTED.report(kind=kind, detail=detail)
        PROBLEM_ANSWERS.record(1, {'kind': kind})
        content = problem_body(failure, '')
        status = status_line(PROBLEMS[kind].status)
        headers = [
            *problem_headers(failure, len(content)),
            ('Connection', 'close'),
        ]
        lines = ''.join(f'{name}: {text}\r\n' for name, text in headers)
        head = f'HTTP/1.1 {status}\r\n{lines}\r\n'.encode()
        self.close_connection = True
        with suppress(OSError):
            self.connection.sendall(head + content)
            self._drain()

    def _drain(self) -> None:
        # Closing with unread bytes would reset the connection before the caller
        # has read its answer.
        self.request.shutdown(socket.SHUT_WR)
        remaining = _MAX_DRAIN_BYTES
        with Timeout(_DRAIN_TIMEOUT_S, exception=False):
            while remaining > 0:
                received = self.request.recv(_DRAIN_SIZE)
                eventlet.sleep(0)  # the time ends also while more comes
                remaining -= len(received) or remaining
