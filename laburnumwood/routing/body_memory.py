"""A limit on the request bodies that a process holds in memory at a time."""

import sys
from types import TracebackType

from laburnumwood.errors import BodyMemoryError


class BodyMemory:
    """The memory for request bodies, of which parts are reserved."""

    def __init__(self, max_bytes: int = sys.maxsize) -> None:
        self.max_bytes = max_bytes
        self._reserved_bytes = 0

    @property
    def reserved_bytes(self) -> int:
        """Return how many bytes are reserved."""
        return self._reserved_bytes

    def reserve(self, size: int = 0) -> 'BodyReservation':
        """Reserve memory for a body; raises `BodyMemoryError`."""
        reservation = BodyReservation(self)
        reservation.grow(size)
        return reservation

    def add(self, size: int) -> None:
        """Add to the reserved bytes; raises `BodyMemoryError` if too many."""
        if size > 0 and self._reserved_bytes + size > self.max_bytes:
            raise BodyMemoryError(size, self._reserved_bytes, self.max_bytes)
        self._reserved_bytes += size


class BodyReservation:
    """The memory that is reserved for one body, until it is released.

    A context manager, which releases it.
    """

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._size = 0

    def __enter__(self) -> 'BodyReservation':
        return self

    def __exit__(
        self,
        _error_type: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        self.release()

    def grow(self, size: int) -> None:
        """Reserve more bytes; raises `BodyMemoryError`."""
        self._memory.add(size)
        self._size += size

    def grow_to(self, size: int) -> None:
        """Reserve bytes up to a size; raises `BodyMemoryError`."""
        self.grow(max(0, size - self._size))

    def release(self) -> None:
        """Release everything; later calls have no effect."""
        size, self._size = self._size, 0
        self._memory.add(-size)


BODY_MEMORY = BodyMemory()  # of this process; the settings limit it
