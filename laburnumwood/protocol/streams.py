"""Streams: independent exchanges of messages on one link."""

from collections.abc import Callable
from contextlib import suppress
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
from laburnumwood.tasks import start

WINDOW_SIZE = 256 * 1024  # bytes that may be sent ahead of the reader
_CREDIT_SIZE = WINDOW_SIZE // 2  # bytes read before a credit is sent
_MAX_UNREAD = 2 * WINDOW_SIZE  # the last chunk of a window may exceed it


MessageHandler = Callable[[], None]


def never() -> bool:
    """Return False: a stream fails while its link is silent."""
    return False


class FrameSender(Protocol):
    """The part of a link that a stream uses."""

    def send(self, stream: int, message: Any) -> None:
        """Send a message on a stream; raises `LinkLostError`."""

    def remove_stream(self, stream: int) -> None:
        """Remove a stream that has ended."""


class Stream:
    """One exchange with a peer: messages in both directions, in order.

    Chunks of bodies are subject to flow control: about `WINDOW_SIZE` bytes at
    most are sent before the other side has read them.
    """

    def __init__(
        self,
        number: int,
        link: FrameSender,
        *,
        survives_silence: Callable[[], bool] = never,
    ) -> None:
        self._number = number
        self._link = link
        self._inbox: LightQueue = LightQueue()
        self._credits: LightQueue = LightQueue()
        self._window = WINDOW_SIZE
        self._unread = 0
        self._uncredited = 0  # bytes read since the last credit was sent
        self._answered = False
        self._answer_has_begun = False
        self._survives_silence = survives_silence
        self._failure: LinkError | None = None
        self._message_handler: MessageHandler | None = None

    @property
    def survives_silence(self) -> bool:
        """Return whether the stream stays open while the link is silent.

        It also does so once an answer has begun: the rest may still arrive.
        """
        return self._answer_has_begun or self._survives_silence()

    def send(self, message: Any) -> None:
        """Send a message; a chunk waits until the window has room.

        Raises `LinkLostError`.
        """
        if isinstance(message, Chunk):
            self._wait_for_window()
            if self._answered:
                return  # a peer that has answered no longer reads the body
            self._window -= len(message.content)
        self._link.send(self._number, message)

    def receive(self, timeout_ms: int) -> Any:
        """Return the next message.

        Raises `LinkTimeoutError` if none arrives within `timeout_ms`, and
        `LinkLostError` if the link is lost.
        """
        if self._failure and self._inbox.empty():
            raise self._failure
        message = self._await_message(timeout_ms)
        if isinstance(message, LinkError):
            raise message
        if isinstance(message, Chunk):
            self._credit_read(len(message.content))
        return message

    def set_message_handler(self, handler: MessageHandler | None) -> None:
        """Set a function to call for each message but chunks, and on failure.

        It is called at once if a message is unread or the link is lost.
        """
        self._message_handler = handler
        if handler is not None and (self._failure or not self._inbox.empty()):
            handler()

    def close(self) -> None:
        """Close the stream on this side."""
        self._link.remove_stream(self._number)

    def deliver(self, message: Any) -> None:
        """Process a message that the link received for this stream.

        Raises `ProtocolError` if the peer ignores the window.
        """
        if isinstance(message, Credit):
            self._credits.put(message.size)
            return
        self._answer_has_begun = True
        if isinstance(message, Chunk):
            self._unread += len(message.content)
            if self._unread > _MAX_UNREAD:
                raise ProtocolError('the peer sent more than the window allows')
            self._inbox.put(message)
        else:
            self._enqueue(message)

    def fail(self, reason: LinkError) -> None:
        """Fail every task that waits on this stream."""
        self._failure = reason
        self._inbox.put(reason)
        self._credits.put(0)
        self._call_handler()

    def _await_message(self, timeout_ms: int) -> Any:
        timed_out = LinkTimeoutError('no reply')
        try:
            with Timeout(timeout_ms / MS_PER_SECOND, timed_out):
                return self._inbox.get()
        except LinkTimeoutError:
            # Messages that arrived while this process was busy are read first.
            eventlet.sleep(0)
            if self._inbox.empty():
                raise
            return self._inbox.get()

    def _credit_read(self, size: int) -> None:
        self._unread -= size
        self._uncredited += size
        if self._uncredited >= _CREDIT_SIZE:
            credit, self._uncredited = self._uncredited, 0
            # The reader does not wait for a link that is blocked.
            start(self._send_credit, credit)

    def _send_credit(self, credit: int) -> None:
        with suppress(LinkError):
            self._link.send(self._number, Credit(credit))

    def _enqueue(self, message: Any) -> None:
        self._inbox.put(message)
        if isinstance(message, Failure):
            self._answered = True
            self._credits.put(0)
        self._call_handler()

    def _call_handler(self) -> None:
        if self._message_handler is not None:
            self._message_handler()

    def _wait_for_window(self) -> None:
        while self._window <= 0 or not self._credits.empty():
            if self._answered:
                return
            self._window += self._credits.get()
            if self._failure:
                raise LinkLostError(str(self._failure))
