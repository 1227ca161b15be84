"""An answer that a node of the fleet gives to a request."""

from collections.abc import Iterator

from laburnumwood.clock import Clock
from laburnumwood.errors import (
    CallerDisconnectedError,
    LinkError,
    LinkTimeoutError,
)
from laburnumwood.protocol.messages import (
    Answer,
    Cancel,
    Chunk,
    End,
    WholeAnswer,
)
from laburnumwood.routing.exchange import OutgoingExchange
from laburnumwood.routing.headers import header_values
from laburnumwood.tasks import start

CALLER_GONE = 'the caller has gone'
_TIME_OVER = 'the time for the answer is over'
# For parts that had arrived before the deadline, in a process that was busy.
_LATE_PARTS_MS = 100


def _announced_length(head: Answer) -> int | None:
    """Return the Content-Length of an answer, None if it has none."""
    length_text = ''.join(header_values(head.headers, 'content-length'))
    return int(length_text) if length_text.isdecimal() else None


class PendingAnswer:
    """An answer whose head has arrived and whose body is still received."""

    def __init__(
        self,
        head: Answer,
        exchange: OutgoingExchange,
        until_ms: int,
        clock: Clock,
    ) -> None:
        self.head = head
        self._exchange = exchange
        self._until_ms = until_ms
        self._clock = clock
        self._is_complete = False
        self._length = 0
        self._announced: int | None = None
        if not isinstance(head, WholeAnswer):
            self._announced = _announced_length(head)
        self._buffered: bytes | None = b''  # received, but not yet yielded
        self._ends_ms: int | None = None  # set at the first late part

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes received of a streamed body."""
        return self._length

    @property
    def left_ms(self) -> int:
        """Return the time left until the deadline of the request, in ms."""
        return self._until_ms - self._clock.now_ms()

    def await_first_chunk(self) -> None:
        """Wait for the first part of the body; raises `LinkError`.

        Nothing has been sent to the caller at that point, so that a failure
        can still be answered with a problem.
        """
        self._buffered = self._next_chunk()

    def body(self) -> Iterator[bytes]:
        """Yield the parts of the body; raises `LinkError` if it is cut."""
        while self._buffered is not None:
            if self._buffered:
                yield self._buffered
            self._buffered = None if self._is_complete else self._next_chunk()

    def _next_chunk(self) -> bytes | None:
        """Return the next part of the body, None after the last one."""
        if isinstance(self.head, WholeAnswer):
            self._is_complete = True
            return self.head.body
        if self._length == self._announced:
            # The caller has every byte: a later link error must not cut it.
            self._is_complete = True
            return None
        message = self._receive()
        if isinstance(message, End) and message.length == self._length:
            self._is_complete = True
            return None
        if not isinstance(message, Chunk):
            raise self._truncation_error()
        self._length += len(message.content)
        return message.content

    def _receive(self) -> object:
        """Return the next message; raises `LinkTimeoutError` in time."""
        left_ms = max(0, self.left_ms)
        if not left_ms:
            self._check_late_part()
        return self._exchange.receive(left_ms)

    def _check_late_part(self) -> None:
        """Raise `LinkTimeoutError` once late parts are read no more."""
        now_ms = self._clock.now_ms()
        if self._ends_ms is None:
            self._ends_ms = now_ms + _LATE_PARTS_MS
        if now_ms >= self._ends_ms:
            raise LinkTimeoutError(_TIME_OVER)

    def _truncation_error(self) -> LinkError:
        # The gate also aborts at the deadline; its message may arrive first.
        if self.left_ms <= 0:
            return LinkTimeoutError(_TIME_OVER)
        return LinkError('the answer was cut')

    def close(self) -> None:
        """Close the exchange, and cancel an answer that is incomplete."""
        if not self._is_complete:
            cancel_exchange(self._exchange)
        self._exchange.close()


def cancel_exchange(exchange: OutgoingExchange) -> None:
    """Cancel the request at the gate and fail all local waits for it."""
    exchange.fail(CallerDisconnectedError(CALLER_GONE))
    start(_send_cancel, exchange)


def _send_cancel(exchange: OutgoingExchange) -> None:
    try:
        exchange.send(Cancel())
    except LinkError:
        return  # the gate detects the lost link itself
