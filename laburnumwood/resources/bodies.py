"""The bodies of requests, in memory that is returned once they are gone.

A long body that grew in the heap would leave holes of the sizes that it had.
It is kept in a memory mapping of its own instead, which grows without being
copied and is returned to the system when its last user releases it.
"""

from contextlib import suppress
from io import BytesIO
from mmap import MADV_NOHUGEPAGE, MAP_ANONYMOUS, MAP_PRIVATE, mmap
from types import TracebackType

from laburnumwood.errors import BodyMemoryError

_MAX_HEAP_SIZE = 16_384  # bytes of a body that is not mapped
_FIRST_SIZE = 65_536  # bytes of a new mapping; unused pages take no memory
_GROWTH = 2
_NO_FILE = -1


class MappedBody(mmap):
    """A body in a mapping of its own, which its last user closes."""

    def __init__(self, *_args: object, **_options: object) -> None:
        super().__init__()
        self._users = 1

    def retain(self) -> None:
        """Add a user, who has to call `release`."""
        self._users += 1

    def release(self) -> None:
        """Remove a user; there is no body once there are none."""
        self._users -= 1
        if not self._users:
            # Part of it may still be sent by a task that has just been killed.
            with suppress(BufferError):
                self.close()


Body = bytes | MappedBody


def retain_body(body: Body) -> None:
    """Add a user of a body, who has to call `release_body`."""
    if isinstance(body, MappedBody):
        body.retain()


def release_body(body: Body) -> None:
    """Remove a user of a body."""
    if isinstance(body, MappedBody):
        body.release()


def _map(size: int) -> MappedBody:
    mapping = MappedBody(_NO_FILE, size, flags=MAP_PRIVATE | MAP_ANONYMOUS)
    # A huge page would take far more memory than what has come.
    with suppress(OSError):  # the system has none
        mapping.madvise(MADV_NOHUGEPAGE)
    return mapping


class BodyBuffer:
    """Receives one body of at most `max_bytes` in parts.

    A context manager: what was received is forgotten after an error.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size = 0
        self._short = BytesIO()
        self._mapping: MappedBody | None = None

    def __enter__(self) -> 'BodyBuffer':
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        self._short.close()
        if error_type is not None and self._mapping is not None:
            self._mapping.release()

    def append(self, part: bytes) -> None:
        """Add the part that follows; raises `BodyMemoryError`."""
        end = self._size + len(part)
        if self._mapping is None and end <= _MAX_HEAP_SIZE:
            self._short.write(part)
        else:
            self._extend(end).write(part)
        self._size = end

    def finish(self) -> Body:
        """Return the whole body; raises `BodyMemoryError`."""
        if self._mapping is None:
            return self._short.getvalue()  # not a copy
        self._resize(self._mapping, self._size)
        return self._mapping

    def _extend(self, end: int) -> MappedBody:
        """Return the mapping, with room up to an end."""
        try:
            mapping = self._mapping or _map(min(_FIRST_SIZE, self._max_bytes))
        except OSError as error:
            raise BodyMemoryError(str(error)) from error
        if self._mapping is None:
            self._mapping = mapping
            mapping.write(self._short.getvalue())
        if end > len(mapping):
            grown = min(_GROWTH * len(mapping), self._max_bytes)
            self._resize(mapping, max(end, grown))
        return mapping

    def _resize(self, mapping: MappedBody, size: int) -> None:
        """Change the size of a mapping, without a copy of its content."""
        try:
            mapping.resize(size)
        except OSError as error:
            raise BodyMemoryError(str(error)) from error
