"""What a stand-in is asked."""

from collections.abc import Iterator
from typing import Any
from urllib.parse import parse_qs

from standins.answers import DroppedError, RefusedError

PIECE_BYTES = 65_536


class Request:
    """One HTTP request, read from its WSGI environment."""

    def __init__(self, environ: dict[str, Any]) -> None:
        self._environ = environ
        self._query = parse_qs(
            environ.get('QUERY_STRING', ''),
            keep_blank_values=True,
        )
        self.method: str = environ['REQUEST_METHOD']
        self.path: str = environ['PATH_INFO'].encode('latin-1').decode()

    @property
    def connection(self) -> Any:
        """Return the socket of the caller."""
        return self._environ['eventlet.input'].get_socket()

    def query(self, name: str, default: str = '') -> str:
        """Return one parameter of the query."""
        return self._query.get(name, [default])[-1]

    def number(self, name: str, default: int = 0) -> int:
        """Return one parameter of the query as a number from 0 up."""
        return _natural(self.query(name, str(default)))

    def optional_number(self, name: str) -> int | None:
        """Return one parameter of the query as a number, or None."""
        return self.number(name) if name in self._query else None

    def header(self, name: str) -> str | None:
        """Return one header, or None if the request lacks it."""
        suffix = name.upper().replace('-', '_')
        return self._environ.get(f'HTTP_{suffix}')

    def numeric_header(self, name: str) -> int | None:
        """Return one header as a number from 0 up, or None."""
        text = self.header(name)
        return None if text is None else _natural(text.strip('"'))

    def pieces(self) -> Iterator[bytes]:
        """Yield the body; a body that breaks off drops the connection."""
        stream = self._environ['wsgi.input']
        expected = int(self._environ.get('CONTENT_LENGTH') or 0)
        while piece := self._read(stream):
            expected -= len(piece)
            yield piece
        if expected > 0:
            raise DroppedError

    def body(self, limit: int) -> bytes:
        """Return the whole body; refuse one of more bytes than the limit."""
        body = bytearray()
        for piece in self.pieces():
            body.extend(piece)
            if len(body) > limit:
                raise RefusedError(413, 'too-large')
        return bytes(body)

    def _read(self, stream: Any) -> bytes:
        try:
            return stream.read(PIECE_BYTES)
        except OSError as error:
            raise DroppedError from error


def _natural(text: str) -> int:
    number = int(text)
    if number < 0:
        raise ValueError(text)
    return number
