"""Links to peers, opened on demand, and the server that peers connect to."""

from collections.abc import Callable
from typing import Any, TypeVar

from eventlet.green import socket
from eventlet.semaphore import Semaphore

from laburnumwood.clock import Clock
from laburnumwood.errors import LinkError, LinkRefusedError, ProtocolError
from laburnumwood.events import (
    ANSWER_UNDELIVERED,
    MESSAGE_REFUSED,
    NOT_ACCEPTED,
)
from laburnumwood.listening import listen as listen_at
from laburnumwood.protocol.handshake import accept_handshake, dial
from laburnumwood.protocol.link import Handler, Link
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.tasks import start

_REDIAL_DELAY_MS = 300  # wait after a peer refused a link

AddressLookup = Callable[[NodeName], tuple[str, int] | None]
_Handler = TypeVar('_Handler', bound=Callable[..., None])


class Dispatcher:
    """Calls the handler registered for the type of a first message."""

    def __init__(self) -> None:
        self._handlers: dict[type[Any], Callable[..., None]] = {}

    def on(self, message_type: type[Any]) -> Callable[[_Handler], _Handler]:
        """Return a decorator that registers the handler of a message type."""

        def register(handler: _Handler) -> _Handler:
            self._handlers[message_type] = handler
            return handler

        return register

    def handle(self, link: Link, stream: Stream, message: Any) -> None:
        """Run the handler of a message and close the stream afterwards.

        The loss of the link while the handler runs is only logged, because
        the answer can't be delivered.
        """
        handler = self._handlers.get(type(message))
        kind = type(message).__name__
        if handler is None:
            MESSAGE_REFUSED.report(peer=link.peer, reason=f'opened by {kind}')
            link.close()
            return
        try:
            handler(link, stream, message)
        except LinkError as error:
            ANSWER_UNDELIVERED.report(
                peer=link.peer, message=kind, reason=error
            )
        finally:
            stream.close()


class Peers:
    """The links that this node opened, one for each peer.

    `lookup` returns the host and the port of a peer, or None if they are not
    known.
    """

    def __init__(
        self,
        own: NodeName,
        security: LinkSecurity,
        lookup: AddressLookup,
        dispatcher: Dispatcher,
        clock: Clock,
    ) -> None:
        self._own = own
        self._security = security
        self._lookup = lookup
        self._handler: Handler = dispatcher.handle
        self._clock = clock
        self._links: dict[NodeName, Link] = {}
        self._locks: dict[NodeName, Semaphore] = {}
        self._last_refused_ms: dict[NodeName, int] = {}

    def open_stream(
        self, peer: NodeName, *, survives_silence: bool = False
    ) -> Stream:
        """Open a stream to a peer, on a new link if necessary.

        A stream that `survives_silence` does not fail while its link is
        silent.  Raises `LinkRefusedError`.
        """
        requested_ms = self._clock.now_ms()
        lock = self._locks.setdefault(peer, Semaphore())
        with lock:
            refused_ms = self._last_refused_ms.get(peer, -_REDIAL_DELAY_MS)
            if refused_ms + _REDIAL_DELAY_MS > requested_ms:
                raise LinkRefusedError(f'{peer} has just refused a link')
            link = self._links.get(peer)
            if link is None or not link.is_open:
                link = self._connect(peer)
            elif link.is_suspect:
                link = self._replace_silent(link)
            self._links[peer] = link
        return link.open_stream(survives_silence=survives_silence)

    def call(self, peer: NodeName, message: Any, timeout_ms: int) -> Any:
        """Send a message on a new stream and return the reply.

        Raises `LinkRefusedError` if no link can be opened, `LinkTimeoutError`
        if no reply arrives in `timeout_ms`, and `LinkLostError`.
        """
        stream = self.open_stream(peer)
        try:
            stream.send(message)
            return stream.receive(timeout_ms)
        finally:
            stream.close()

    def close(self) -> None:
        """Close all links that this node opened."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def release(self) -> None:
        """Close each link that this node opened as soon as it is idle."""
        for link in self._links.values():
            link.release()

    def _replace_silent(self, link: Link) -> Link:
        # Replies may still arrive on the silent link, which closes by itself.
        try:
            return self._connect(link.peer)
        except LinkRefusedError:
            if link.is_failed:
                raise
            return link

    def _connect(self, peer: NodeName) -> Link:
        address = self._lookup(peer)
        if address is None:
            raise LinkRefusedError(f'no address of {peer} is known')
        try:
            protocol, sock = dial(*address, self._own, self._security)
        except LinkRefusedError:
            # Tasks that waited for this attempt do not retry at once.
            self._last_refused_ms[peer] = self._clock.now_ms()
            raise
        link = Link(
            protocol,
            sock,
            peer,
            self._handler,
            self._clock,
            closes_idle=True,
        )
        start(link.run)
        return link


def _serve(
    sock: socket.socket,
    security: LinkSecurity,
    handler: Handler,
    clock: Clock,
) -> None:
    try:
        sock = security.wrap_incoming(sock)
        protocol, peer = accept_handshake(sock, security)
    except (OSError, ProtocolError) as error:
        MESSAGE_REFUSED.report(peer='unknown', reason=error)
        sock.close()
        return
    Link(protocol, sock, peer, handler, clock).run()


def listen(
    address: tuple[str, int],
    security: LinkSecurity,
    handler: Handler,
    clock: Clock,
) -> None:
    """Accept links of peers at a host and port; does not return."""
    listener = listen_at(address, NOT_ACCEPTED.report)
    while True:
        sock, _ = listener.accept()
        start(_serve, sock, security, handler, clock)
