"""The handshake of a link, on both sides, with authentication."""

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from eventlet.green import socket
from websockets.client import ClientProtocol
from websockets.datastructures import Headers
from websockets.http11 import Request, Response
from websockets.protocol import Protocol
from websockets.server import ServerProtocol
from websockets.typing import Subprotocol
from websockets.uri import parse_uri

from laburnumwood.errors import LinkError, LinkRefusedError, ProtocolError
from laburnumwood.protocol.codec import MAX_FRAME_SIZE
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.records import NodeName

_NAME_HEADER = 'Laburnumwood-Node'
_KEY_HEADER = 'Authorization'
_LINK_HEADER = 'Laburnumwood-Link'
_REPLACES_HEADER = 'Laburnumwood-Replaces'
_RECEIVED_HEADER = 'Laburnumwood-Received'
# Offered by nodes that accept messages with added fields.
ADDED_FIELDS = Subprotocol('laburnumwood.added-fields')
# Offered by nodes that also know added messages.
ADDED_MESSAGES = Subprotocol('laburnumwood.added-messages')
_KNOWN = (ADDED_MESSAGES, ADDED_FIELDS)  # the latest first
OFFERED = list(_KNOWN)
_READ_SIZE = 4_096
_NUMBER = re.compile('[0-9]{1,18}')
_DIAL_TIMEOUT_S = 0.5
_FORBIDDEN = 403
_SWITCHING = 101


@dataclass(slots=True)
class LinkIdentity:
    """The id of a link, and the silent link of the same peers it replaces.

    `received` is the last stream of the replaced link that the accepting side
    has received: it accepts no later ones.  It is None if that link is not
    known there, or if there is none.  Once the identity `is_sent`, the other
    side may have retired the replaced link, whatever happens then.
    """

    link_id: str = ''
    replaced_id: str = ''
    received: int | None = None
    is_sent: bool = False


RetireLink = Callable[[NodeName, LinkIdentity], None]


def _receive_until_event(protocol: Protocol, sock: socket.socket) -> object:
    while True:
        received = sock.recv(_READ_SIZE)
        if not received:
            raise ConnectionResetError('handshake was cut')
        protocol.receive_data(received)
        events = protocol.events_received()
        if events:
            return events[0]


def _send(protocol: Protocol, sock: socket.socket) -> None:
    for part in protocol.data_to_send():
        sock.sendall(part)


def _request_handshake(
    sock: socket.socket,
    own: NodeName,
    security: LinkSecurity,
    identity: LinkIdentity,
) -> Protocol:
    protocol = ClientProtocol(
        parse_uri('ws://peer/'),
        subprotocols=OFFERED,
        max_size=MAX_FRAME_SIZE,
    )
    request = protocol.connect()
    request.headers[_NAME_HEADER] = str(own)
    request.headers[_KEY_HEADER] = security.credentials
    request.headers[_LINK_HEADER] = identity.link_id
    request.headers[_REPLACES_HEADER] = identity.replaced_id
    protocol.send_request(request)
    identity.is_sent = True
    _send(protocol, sock)
    answer = _receive_until_event(protocol, sock)
    if not isinstance(answer, Response) or answer.status_code != _SWITCHING:
        raise LinkRefusedError('the peer refused the handshake')
    received = answer.headers.get(_RECEIVED_HEADER, '')
    if _NUMBER.fullmatch(received):
        identity.received = int(received)
    return protocol


def accepts_added_fields(protocol: Protocol) -> bool:
    """Return whether both sides of a connection accept added fields."""
    return protocol.subprotocol in {ADDED_FIELDS, ADDED_MESSAGES}


def accepts_added_messages(protocol: Protocol) -> bool:
    """Return whether both sides of a connection know added messages."""
    return protocol.subprotocol == ADDED_MESSAGES


def dial(
    host: str,
    port: int,
    own: NodeName,
    security: LinkSecurity,
    identity: LinkIdentity | None = None,
) -> tuple[Protocol, socket.socket]:
    """Connect to a peer, complete the handshake and return the connection.

    `identity` is sent if it is given, and the peer's answer completes it.

    Raises `LinkRefusedError`; no message was sent in this case.
    """
    try:
        sock = socket.create_connection((host, port), _DIAL_TIMEOUT_S)
    except OSError as error:
        raise LinkRefusedError(f'{host}:{port}: {error}') from error
    try:
        sock = security.wrap_outgoing(sock)
        protocol = _request_handshake(
            sock, own, security, identity or LinkIdentity()
        )
    except OSError as failure:
        sock.close()
        raise LinkRefusedError(f'{host}:{port}: {failure}') from failure
    except LinkError:
        sock.close()
        raise
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return protocol, sock


def _authenticate(headers: Headers, security: LinkSecurity) -> NodeName:
    if not security.accepts(headers.get(_KEY_HEADER, '')):
        raise ProtocolError('the shared key does not match')
    try:
        return NodeName.parse(headers.get(_NAME_HEADER, ''))
    except ValueError as error:
        raise ProtocolError(str(error)) from error


def _select_subprotocol(
    _protocol: ServerProtocol, offered: Sequence[Subprotocol]
) -> Subprotocol | None:
    return next((known for known in _KNOWN if known in offered), None)


def _read_identity(headers: Headers) -> LinkIdentity:
    return LinkIdentity(
        headers.get(_LINK_HEADER, ''), headers.get(_REPLACES_HEADER, '')
    )


def _accept(
    protocol: ServerProtocol, request: Request, identity: LinkIdentity
) -> Response:
    response = protocol.accept(request)
    if identity.received is not None:
        response.headers[_RECEIVED_HEADER] = str(identity.received)
    return response


def _ignore(_peer: NodeName, _identity: LinkIdentity) -> None:
    """Leave the replaced link as it is."""


def accept_handshake(
    sock: socket.socket, security: LinkSecurity, retire: RetireLink = _ignore
) -> tuple[Protocol, NodeName, LinkIdentity]:
    """Answer the handshake of a peer; return connection, name and identity.

    `sock` is already wrapped in TLS if links use it.  `retire` is called to
    retire the link that the new one replaces.  Raises `ProtocolError` if the
    key or the name that the peer sends is invalid, and `OSError` if the
    connection fails.
    """
    sock.settimeout(_DIAL_TIMEOUT_S)
    protocol = ServerProtocol(
        select_subprotocol=_select_subprotocol, max_size=MAX_FRAME_SIZE
    )
    request = _receive_until_event(protocol, sock)
    if not isinstance(request, Request):
        raise ProtocolError('the first data was not a handshake request')
    try:
        peer = _authenticate(request.headers, security)
    except ProtocolError:
        protocol.send_response(protocol.reject(_FORBIDDEN, 'key or name'))
        _send(protocol, sock)
        raise
    identity = _read_identity(request.headers)
    retire(peer, identity)
    protocol.send_response(_accept(protocol, request, identity))
    _send(protocol, sock)
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return protocol, peer, identity
