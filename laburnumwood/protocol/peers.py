"""Links to peers, made on demand, and the place where peers connect."""

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

_REFUSED_REST_MS = 300  # in which a peer that refused a link is not dialled

Lookup = Callable[[NodeName], tuple[str, int] | None]
_Handler = TypeVar('_Handler', bound=Callable[..., None])


class Dispatcher:
    """Finds the handler of a stream by the type of its first message."""

    def __init__(self) -> None:
        self._handlers: dict[type[Any], Callable[..., None]] = {}

    def on(self, form: type[Any]) -> Callable[[_Handler], _Handler]:
        """Register the handler of a type of message."""

        def register(handler: _Handler) -> _Handler:
            self._handlers[form] = handler
            return handler

        return register

    def handle(self, link: Link, stream: Stream, message: Any) -> None:
        """Run the handler of a message and end the stream after it.

        A link that is lost under the handler is logged: nobody is left to
        be answered.
        """
        handler = self._handlers.get(type(message))
        kind = type(message).__name__
        if handler is None:
            MESSAGE_REFUSED.report(peer=link.peer, reason=f'opened by {kind}')
            link.close()
            return
        try:
            handler(link, stream, message)
        except LinkError as lost:
            ANSWER_UNDELIVERED.report(peer=link.peer, message=kind, reason=lost)
        finally:
            stream.close()


class Peers:
    """The links of this node to others, one for each peer.

    `lookup` returns host and port of a peer, or None if it is not known.
    """

    def __init__(
        self,
        own: NodeName,
        security: LinkSecurity,
        lookup: Lookup,
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
        self._refused_ms: dict[NodeName, int] = {}

    def open_stream(
        self, peer: NodeName, *, survives_silence: bool = False
    ) -> Stream:
        """Return a new stream to a peer, over a new link if need be.

        One that is patient outlasts a silence of its link.  Raises
        `LinkRefusedError`.
        """
        asked_ms = self._clock.now_ms()
        lock = self._locks.setdefault(peer, Semaphore())
        with lock:
            refused_ms = self._refused_ms.get(peer, -_REFUSED_REST_MS)
            if refused_ms + _REFUSED_REST_MS > asked_ms:
                raise LinkRefusedError(f'{peer} has just refused a link')
            link = self._links.get(peer)
            if link is None or not link.is_open:
                link = self._connect(peer)
            elif link.is_suspect:
                link = self._connect_beside(link)
            self._links[peer] = link
        return link.open_stream(survives_silence=survives_silence)

    def call(self, peer: NodeName, message: Any, timeout_ms: int) -> Any:
        """Send a message and return the one reply.

        Raises the subclasses of `LinkError`.
        """
        stream = self.open_stream(peer)
        try:
            stream.send(message)
            return stream.receive(timeout_ms)
        finally:
            stream.close()

    def close(self) -> None:
        """Close all links that this node made."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def release(self) -> None:
        """Close all links that this node made, each when it is idle."""
        for link in self._links.values():
            link.release()

    def _connect_beside(self, link: Link) -> Link:
        # What the silent link owes may still come: it closes by itself.
        try:
            return self._connect(link.peer)
        except LinkRefusedError:
            if link.is_given_up:
                raise
            return link

    def _connect(self, peer: NodeName) -> Link:
        address = self._lookup(peer)
        if address is None:
            raise LinkRefusedError(f'no address of {peer} is known')
        try:
            protocol, sock = dial(*address, self._own, self._security)
        except LinkRefusedError:
            # Those who waited for this attempt need not make their own.
            self._refused_ms[peer] = self._clock.now_ms()
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
        sock = security.wrap_accepted(sock)
        protocol, peer = accept_handshake(sock, security)
    except (OSError, ProtocolError) as refused:
        MESSAGE_REFUSED.report(peer='unknown', reason=refused)
        sock.close()
        return
    Link(protocol, sock, peer, handler, clock).run()


def listen(
    address: tuple[str, int],
    security: LinkSecurity,
    handler: Handler,
    clock: Clock,
) -> None:
    """Serve peers that connect to a host and port; does not return."""
    listener = listen_at(address, NOT_ACCEPTED.report)
    while True:
        sock, _ = listener.accept()
        start(_serve, sock, security, handler, clock)
