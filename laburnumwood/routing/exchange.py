"""Exchanges between a door and a gate, over a link or inside one node."""

from collections.abc import Callable
from typing import Any, Protocol

from laburnumwood.errors import LinkError
from laburnumwood.protocol.streams import Stream

MAX_INLINE_BODY_BYTES = 131_072  # bytes of a body that goes with its head


class Exchange(Protocol):
    """What door and gate need of a stream."""

    def send(self, message: Any) -> None:
        """Send a message; raises `LinkLostError`."""

    def receive(self, timeout_ms: int) -> Any:
        """Return the next message; raises a `LinkError`."""

    def set_message_handler(self, handler: Callable[[], None] | None) -> None:
        """Set what is done at the next message or when the link ends."""

    def close(self) -> None:
        """End the exchange on this side."""


class OutgoingExchange(Exchange, Protocol):
    """What a door needs of a stream."""

    def fail(self, reason: LinkError) -> None:
        """Let all that waits on the stream fail."""


class ExchangeWrapper:
    """Passes everything on to another exchange; subclasses look at it."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    def send(self, message: Any) -> None:
        """Send a message; raises `LinkLostError`."""
        self._exchange.send(message)

    def receive(self, timeout_ms: int) -> Any:
        """Return the next message; raises a `LinkError`."""
        return self._exchange.receive(timeout_ms)

    def set_message_handler(self, handler: Callable[[], None] | None) -> None:
        """Set what is done at the next message or when the link ends."""
        self._exchange.set_message_handler(handler)

    def close(self) -> None:
        """End the exchange on this side."""
        self._exchange.close()


class _LocalTransport:
    """Delivers what one stream of a pair sends to the other."""

    def __init__(self) -> None:
        self.other: Stream | None = None

    def send(self, _stream: int, message: Any) -> None:
        """Deliver a message."""
        if self.other is not None:
            self.other.deliver(message)

    def remove_stream(self, _stream: int) -> None:
        """Do nothing: the pair ends with its tasks."""


def local_pair() -> tuple[Stream, Stream]:
    """Return two streams joined to each other without a connection."""
    first_transport, second_transport = _LocalTransport(), _LocalTransport()
    first, second = Stream(0, first_transport), Stream(0, second_transport)
    first_transport.other, second_transport.other = second, first
    return first, second


ServeHandler = Callable[[Exchange, Any], None]
