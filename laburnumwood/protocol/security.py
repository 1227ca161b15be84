"""Security of the links between nodes: mutual TLS or a shared key."""

import hmac
import ssl

from eventlet.green import socket
from eventlet.green import ssl as green_ssl

from laburnumwood.errors import SettingsError
from laburnumwood.settings import TlsSettings

_HANDSHAKE_TIMEOUT_S = 1


def _context(tls: TlsSettings, *, server: bool) -> ssl.SSLContext:
    side = ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT
    context = green_ssl.SSLContext(side)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if not server:
        # Peers are addressed by IP, and the system has a CA of its own.
        context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(tls.certificate, tls.key)
    context.load_verify_locations(tls.authority)
    return context


def _checked_context(tls: TlsSettings, *, server: bool) -> ssl.SSLContext:
    try:
        return _context(tls, server=server)
    except OSError as error:
        files = f'{tls.certificate}, {tls.key}, {tls.authority}'
        text = f'tls: the files {files} are not usable: {error}'
        raise SettingsError(text) from error


class LinkSecurity:
    """Secures connections with a shared key or, if `tls` is given, with TLS.

    Raises `SettingsError` if a certificate file can't be used.
    """

    def __init__(
        self, shared_key: str | None, tls: TlsSettings | None = None
    ) -> None:
        self._key = shared_key
        self._client: ssl.SSLContext | None = None
        self._server: ssl.SSLContext | None = None
        if tls is not None:
            self._client = _checked_context(tls, server=False)
            self._server = _checked_context(tls, server=True)

    @property
    def credentials(self) -> str:
        """Return the credentials that a node sends in the handshake."""
        return 'certificate' if self._key is None else f'Bearer {self._key}'

    def accepts(self, credentials: str) -> bool:
        """Return whether credentials are valid; takes constant time."""
        return hmac.compare_digest(
            credentials.encode(), self.credentials.encode()
        )

    def wrap_outgoing(self, sock: socket.socket) -> socket.socket:
        """Wrap a connection that this node opened; raises `OSError`."""
        if self._client is None:
            return sock
        return self._client.wrap_socket(sock)

    def wrap_incoming(self, sock: socket.socket) -> socket.socket:
        """Wrap a connection that a peer opened; raises `OSError`."""
        if self._server is None:
            return sock
        sock.settimeout(_HANDSHAKE_TIMEOUT_S)
        return self._server.wrap_socket(sock, server_side=True)
