"""A link: one websocket connection that carries many streams."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import eventlet
from eventlet.green import socket
from eventlet.semaphore import Semaphore
from websockets.exceptions import InvalidState
from websockets.frames import Frame, Opcode
from websockets.protocol import Protocol

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import LinkLostError, ProtocolError
from laburnumwood.events import MESSAGE_REFUSED
from laburnumwood.protocol.codec import decode, encode
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName

SILENCE_MS = 1_000  # a link that owes something is lost after this
_PING_MS = 300
_READ_SIZE = 65_536

Handler = Callable[['Link', Stream, Any], None]


class Link:
    """A connection to a peer after its handshake.

    `handler` is called in a task of its own for each stream that the peer
    opens, with the first message on it.
    """

    def __init__(
        self,
        protocol: Protocol,
        sock: socket.socket,
        peer: NodeName,
        handler: Handler,
        clock: Clock,
    ) -> None:
        self._protocol = protocol
        self._socket = sock
        self._peer = peer
        self._handler = handler
        self._clock = clock
        self._streams: dict[int, Stream] = {}
        self._last_number = 0
        self._last_opened = 0
        self._heard_ms = clock.now_ms()
        self._owed_since_ms: int | None = None
        self._lock = Semaphore()
        self._open = True

    @property
    def peer(self) -> NodeName:
        """Return the name that the peer gave in the handshake."""
        return self._peer

    @property
    def is_open(self) -> bool:
        """Tell whether messages can still be sent."""
        return self._open

    def run(self) -> None:
        """Read until the connection ends; call it in a task of its own."""
        pinger = eventlet.spawn(self._watch_silence)
        try:
            self._read()
        except ProtocolError as refused:
            MESSAGE_REFUSED.report(peer=self._peer, reason=refused)
        finally:
            pinger.kill()
            self.close()

    def open_stream(self) -> Stream:
        """Return a new stream to the peer."""
        self._last_number += 1
        stream = Stream(self._last_number, self)
        self._streams[self._last_number] = stream
        self._expect_answer()
        return stream

    def send(self, stream: int, message: Any) -> None:
        """Send a message of a stream."""
        frame = encode(stream, message)
        with self._lock:
            if not self._open:
                raise LinkLostError(f'link to {self._peer} is closed')
            self._protocol.send_binary(frame)
            self._flush()

    def forget(self, stream: int) -> None:
        """Drop a stream that has ended."""
        self._streams.pop(stream, None)

    def close(self) -> None:
        """End the connection and every stream on it."""
        if not self._open:
            return
        self._open = False
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        for stream in tuple(self._streams.values()):
            stream.fail(LinkLostError(f'link to {self._peer} was lost'))
        self._streams.clear()

    def _flush(self) -> None:
        try:
            for part in self._protocol.data_to_send():
                self._socket.sendall(part)
        except OSError as broken:
            eventlet.spawn_n(self.close)
            raise LinkLostError(f'link to {self._peer} broke') from broken

    def _read(self) -> None:
        while self._open:
            try:
                received = self._socket.recv(_READ_SIZE)
            except (OSError, EOFError):
                return
            if not received:
                return
            self._heard_ms = self._clock.now_ms()
            self._owed_since_ms = None
            self._protocol.receive_data(received)
            self._take_events()

    def _take_events(self) -> None:
        for event in self._protocol.events_received():
            if isinstance(event, Frame) and event.opcode is Opcode.BINARY:
                self._dispatch(*decode(bytes(event.data)))
        with self._lock, suppress(LinkLostError):
            self._flush()

    def _dispatch(self, number: int, message: Any) -> None:
        # Numbers of streams that the peer opened are kept negative here.
        stream = self._streams.get(-number)
        if stream is not None:
            stream.deliver(message)
        elif number > self._last_opened:
            self._last_opened = number
            opened = Stream(-number, self)
            self._streams[-number] = opened
            eventlet.spawn_n(self._handler, self, opened, message)

    def _expect_answer(self) -> None:
        if self._owed_since_ms is None:
            self._owed_since_ms = self._clock.now_ms()

    def _watch_silence(self) -> None:
        while self._open:
            eventlet.sleep(_PING_MS / MS_PER_SECOND)
            now_ms = self._clock.now_ms()
            if now_ms - (self._owed_since_ms or now_ms) >= SILENCE_MS:
                self.close()
                return
            if self._streams and now_ms - self._heard_ms >= _PING_MS:
                self._expect_answer()
                self._ping()

    def _ping(self) -> None:
        with self._lock, suppress(LinkLostError, InvalidState):
            self._protocol.send_ping(b'')
            self._flush()
