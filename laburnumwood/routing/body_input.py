"""The body of a caller's request, read in the parts in which it comes."""

from io import BufferedReader
from typing import Any

import eventlet
from eventlet import wsgi
from eventlet.wsgi import ChunkReadError

from laburnumwood.header_index import EMPTY_LINES

_READS_PER_TURN = 64  # before other tasks get their turn
_SKIP_SIZE = 16_384  # bytes
_NO_CHUNK = -1  # the length of a chunk before the first one


class ChunkReader:
    """Reads a body in chunks, of which no line is longer than `max_bytes`.

    The lines are those with the sizes of chunks, and the trailers.
    """

    def __init__(self, stream: BufferedReader, max_bytes: int) -> None:
        self._stream = stream
        self._max_bytes = max_bytes

    def read(self, size: int) -> bytes:
        """Return the next bytes of a chunk."""
        return self._stream.read(size)

    def read1(self, size: int) -> bytes:
        """Return the bytes of a chunk that come next, but none after them."""
        return self._stream.read1(size)

    def readline(self) -> bytes:
        """Return the next line; raises `ChunkReadError`."""
        line = self._stream.readline(self._max_bytes + 1)
        if len(line) > self._max_bytes:
            raise ChunkReadError(f'a line of over {self._max_bytes} bytes')
        return line

    def skip_trailers(self) -> None:
        """Skip all trailers; raises `ChunkReadError` if they are too long."""
        left = self._max_bytes
        for line in iter(self.readline, b''):
            left -= len(line)
            if line in EMPTY_LINES:
                return
            if left < 0:
                raise ChunkReadError(
                    f'trailers of over {self._max_bytes} bytes'
                )


class BodyInput(wsgi.Input):
    """A body that is read as it comes.

    The library's own reading waits until as much has come as was asked for,
    and keeps each chunk as an object until then.
    """

    chunk_length: int
    position: int

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._reads = 0

    def read_part(self, size: int) -> bytes:
        """Return the bytes that come next, at most `size`; b'' at the end.

        Raises `ChunkReadError` or `OSError`.
        """
        self._reads += 1
        if self._reads % _READS_PER_TURN == 0:
            eventlet.sleep(0)  # what has come is read without a wait
        if self.chunked_input:
            return self._read_chunk_part(size)
        part: bytes = self._do_read(self.rfile.read1, size)
        return part

    def skip_rest(self) -> None:
        """Read the rest and forget it; raises as `read_part`."""
        part = self.read_part(_SKIP_SIZE)
        while part:
            part = self.read_part(_SKIP_SIZE)

    def _read_chunk_part(self, size: int) -> bytes:
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        if self.chunk_length in {_NO_CHUNK, self.position}:
            self._begin_chunk()
        if self.chunk_length == 0:
            return b''
        left = self.chunk_length - self.position
        part: bytes = self.rfile.read1(min(left, size))
        if not part:
            self.chunk_length = 0
            raise OSError('the connection ended in a chunk')
        self.position += len(part)
        if self.position == self.chunk_length:
            self.rfile.readline()
        return part

    def _begin_chunk(self) -> None:
        """Read the size of the next chunk, and the trailers after the last."""
        if self.chunk_length == 0:
            return
        try:
            length = int(self.rfile.readline().split(b';', 1)[0], 16)
        except ValueError as error:
            raise ChunkReadError(error) from error
        if length < 0:
            raise ChunkReadError(f'a chunk of {length} bytes')
        self.position = 0
        self.chunk_length = length
        if length == 0:
            self.rfile.skip_trailers()
