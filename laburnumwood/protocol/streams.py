"""Streams: exchanges of messages that share one link."""

from collections.abc import Callable
from typing import Any, Protocol

import eventlet
from eventlet import Timeout
from eventlet.queue import LightQueue

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import (
    LinkError,
    LinkLostError,
    LinkTimeoutError,
    ProtocolError,
)
from laburnumwood.protocol.messages import Chunk, Credit, Failure

WINDOW = 256 * 1024  # bytes that may be sent ahead of the reader
_CREDIT_SIZE = WINDOW // 2  # bytes read before the sender is told of them
_MOST_UNREAD = 2 * WINDOW  # the last chunk of a window may exceed it


Watcher = Callable[[], None]


class FrameSender(Protocol):
    """What a stream needs of its link."""

    def send(self, stream: int, message: Any) -> None:
        """Send a message of a stream, or raise `LinkLostError`."""

    def remove_stream(self, stream: int) -> None:
        """Drop a stream that has ended."""


class Stream:
    """One exchange with a peer: messages in both directions, in order.

    Chunks of bodies are subject to flow control: at most `WINDOW` bytes are
    under way that the other side has not read.
    """

    def __init__(
        self, number: int, link: FrameSender, *, survives_silence: bool = False
    ) -> None:
        self._number = number
        self._link = link
        self._inbox: LightQueue = LightQueue()
        self._credits: LightQueue = LightQueue()
        self._window = WINDOW
        self._unread = 0
        self._untold = 0  # bytes that were read, and the sender not told
        self._answered = False
        self._outlasts_silence = survives_silence
        self._failure: LinkError | None = None
        self._watcher: Watcher | None = None

    @property
    def survives_silence(self) -> bool:
        """Tell whether to wait on while the link is silent.

        Of an answer that has begun the rest may still come.
        """
        return self._outlasts_silence

    def send(self, message: Any) -> None:
        """Send a message; a chunk waits until the window lets it through.

        Raises `LinkLostError`.
        """
        if isinstance(message, Chunk):
            self._wait_for_window()
            if self._answered:
                return  # whoever has answered reads no more of a body
            self._window -= len(message.content)
        self._link.send(self._number, message)

    def receive(self, timeout_ms: int) -> Any:
        """Return the next message.

        Raises `LinkTimeoutError` if none comes in time, `LinkLostError` if
        none can come any more.
        """
        if self._failure and self._inbox.empty():
            raise self._failure
        message = self._await_message(timeout_ms)
        if isinstance(message, LinkError):
            raise message
        if isinstance(message, Chunk):
            self._note_read(len(message.content))
        return message

    def set_message_handler(self, act: Watcher | None) -> None:
        """Set what is done at the next message or at the end of the link.

        It is done at once if there has been one already.
        """
        self._watcher = act
        if act is not None and (self._failure or not self._inbox.empty()):
            act()

    def close(self) -> None:
        """End the stream on this side."""
        self._link.remove_stream(self._number)

    def deliver(self, message: Any) -> None:
        """Take in a message that the link received for this stream."""
        if isinstance(message, Credit):
            self._credits.put(message.size)
            return
        self._outlasts_silence = True
        if isinstance(message, Chunk):
            self._unread += len(message.content)
            if self._unread > _MOST_UNREAD:
                raise ProtocolError('more was sent than the window allows')
            self._inbox.put(message)
        else:
            self._take(message)

    def fail(self, reason: LinkError) -> None:
        """Let all that waits on this stream fail."""
        self._failure = reason
        self._inbox.put(reason)
        self._credits.put(0)
        self._tell_watcher()

    def _await_message(self, timeout_ms: int) -> Any:
        late = LinkTimeoutError('no reply')
        try:
            with Timeout(timeout_ms / MS_PER_SECOND, late):
                return self._inbox.get()
        except LinkTimeoutError:
            # What came while this process was busy is read first.
            eventlet.sleep(0)
            if self._inbox.empty():
                raise
            return self._inbox.get()

    def _note_read(self, size: int) -> None:
        self._unread -= size
        self._untold += size
        if self._untold >= _CREDIT_SIZE:
            told, self._untold = self._untold, 0
            self._link.send(self._number, Credit(told))

    def _take(self, message: Any) -> None:
        self._inbox.put(message)
        if isinstance(message, Failure):
            self._answered = True
            self._credits.put(0)
        self._tell_watcher()

    def _tell_watcher(self) -> None:
        if self._watcher is not None:
            self._watcher()

    def _wait_for_window(self) -> None:
        while self._window <= 0 or not self._credits.empty():
            if self._answered:
                return
            self._window += self._credits.get()
            if self._failure:
                raise LinkLostError(str(self._failure))
