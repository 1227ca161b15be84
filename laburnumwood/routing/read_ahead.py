"""Reading of a long answer faster than it can be sent.

The worker's slot and connection are free once its answer has been read; how
long the parts then wait for the network does not concern the worker.
"""

from collections.abc import Iterable

import eventlet
from eventlet.queue import LightQueue

from laburnumwood.errors import BodyMemoryError, LinkError, WorkerAnswerError
from laburnumwood.notifier import Notifier
from laburnumwood.protocol.messages import Chunk
from laburnumwood.protocol.send_queue import SEND_QUEUE, SendQueue
from laburnumwood.resources.body_memory import BodyMemory
from laburnumwood.routing.exchange import Exchange
from laburnumwood.tasks import start_joinable

_MAX_UNSENT_BYTES = 1_048_576  # of one answer
_MAX_UNSENT_OF_ALL_BYTES = 16_777_216  # of all answers of the process
_ROOM_CHECK_MS = 50  # other answers may have made room

_ANSWER_MEMORY = BodyMemory(_MAX_UNSENT_OF_ALL_BYTES, large_share=1)


class ReadAhead:
    """Sends the parts of one answer in a task while further ones are read."""

    def __init__(
        self, exchange: Exchange, send_queue: SendQueue = SEND_QUEUE
    ) -> None:
        self._exchange = exchange
        self._send_queue = send_queue
        self._reader = eventlet.getcurrent()
        self._is_reading = True
        self._parts: LightQueue = LightQueue()
        self._unsent = 0
        self._backlog = 0
        self._sent = Notifier()
        self._failure: LinkError | None = None
        self._memory = _ANSWER_MEMORY.reserve()
        self._sender = start_joinable(self._send)

    def read(self, parts: Iterable[bytes]) -> int:
        """Read all parts; return their length.

        Raises `LinkError` as soon as a part can't be sent.  If the worker does
        not finish its answer, the parts that it gave are sent first.
        """
        length = 0
        try:
            for part in parts:
                self._wait_for_room(len(part))
                self._parts.put(part)
                length += len(part)
        except WorkerAnswerError:
            self._end_reading()
            self.wait()
            raise
        self._end_reading()
        return length

    def wait(self) -> None:
        """Wait until all parts are sent; raises `LinkError`."""
        self._sender.wait()
        if self._failure is not None:
            raise self._failure

    def close(self) -> None:
        """Stop sending, and forget what has not been sent."""
        self._is_reading = False
        self._sender.kill()
        self._change_backlog(-self._backlog)
        self._memory.release()

    def _end_reading(self) -> None:
        self._is_reading = False
        self._parts.put(None)

    def _wait_for_room(self, size: int) -> None:
        """Wait until a part fits; one part of each answer always does."""
        while self._unsent and not self._reserve(size):
            self._sent.wait(_ROOM_CHECK_MS)
        self._unsent += size
        self._change_backlog(size)

    def _change_backlog(self, size: int) -> None:
        """Note parts that wait here, not yet in the send queue."""
        self._backlog += size
        self._send_queue.change_backlog(size)

    def _reserve(self, size: int) -> bool:
        if self._unsent + size > _MAX_UNSENT_BYTES:
            return False
        try:
            self._memory.grow_to(self._unsent + size)
        except BodyMemoryError:
            return False
        return True

    def _send(self) -> None:
        try:
            for part in iter(self._parts.get, None):
                self._change_backlog(-len(part))
                self._exchange.send(Chunk(part))
                self._unsent -= len(part)
                self._sent.notify_all()
        except LinkError as failure:
            self._failure = failure
            if self._is_reading:
                eventlet.kill(self._reader, failure)
