"""Exchanges of messages between an ingress and an admission gate.

They run over a link between two nodes, or inside one node.
"""

from collections.abc import Callable, Iterator
from typing import Any, Protocol

from laburnumwood.clock import Clock
from laburnumwood.errors import BodyTimeoutError, LinkError, LinkTimeoutError
from laburnumwood.protocol.messages import Chunk, End, Work
from laburnumwood.protocol.streams import Stream
from laburnumwood.resources.bodies import Body, BodyBuffer
from laburnumwood.resources.body_memory import BodyReservation

MAX_INLINE_BODY_BYTES = 131_072  # a longer body follows in chunks
_WRONG_LENGTH = 'the body length differs from the announced length'


class Exchange(Protocol):
    """The operations on a stream that ingress and gate need."""

    def send(self, message: Any) -> None:
        """Send a message; raises `LinkLostError`."""

    def receive(self, timeout_ms: int) -> Any:
        """Return the next message; raises a `LinkError`."""

    def set_message_handler(self, handler: Callable[[], None] | None) -> None:
        """Set the function to call at the next message or link end."""

    def close(self) -> None:
        """Close this side of the exchange."""


class OutgoingExchange(Exchange, Protocol):
    """The operations on a stream that the ingress needs."""

    def fail(self, reason: LinkError) -> None:
        """Raise `reason` in every task that waits on the stream."""


class ExchangeWrapper:
    """Forwards all calls to another exchange; base class of observers."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    def send(self, message: Any) -> None:
        """Send a message; raises `LinkLostError`."""
        self._exchange.send(message)

    def receive(self, timeout_ms: int) -> Any:
        """Return the next message; raises a `LinkError`."""
        return self._exchange.receive(timeout_ms)

    def set_message_handler(self, handler: Callable[[], None] | None) -> None:
        """Set the function to call at the next message or link end."""
        self._exchange.set_message_handler(handler)

    def close(self) -> None:
        """Close this side of the exchange."""
        self._exchange.close()


class _LocalTransport:
    """Delivers the messages of one stream of a pair to the other."""

    def __init__(self) -> None:
        self.other: Stream | None = None
        self.reverse: _LocalTransport | None = None

    def send(self, _stream: int, message: Any) -> None:
        """Deliver a message to the other stream."""
        if self.other is not None:
            self.other.deliver(message)

    def remove_stream(self, _stream: int) -> None:
        """Deliver nothing more to the stream that is removed.

        The two streams, and what is unread, do not keep each other in memory.
        """
        reverse, self.reverse = self.reverse, None
        if reverse is not None:
            reverse.other = None
            reverse.reverse = None


def local_pair() -> tuple[Stream, Stream]:
    """Return two connected streams that need no network connection."""
    first_transport, second_transport = _LocalTransport(), _LocalTransport()
    first, second = Stream(0, first_transport), Stream(0, second_transport)
    first_transport.other, second_transport.other = second, first
    first_transport.reverse = second_transport
    second_transport.reverse = first_transport
    return first, second


ServeHandler = Callable[[Exchange, Any], None]


def _next_part(exchange: Exchange, until_ms: int, clock: Clock) -> Chunk | End:
    """Return the next part of a body; raises `LinkError`."""
    try:
        message = exchange.receive(max(0, until_ms - clock.now_ms()))
    except LinkTimeoutError as error:
        raise BodyTimeoutError('the body did not come in time') from error
    if not isinstance(message, Chunk | End):
        raise LinkError('the sender aborted the body')
    return message


def _parts(exchange: Exchange, until_ms: int, clock: Clock) -> Iterator[bytes]:
    """Yield the parts of a body that is received; raises `LinkError`."""
    length = 0
    part = _next_part(exchange, until_ms, clock)
    while isinstance(part, Chunk):
        length += len(part.content)
        yield part.content
        part = _next_part(exchange, until_ms, clock)
    if part.length != length:
        raise LinkError(_WRONG_LENGTH)


def receive_body(
    exchange: Exchange,
    work: Work,
    until_ms: int,
    clock: Clock,
    reservation: BodyReservation,
) -> Body:
    """Return the whole body of a request, which its reservation holds.

    A body that did not come with the request is received in chunks on the
    exchange.  Raises `LinkError` if it is incomplete, and its subclass
    `BodyTimeoutError` if it is so at the deadline.
    """
    if work.is_whole:
        return work.body
    reservation.expect_parts()
    left = work.body_length
    with BodyBuffer(work.body_length) as buffer:
        for part in _parts(exchange, until_ms, clock):
            left -= len(part)
            if left < 0:
                break
            buffer.append(part)
            reservation.record_part(len(part))
        if left:
            raise LinkError(_WRONG_LENGTH)
        body = buffer.finish()
    reservation.hold(body)
    return body
