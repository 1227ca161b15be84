"""A pool of persistent connections to the worker, and answers on them."""

from collections import deque
from collections.abc import Iterator
from http.client import HTTPException

from urllib3.util import parse_url

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import WorkerAnswerError, WorkerTimeoutError
from laburnumwood.header_index import Header, HeaderIndex
from laburnumwood.upstream.connection import StrictResponse, WorkerConnection

_CONNECT_TIMEOUT_MS = 500
_SILENCE_MS = 500  # a shorter wait for an answer tells nothing of a connection
_CHUNK_SIZE = 32_768  # bytes
_EMPTY = b''


def to_worker_error(failure: Exception) -> WorkerAnswerError:
    """Return the error for a request whose connection failed or stalled."""
    # Here a `TimeoutError` is raised only by a read that waited too long.
    is_timeout = isinstance(failure, TimeoutError)
    return (WorkerTimeoutError if is_timeout else WorkerAnswerError)(
        repr(failure)
    )


class WorkerAnswer:
    """An answer of the worker; its body can be read once.

    `close` or `release` has to be called in the end; later calls of either
    have no effect.
    """

    def __init__(
        self,
        response: StrictResponse,
        connection: WorkerConnection,
        pool: 'ConnectionPool',
    ) -> None:
        self._response = response
        self._connection = connection
        self._pool = pool
        self._is_closed = False

    @property
    def status(self) -> int:
        """Return the status code."""
        return self._response.status

    @property
    def headers(self) -> tuple[Header, ...]:
        """Return the headers in their order."""
        return self._response.fields

    @property
    def index(self) -> HeaderIndex:
        """Return an index of the headers by name."""
        return self._response.index

    @property
    def body_length(self) -> int | None:
        """Return how many bytes of the body remain, None if not announced."""
        return self._response.length

    @property
    def may_answer_earlier_request(self) -> bool:
        """Return whether it may be a duplicate answer to an earlier request.

        That is possible only on a connection that was used before.
        """
        return self._connection.is_reused

    def chunks(self) -> Iterator[bytes]:
        """Yield the parts of the body as they arrive.

        Raises `WorkerAnswerError` if the body ends early, and its subclass
        `WorkerTimeoutError` if the next part takes too long.
        """
        try:
            while part := self._response.read1(_CHUNK_SIZE):
                yield part
        except (HTTPException, OSError, ValueError) as cut:
            raise to_worker_error(cut) from cut
        if self._response.length:
            raise WorkerAnswerError(
                f'{self._response.length} bytes are missing'
            )

    def read_body(self, longest: int) -> bytes:
        """Return the whole body, of at most `longest` bytes.

        Raises `WorkerAnswerError` if the body is longer, ends early or stalls.
        """
        parts: list[bytes] = []
        left = longest
        for part in self.chunks():
            left -= len(part)
            if left < 0:
                raise WorkerAnswerError(
                    f'the body is longer than {longest} bytes'
                )
            parts.append(part)
        return _EMPTY.join(parts)

    def close(self) -> None:
        """Close the connection, unless it was released to the pool."""
        if self._is_closed:
            return
        self._is_closed = True
        self._response.close()
        self._connection.close()

    def release(self) -> None:
        """Return the connection to the pool after the whole body was read."""
        if self._is_closed:
            return
        self._is_closed = True
        will_close = self._response.will_close
        self._response.close()
        if will_close:
            self._connection.close()
        else:
            self._connection.record_keep_alive(self.index)
            self._pool.release(self._connection)


class ConnectionPool:
    """Idle connections to one address; the last one used is reused first.

    At most `max_idle` idle connections are kept.
    """

    def __init__(self, url: str, max_idle: int, clock: Clock) -> None:
        parsed = parse_url(url)
        self._host = parsed.host or ''
        self._port = parsed.port
        self._clock = clock
        self._idle: deque[WorkerConnection] = deque(maxlen=max_idle)

    def acquire(self, limit_ms: int, request_id: str = '') -> WorkerConnection:
        """Return an open connection for a request with a given id, if any.

        An idle one is reused if possible.  A new one is waited for no longer
        than `limit_ms`.  Raises the errors of urllib3 if no connection can be
        made.
        """
        connection = self._take_idle(request_id) or self._open(limit_ms)
        connection.sent_requests.add(request_id, limit_ms)
        return connection

    def _take_idle(self, request_id: str) -> WorkerConnection | None:
        """Take the last idle connection on which a request was not sent."""
        passed_over = []
        try:
            while self._idle:
                idle = self._idle.pop()
                if request_id in idle.sent_requests:
                    passed_over.append(idle)
                elif idle.is_connected:
                    return idle
                else:
                    idle.close()
        finally:
            self._idle.extend(reversed(passed_over))
        return None

    def _open(self, limit_ms: int) -> WorkerConnection:
        opened = WorkerConnection(
            self._host,
            self._port,
            timeout=min(limit_ms, _CONNECT_TIMEOUT_MS) / MS_PER_SECOND,
            clock=self._clock,
        )
        opened.connect()
        return opened

    def record_timeout(self, connection: WorkerConnection) -> None:
        """Close what was idle while a request on a connection had no answer.

        What silenced a connection that had worked before may have silenced
        all that were open then.
        """
        sent_ms = connection.last_used_ms
        if (
            not connection.is_reused
            or self._clock.now_ms() - sent_ms < _SILENCE_MS
        ):
            return
        while self._idle and self._idle[0].last_used_ms <= sent_ms:
            self._idle.popleft().close()

    def release(self, connection: WorkerConnection) -> None:
        """Keep a connection whose last answer was read completely.

        If the pool is full, the connection that was idle longest is closed.
        """
        connection.last_used_ms = self._clock.now_ms()
        if len(self._idle) == self._idle.maxlen:
            self._idle.popleft().close()
        self._idle.append(connection)
