"""Links to peers, opened on demand, and the server that peers connect to."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any, TypeVar
from uuid import uuid4

import eventlet
from eventlet.green import socket
from eventlet.greenthread import GreenThread
from eventlet.semaphore import Semaphore

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import (
    LinkError,
    LinkRefusedError,
    ProtocolError,
    StreamNotReceivedError,
)
from laburnumwood.events import (
    ANSWER_UNDELIVERED,
    MESSAGE_REFUSED,
    NOT_ACCEPTED,
)
from laburnumwood.listening import listen as listen_at
from laburnumwood.protocol.handshake import (
    LinkIdentity,
    accept_handshake,
    dial,
)
from laburnumwood.protocol.link import Handler, Link
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.protocol.streams import Stream, never
from laburnumwood.protocol.time_limit import time_limit
from laburnumwood.records import NodeName
from laburnumwood.tasks import start, start_joinable

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
        # Peers that may have retired their link without its replacement.
        self._half_replaced: set[NodeName] = set()
        self._link_ids: dict[NodeName, str] = {}  # of the links above
        self._locks: dict[NodeName, Semaphore] = {}
        self._searches: dict[NodeName, GreenThread] = {}  # for links
        self._last_refused_ms: dict[NodeName, int] = {}

    def open_stream(
        self, peer: NodeName, *, survives_silence: Callable[[], bool] = never
    ) -> Stream:
        """Open a stream to a peer, on a new link if necessary.

        While its link is silent, the stream does not fail if
        `survives_silence()`.  Raises `LinkRefusedError`, and `LinkTimeoutError`
        within a time limit.
        """
        link = self._links.get(peer)
        if link is None or not self._is_usable(link):
            link = self._await_link(peer)
        return link.open_stream(survives_silence=survives_silence)

    def call(self, peer: NodeName, message: Any, timeout_ms: int) -> Any:
        """Send a message on a new stream and return the reply.

        A message that the peer has provably not received is sent once more.

        Raises `LinkRefusedError` if no link can be opened, `LinkTimeoutError`
        if no reply arrives in `timeout_ms`, and `LinkLostError`.
        """
        until_ms = self._clock.now_ms() + timeout_ms
        try:
            return self._call_once(peer, message, until_ms)
        except StreamNotReceivedError:
            return self._call_once(peer, message, until_ms)

    def close(self) -> None:
        """Close all links that this node opened."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def release(self) -> None:
        """Close each link that this node opened as soon as it is idle."""
        for link in self._links.values():
            link.release()

    def _call_once(self, peer: NodeName, message: Any, until_ms: int) -> Any:
        with time_limit(until_ms - self._clock.now_ms(), 'no link'):
            stream = self.open_stream(peer)
        try:
            with time_limit(until_ms - self._clock.now_ms(), 'not sent'):
                stream.send(message)
            return stream.receive(max(0, until_ms - self._clock.now_ms()))
        finally:
            stream.close()

    def _lock(self, peer: NodeName) -> Semaphore:
        return self._locks.setdefault(peer, Semaphore())

    def _is_usable(self, link: Link) -> bool:
        may_be_retired = link.peer in self._half_replaced
        return link.is_open and not link.is_suspect and not may_be_retired

    def _await_link(self, peer: NodeName) -> Link:
        """Return the link to a peer, a new one if necessary.

        All that ask for it share one search, which goes on when the time of
        one of them is over.
        """
        search = self._searches.get(peer)
        if search is None:
            search = start_joinable(self._search, peer, self._clock.now_ms())
            self._searches[peer] = search
        found: Link | LinkRefusedError = search.wait()
        if isinstance(found, LinkRefusedError):
            raise LinkRefusedError(str(found))
        return found

    def _search(
        self, peer: NodeName, requested_ms: int
    ) -> Link | LinkRefusedError:
        try:
            with self._lock(peer):
                link = self._find_link(peer, requested_ms)
                self._links[peer] = link
        except LinkRefusedError as refused:
            return refused
        finally:
            self._searches.pop(peer, None)
        return link

    def _find_link(self, peer: NodeName, requested_ms: int) -> Link:
        link = self._links.get(peer)
        if link is not None and self._is_usable(link):
            return link
        if link is not None and not link.is_open:
            link = None
        may_be_retired = peer in self._half_replaced
        refused_ms = self._last_refused_ms.get(peer, -_REDIAL_DELAY_MS)
        if refused_ms + _REDIAL_DELAY_MS <= requested_ms:
            return self._replace(link) if link else self._connect(peer)
        if link is None or link.is_failed or may_be_retired:
            raise LinkRefusedError(f'{peer} has just refused a link')
        return link

    def _replace_suspect(self, link: Link) -> None:
        """Try to replace a link until that succeeds or it is needless."""
        while self._needs_replacement(link):
            with self._lock(link.peer), suppress(LinkRefusedError):
                if self._needs_replacement(link):
                    self._links[link.peer] = self._replace(link)
            eventlet.sleep(_REDIAL_DELAY_MS / MS_PER_SECOND)

    def _needs_replacement(self, link: Link) -> bool:
        is_current = self._links.get(link.peer) is link
        may_be_retired = link.peer in self._half_replaced
        is_unusable = link.is_suspect or may_be_retired
        return is_current and link.is_open and is_unusable

    def _replace(self, link: Link) -> Link:
        """Return a new link in place of a silent one, which closes by itself.

        Streams that the peer has received stay on the silent link, where their
        replies may still arrive; the others fail.
        """
        identity = LinkIdentity(uuid4().hex, self._link_ids[link.peer])
        try:
            replacement = self._connect(link.peer, identity)
        except LinkRefusedError:
            if identity.is_sent:
                self._half_replaced.add(link.peer)
            if link.is_failed or identity.is_sent:
                raise
            return link
        if identity.received is not None:
            link.fail_unreceived(identity.received)
        return replacement

    def _connect(
        self, peer: NodeName, identity: LinkIdentity | None = None
    ) -> Link:
        identity = identity or LinkIdentity(uuid4().hex)
        address = self._lookup(peer)
        if address is None:
            raise LinkRefusedError(f'no address of {peer} is known')
        try:
            protocol, sock = dial(*address, self._own, self._security, identity)
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
            on_suspect=self._replace_suspect,
        )
        self._link_ids[peer] = identity.link_id
        self._half_replaced.discard(peer)
        start(link.run)
        return link


class _AcceptedLinks:
    """The open links that peers opened, by the names that they gave them."""

    def __init__(self) -> None:
        self._links: dict[tuple[NodeName, str], Link] = {}

    def run(self, link: Link, link_id: str) -> None:
        """Run a link until it ends."""
        name = link.peer, link_id
        self._links[name] = link
        try:
            link.run()
        finally:
            self._links.pop(name, None)

    def retire(self, peer: NodeName, identity: LinkIdentity) -> None:
        """Retire the link that a new one of the same peer replaces."""
        replaced = self._links.get((peer, identity.replaced_id))
        if replaced is not None and identity.replaced_id:
            identity.received = replaced.retire()


def _serve(
    sock: socket.socket,
    security: LinkSecurity,
    handler: Handler,
    clock: Clock,
    accepted: _AcceptedLinks,
) -> None:
    try:
        sock = security.wrap_incoming(sock)
        protocol, peer, identity = accept_handshake(
            sock, security, accepted.retire
        )
    except (OSError, ProtocolError) as error:
        MESSAGE_REFUSED.report(peer='unknown', reason=error)
        sock.close()
        return
    link = Link(protocol, sock, peer, handler, clock)
    accepted.run(link, identity.link_id)


def listen(
    address: tuple[str, int],
    security: LinkSecurity,
    handler: Handler,
    clock: Clock,
) -> None:
    """Accept links of peers at a host and port; does not return."""
    listener = listen_at(address, NOT_ACCEPTED.report)
    accepted = _AcceptedLinks()
    while True:
        sock, _ = listener.accept()
        start(_serve, sock, security, handler, clock, accepted)
