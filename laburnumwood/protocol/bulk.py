"""Turns of long frames, so that short ones of other links need not wait.

What leaves a machine shares its connection to the network, in the order in
which it was handed over.  Long frames to many peers at once would fill it, and
every short answer, ping and lease would come after them.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from eventlet.semaphore import Semaphore

from laburnumwood.clock import MS_PER_SECOND

LONG_FRAME = 16_384  # bytes
PATIENCE_MS = 500  # for a turn: a peer that takes nothing keeps its own


class BulkTurns:
    """Lets one long frame leave at a time, whatever link it is for.

    A frame that has waited for `patience_ms` goes out beside others.
    """

    def __init__(self, patience_ms: int = PATIENCE_MS) -> None:
        self._patience_s = patience_ms / MS_PER_SECOND
        self._turn = Semaphore()

    @contextmanager
    def taken(self, size: int) -> Iterator[None]:
        """Hold a turn, if a frame of this size needs one, for the block."""
        took = size >= LONG_FRAME and self._turn.acquire(
            timeout=self._patience_s
        )
        try:
            yield
        finally:
            if took:
                self._turn.release()
