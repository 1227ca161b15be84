"""Connections that are kept between requests, and the answers on them."""

from collections import deque
from collections.abc import Iterator
from http.client import HTTPException

from urllib3.util import parse_url

from laburnumwood.clock import Clock
from laburnumwood.errors import WorkerAnswerError, WorkerTimeoutError
from laburnumwood.header_index import Header, HeaderIndex
from laburnumwood.upstream.connection import StrictResponse, WorkerConnection

_CONNECT_TIMEOUT_S = 0.5
_CHUNK_SIZE = 32_768  # bytes
_NOTHING = b''


def to_worker_error(failure: Exception) -> WorkerAnswerError:
    """Return the error of an exchange that ended or stood still."""
    # Only a read that waited too long raises a timeout here.
    late = isinstance(failure, TimeoutError)
    return (WorkerTimeoutError if late else WorkerAnswerError)(repr(failure))


class WorkerAnswer:
    """The head of a worker's answer and its body, read once."""

    def __init__(
        self,
        response: StrictResponse,
        connection: WorkerConnection,
        pool: 'ConnectionPool',
    ) -> None:
        self._response = response
        self._connection = connection
        self._pool = pool
        self._is_over = False

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
        """Return the headers by their names."""
        return self._response.index

    @property
    def body_length(self) -> int | None:
        """Return how much of the body is to come, if the worker said it."""
        return self._response.length

    @property
    def may_answer_earlier_request(self) -> bool:
        """Tell whether it may be a second answer to an earlier request."""
        return self._connection.is_reused

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it comes.

        Raises `WorkerAnswerError` if it ends early or falls silent.
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
        """Return the body, which may have so many bytes.

        Raises `WorkerAnswerError` if it has more, ends early or falls silent.
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
        return _NOTHING.join(parts)

    def close(self) -> None:
        """End the exchange and its connection, unless that was given back."""
        if self._is_over:
            return
        self._is_over = True
        self._response.close()
        self._connection.close()

    def release(self) -> None:
        """Give the connection back, once, after the whole body was read."""
        if self._is_over:
            return
        self._is_over = True
        will_close = self._response.will_close
        self._response.close()
        if will_close:
            self._connection.close()
        else:
            self._connection.record_keep_alive(self.index)
            self._pool.release(self._connection)


class ConnectionPool:
    """Connections to one address; the one used last is used first again."""

    def __init__(self, url: str, most_idle: int, clock: Clock) -> None:
        parsed = parse_url(url)
        self._host = parsed.host or ''
        self._port = parsed.port
        self._clock = clock
        self._idle: deque[WorkerConnection] = deque(maxlen=most_idle)

    def acquire(self) -> WorkerConnection:
        """Return an open connection; raises the library's errors."""
        while self._idle:
            kept = self._idle.pop()
            if kept.is_connected:
                return kept
            kept.close()
        opened = WorkerConnection(
            self._host,
            self._port,
            timeout=_CONNECT_TIMEOUT_S,
            clock=self._clock,
        )
        opened.connect()
        return opened

    def release(self, connection: WorkerConnection) -> None:
        """Keep a connection whose last answer was read whole."""
        if len(self._idle) == self._idle.maxlen:
            self._idle.popleft().close()
        self._idle.append(connection)
