"""How links between nodes are secured: mutual TLS, or a shared key."""

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
        # Peers are named by IP numbers; the authority is the system's own.
        context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(tls.certificate, tls.key)
    context.load_verify_locations(tls.authority)
    return context


def _usable(tls: TlsSettings, *, server: bool) -> ssl.SSLContext:
    try:
        return _context(tls, server=server)
    except OSError as unusable:
        files = f'{tls.certificate}, {tls.key}, {tls.authority}'
        text = f'tls: the files {files} are not usable: {unusable}'
        raise SettingsError(text) from unusable


class LinkSecurity:
    """Secures connections as the settings say.

    Raises `SettingsError` if a file of the certificates can't be used.
    """

    def __init__(
        self, shared_key: str | None, tls: TlsSettings | None = None
    ) -> None:
        self._key = shared_key
        self._client: ssl.SSLContext | None = None
        self._server: ssl.SSLContext | None = None
        if tls is not None:
            self._client = _usable(tls, server=False)
            self._server = _usable(tls, server=True)

    @property
    def proof(self) -> str:
        """Return what a peer sends to prove that it knows the key."""
        return 'certificate' if self._key is None else f'Bearer {self._key}'

    def proves(self, given: str) -> bool:
        """Tell whether a peer's proof fits, in constant time."""
        return hmac.compare_digest(given.encode(), self.proof.encode())

    def wrap_dialled(self, sock: socket.socket) -> socket.socket:
        """Secure a connection that this node made; raises `OSError`."""
        if self._client is None:
            return sock
        return self._client.wrap_socket(sock)

    def wrap_accepted(self, sock: socket.socket) -> socket.socket:
        """Secure a connection that a peer made; raises `OSError`."""
        if self._server is None:
            return sock
        sock.settimeout(_HANDSHAKE_TIMEOUT_S)
        return self._server.wrap_socket(sock, server_side=True)
