"""A limit on what a process holds of requests that are not complete.

Memory is reserved as bytes come.  When it is short, the requests that have
made no progress for the longest time are evicted: a caller that has stopped
must not keep out those that go on.
"""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from types import TracebackType

import eventlet

from laburnumwood.clock import Clock
from laburnumwood.errors import BodyEvictedError, BodyMemoryError
from laburnumwood.events import BODY_EVICTED
from laburnumwood.metrics import BODIES_EVICTED
from laburnumwood.resources.bodies import Body, release_body
from laburnumwood.resources.resident_limit import ResidentLimit

_SMALL_SIZE = 65_536  # bytes of a whole request, up to which it is small
# The share of the memory for larger requests: the rest is left to small ones.
_LARGE_SHARE = 7 / 8
# A request that advances by less within the stall time may be evicted: honest
# callers are faster, also over a poor network.
_PROGRESS_SIZE = 4_096  # bytes
_MIN_STALL_MS = 1_000

Evict = Callable[[BodyMemoryError], None]


def evict_current_task() -> Evict:
    """Return a function that raises an error in the task that calls this."""
    return partial(eventlet.kill, eventlet.getcurrent())


class BodyMemory:
    """The memory for incoming requests, of which parts are reserved."""

    def __init__(
        self,
        max_bytes: int = sys.maxsize,
        clock: Clock | None = None,
        large_share: float = _LARGE_SHARE,
    ) -> None:
        self.max_bytes = max_bytes
        self.clock = clock or Clock()
        self._large_share = large_share
        self._resident_limit: ResidentLimit | None = None
        self._reserved_bytes = 0
        self._missing_bytes = 0  # reserved for what has not come
        self._receiving: dict[BodyReservation, None] = {}

    @property
    def reserved_bytes(self) -> int:
        """Return how many bytes are reserved."""
        return self._reserved_bytes

    def set_resident_limit(self, limit: ResidentLimit) -> None:
        """Limit bodies also by what the whole process takes."""
        self._resident_limit = limit

    def reserve(
        self, size: int = 0, evict: Evict | None = None
    ) -> 'BodyReservation':
        """Reserve memory for a request; raises `BodyMemoryError`.

        A request with an `evict` function may be evicted while it is
        received.  The function is called with a `BodyEvictedError`.
        """
        reservation = BodyReservation(self, evict)
        reservation.grow(size)
        if evict is not None:
            self._receiving[reservation] = None
        return reservation

    def make_room(self, size: int, total: int) -> None:
        """Evict what has stalled until bytes fit; raises `BodyMemoryError`.

        `total` is the size of the whole request that they belong to.
        """
        allowed = self._allowed_bytes(total)
        while self._reserved_bytes + size > allowed:
            stalled = self._most_stalled() if total <= allowed else None
            if stalled is None:
                raise self._shortage(size, total, allowed)
            self._evict(stalled)
            allowed = self._allowed_bytes(total)

    def add(self, size: int) -> None:
        """Add to the reserved bytes, for which there is room."""
        self._reserved_bytes += size

    def add_missing(self, size: int) -> None:
        """Add to the reserved bytes that have not come yet."""
        self._missing_bytes += size

    def end_receiving(self, reservation: 'BodyReservation') -> None:
        """Exempt a request from eviction: it was received or has ended."""
        self._receiving.pop(reservation, None)

    def _allowed_bytes(self, total: int) -> int:
        """Return what a request of some size may leave reserved now."""
        most = self.max_bytes
        if self._resident_limit is not None:
            held = self._reserved_bytes - self._missing_bytes
            most = min(most, self._resident_limit.allowed_bytes(held))
        return self._share_of(most, total)

    def _share_of(self, most: int, total: int) -> int:
        return most if total <= _SMALL_SIZE else int(most * self._large_share)

    def _shortage(self, size: int, total: int, allowed: int) -> BodyMemoryError:
        in_use = f'{self._reserved_bytes} of {allowed} are in use'
        return BodyMemoryError(
            f'no memory for {size} bytes; {in_use}',
            never_fits=total > self._share_of(self.max_bytes, total),
        )

    def _most_stalled(self) -> 'BodyReservation | None':
        before_ms = self.clock.now_ms() - _MIN_STALL_MS
        return min(
            (
                each
                for each in self._receiving
                if each.size and each.progressed_ms <= before_ms
            ),
            key=lambda each: each.progressed_ms,
            default=None,
        )

    def _evict(self, stalled: 'BodyReservation') -> None:
        stalled_ms = self.clock.now_ms() - stalled.progressed_ms
        BODY_EVICTED.report(size=stalled.size, stalled_ms=stalled_ms)
        BODIES_EVICTED.record(1, {})
        stalled.evict(stalled_ms)


class BodyReservation:
    """The memory that is reserved for one request, until it is released.

    A context manager, which releases it.
    """

    def __init__(self, memory: BodyMemory, evict: Evict | None = None) -> None:
        self._memory = memory
        self._evict = evict
        self._size = 0
        self._missing = 0
        self._body: Body = b''
        self._progressed_size = 0
        self.progressed_ms = memory.clock.now_ms()

    def __enter__(self) -> 'BodyReservation':
        return self

    def __exit__(
        self,
        _error_type: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        self.release()

    @property
    def size(self) -> int:
        """Return how many bytes are reserved."""
        return self._size

    def expect(self, size: int) -> None:
        """Raise `BodyMemoryError` if a request of some size won't fit now."""
        self._memory.make_room(max(0, size - self._size), size)

    def grow(self, size: int) -> None:
        """Reserve more bytes; raises `BodyMemoryError`."""
        total = self._size + size
        if size > 0:
            self._memory.make_room(size, total)
        self._memory.add(size)
        self._size = total
        if total - self._progressed_size >= _PROGRESS_SIZE:
            self._progressed_size = total
            self.progressed_ms = self._memory.clock.now_ms()

    def grow_to(self, size: int) -> None:
        """Reserve bytes up to a size; raises `BodyMemoryError`."""
        self.grow(max(0, size - self._size))

    def expect_parts(self) -> None:
        """Count all that is reserved as not come yet."""
        self._change_missing(self._size)

    def record_part(self, size: int) -> None:
        """Count a part as come, for which memory was reserved before."""
        self._change_missing(-size)

    def hold(self, body: Body) -> None:
        """Release a body together with its memory."""
        self._body = body

    def complete(self) -> None:
        """Keep the memory of a request that was received whole."""
        self._memory.end_receiving(self)

    @contextmanager
    def receiving(self) -> Iterator[None]:
        """Exempt the request from eviction after this context, or its error."""
        try:
            yield
        finally:
            self.complete()

    def evict(self, stalled_ms: int) -> None:
        """Release the memory and end the task that receives the request."""
        self.release()
        if self._evict is not None:
            self._evict(BodyEvictedError(stalled_ms))

    def release(self) -> None:
        """Release everything; later calls have no effect."""
        size, self._size = self._size, 0
        body, self._body = self._body, b''
        release_body(body)
        self._change_missing(-self._missing)
        self._memory.end_receiving(self)
        self._memory.add(-size)

    def _change_missing(self, change: int) -> None:
        self._missing += change
        self._memory.add_missing(change)


BODY_MEMORY = BodyMemory()  # of this process; the settings limit it
