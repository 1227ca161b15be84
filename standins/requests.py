"""HTTP requests to a stand-in server."""

from collections.abc import Iterator
from typing import Any
from urllib.parse import parse_qs

from standins.answers import DroppedError, RefusedError

CHUNK_BYTES = 65_536


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
        """Return the socket of the connection to the caller."""
        return self._environ['eventlet.input'].get_socket()

    def query(self, name: str, default: str = '') -> str:
        """Return a query parameter; the last value if it is repeated."""
        return self._query.get(name, [default])[-1]

    def number(self, name: str, default: int = 0) -> int:
        """Return a query parameter as a non-negative integer.

        Raises ValueError if it is not one.
        """
        return _parse_non_negative(self.query(name, str(default)))

    def optional_number(self, name: str) -> int | None:
        """Return a query parameter as a non-negative integer, or None."""
        return self.number(name) if name in self._query else None

    def header(self, name: str) -> str | None:
        """Return a header, or None if the request does not have it."""
        suffix = name.upper().replace('-', '_')
        return self._environ.get(f'HTTP_{suffix}')

    def numeric_header(self, name: str) -> int | None:
        """Return a header as a non-negative integer, or None."""
        text = self.header(name)
        return None if text is None else _parse_non_negative(text.strip('"'))

    def body_chunks(self) -> Iterator[bytes]:
        """Yield the body in chunks.

        Raises DroppedError if the body ends before its declared length.
        """
        stream = self._environ['wsgi.input']
        expected = int(self._environ.get('CONTENT_LENGTH') or 0)
        while chunk := self._read_chunk(stream):
            expected -= len(chunk)
            yield chunk
        if expected > 0:
            raise DroppedError

    def body(self, limit: int) -> bytes:
        """Return the whole body.

        Raises RefusedError if it is longer than the limit in bytes.
        """
        body = bytearray()
        for chunk in self.body_chunks():
            body.extend(chunk)
            if len(body) > limit:
                raise RefusedError(413, 'too-large')
        return bytes(body)

    def _read_chunk(self, stream: Any) -> bytes:
        try:
            return stream.read(CHUNK_BYTES)
        except OSError as error:
            raise DroppedError from error


def _parse_non_negative(text: str) -> int:
    number = int(text)
    if number < 0:
        raise ValueError(text)
    return number
