"""Opening of links on both sides, with proof of who the peer is."""

from eventlet.green import socket
from websockets.client import ClientProtocol
from websockets.datastructures import Headers
from websockets.http11 import Request, Response
from websockets.protocol import Protocol
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from laburnumwood.errors import LinkRefusedError, ProtocolError
from laburnumwood.protocol.codec import MAX_FRAME_SIZE
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.records import NodeName

_NAME_HEADER = 'Laburnumwood-Node'
_KEY_HEADER = 'Authorization'
_READ_SIZE = 4_096
_DIAL_TIMEOUT_S = 0.5
_FORBIDDEN = 403
_SWITCHING = 101


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


def _greet(
    sock: socket.socket, own: NodeName, security: LinkSecurity
) -> Protocol:
    protocol = ClientProtocol(parse_uri('ws://peer/'), max_size=MAX_FRAME_SIZE)
    request = protocol.connect()
    request.headers[_NAME_HEADER] = str(own)
    request.headers[_KEY_HEADER] = security.proof
    protocol.send_request(request)
    _send(protocol, sock)
    answer = _receive_until_event(protocol, sock)
    if not isinstance(answer, Response) or answer.status_code != _SWITCHING:
        raise LinkRefusedError('the peer refused the handshake')
    return protocol


def dial(
    host: str, port: int, own: NodeName, security: LinkSecurity
) -> tuple[Protocol, socket.socket]:
    """Connect to a peer and return the open connection.

    Raises `LinkRefusedError`; nothing but the handshake was sent then.
    """
    sock = None
    try:
        sock = socket.create_connection((host, port), _DIAL_TIMEOUT_S)
        sock = security.wrap_dialled(sock)
        protocol = _greet(sock, own, security)
    except OSError as unreachable:
        if sock is not None:
            sock.close()
        raise LinkRefusedError(f'{host}:{port}: {unreachable}') from unreachable
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return protocol, sock


def _name_in(headers: Headers, security: LinkSecurity) -> NodeName:
    if not security.proves(headers.get(_KEY_HEADER, '')):
        raise ProtocolError('the shared key does not fit')
    try:
        return NodeName.parse(headers.get(_NAME_HEADER, ''))
    except ValueError as unnamed:
        raise ProtocolError(str(unnamed)) from unnamed


def accept_handshake(
    sock: socket.socket, security: LinkSecurity
) -> tuple[Protocol, NodeName]:
    """Answer a peer that has connected, secured already; return its name.

    Raises `ProtocolError` for a peer that does not know the key, and
    `OSError` if the connection ends.
    """
    sock.settimeout(_DIAL_TIMEOUT_S)
    protocol = ServerProtocol(max_size=MAX_FRAME_SIZE)
    request = _receive_until_event(protocol, sock)
    if not isinstance(request, Request):
        raise ProtocolError('no handshake')
    try:
        peer = _name_in(request.headers, security)
    except ProtocolError:
        protocol.send_response(protocol.reject(_FORBIDDEN, 'key or name'))
        _send(protocol, sock)
        raise
    protocol.send_response(protocol.accept(request))
    _send(protocol, sock)
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return protocol, peer
