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
from laburnumwood.events import LINK_LOST, MESSAGE_REFUSED
from laburnumwood.protocol.codec import decode, encode
from laburnumwood.protocol.messages import Chunk, WholeAnswer
from laburnumwood.protocol.send_queue import (
    LARGE_MESSAGE_SIZE,
    SEND_QUEUE,
    Transfer,
)
from laburnumwood.protocol.silence import CHECK_INTERVAL_MS, Silence
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.tasks import run_logged, start, supervise

IDLE_TIMEOUT_MS = 60_000  # a link that carries nothing is closed after this
MAX_STREAMS = 2_048  # that a peer may have open on a link
_READ_SIZE = 65_536
_LOOKS_PER_IDLE_LINK = 20  # most links of a large fleet carry nothing

_BODIES = (WholeAnswer, Chunk)  # records and news of nodes never wait

Handler = Callable[['Link', Stream, Any], None]


class _LinkWatch:
    """Looks at all links of the process in turn, in one task."""

    def __init__(self) -> None:
        self._links: dict[Link, None] = {}
        self._is_running = False

    def add(self, link: 'Link') -> None:
        """Look at a link from now on."""
        self._links[link] = None
        if not self._is_running:
            self._is_running = True
            start(supervise, self._run)

    def remove(self, link: 'Link') -> None:
        """Look at a link no longer."""
        self._links.pop(link, None)

    def _run(self) -> None:
        while self._links:
            for turn in range(_LOOKS_PER_IDLE_LINK):
                eventlet.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)
                self._look(of_all=turn == 0)
        self._is_running = False

    def _look(self, *, of_all: bool) -> None:
        for link in tuple(self._links):
            if of_all or link.needs_check:
                run_logged(link.look)


_WATCH = _LinkWatch()


class Link:
    """A connection to a peer after its handshake.

    `handler` is called in a task of its own for each stream that the peer
    opens, with the first message on it.  Only the side that opens streams may
    close an idle link, so that none is lost on its way.
    """

    def __init__(
        self,
        protocol: Protocol,
        sock: socket.socket,
        peer: NodeName,
        handler: Handler,
        clock: Clock,
        *,
        closes_idle: bool = False,
    ) -> None:
        self._protocol = protocol
        self._socket = sock
        self._peer = peer
        self._handler = handler
        self._clock = clock
        self._closes_idle = closes_idle
        self._idle_limit_ms = IDLE_TIMEOUT_MS
        self._streams: dict[int, Stream] = {}
        self._used_ms = clock.now_ms()
        self._last_number = 0
        self._last_opened = 0
        self._heard_ms = clock.now_ms()
        self._silence = Silence()
        self._is_owed = False  # also after the stream was given up
        self._lock = Semaphore()
        self._unsent = b''  # begun, and not yet taken by the connection
        self._transfers: dict[bytes, Transfer] = {}  # by their pings
        self._last_ping = 0
        self._open = True

    @property
    def peer(self) -> NodeName:
        """Return the name that the peer gave in the handshake."""
        return self._peer

    @property
    def is_open(self) -> bool:
        """Tell whether messages can still be sent."""
        return self._open

    @property
    def is_suspect(self) -> bool:
        """Tell whether the peer has been silent while something is owed."""
        return self._silence.is_suspect

    @property
    def is_given_up(self) -> bool:
        """Tell whether nothing new may be sent on the link any more."""
        return self._silence.is_given_up

    @property
    def needs_check(self) -> bool:
        """Tell whether anything is to come on the link before it ends."""
        return self._owes or not self._idle_limit_ms

    def run(self) -> None:
        """Read until the connection ends; call it in a task of its own."""
        _WATCH.add(self)
        reason = 'the connection ended'
        try:
            reason = self._read()
        except ProtocolError as refused:
            MESSAGE_REFUSED.report(peer=self._peer, reason=refused)
            reason = str(refused)
        finally:
            _WATCH.remove(self)
            self._end(reason)

    def open_stream(self, *, survives_silence: bool = False) -> Stream:
        """Return a new stream to the peer.

        One that is patient outlasts a silence: what it asks for can't be
        asked for again elsewhere.
        """
        self._last_number += 1
        stream = Stream(
            self._last_number, self, survives_silence=survives_silence
        )
        self._streams[self._last_number] = stream
        self._is_owed = True
        return stream

    def send(self, stream: int, message: Any) -> None:
        """Send a message of a stream."""
        frame = encode(stream, message)
        if len(frame) < LARGE_MESSAGE_SIZE or not isinstance(message, _BODIES):
            self._send_frame(frame)
            return
        transfer = SEND_QUEUE.acquire(len(frame))
        self._last_ping += 1
        ping = str(self._last_ping).encode()
        self._transfers[ping] = transfer
        try:
            self._send_frame(frame, ping)
        except LinkLostError:
            self._note_arrived(ping)
            raise

    def remove_stream(self, stream: int) -> None:
        """Drop a stream that has ended."""
        self._streams.pop(stream, None)

    def _send_frame(self, frame: bytes, ping: bytes | None = None) -> None:
        with self._lock:
            if not self._open:
                raise LinkLostError(f'link to {self._peer} is closed')
            self._protocol.send_binary(frame)
            if ping is not None:
                # Its answer says that all before it has arrived.
                self._protocol.send_ping(ping)
            self._flush()

    def _note_arrived(self, ping: bytes) -> None:
        transfer = self._transfers.pop(ping, None)
        if transfer is not None:
            SEND_QUEUE.release(transfer)

    def close(self, reason: str = 'closed by this node') -> None:
        """End the connection and every stream on it."""
        if not self._open:
            return
        self._open = False
        if self._streams:
            self._tell_lost(reason)
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        for stream in tuple(self._streams.values()):
            stream.fail(LinkLostError(f'link to {self._peer} was lost'))
        self._streams.clear()
        for ping in tuple(self._transfers):
            self._note_arrived(ping)

    def release(self) -> None:
        """Let the connection end once it carries nothing."""
        self._idle_limit_ms = 0

    @property
    def _owes(self) -> bool:
        return bool(self._streams) or self._is_owed

    def _tell_lost(self, reason: str) -> None:
        LINK_LOST.report(
            peer=self._peer,
            reason=reason,
            owed=len(self._streams),
            unheard_ms=self._clock.now_ms() - self._heard_ms,
            is_sending=self._lock.locked(),
        )

    def _end(self, reason: str) -> None:
        self.close(reason)
        # Closed before a blocked sender has left, it would never wake.
        with self._lock:
            self._socket.close()

    def _flush(self) -> None:
        self._unsent += b''.join(self._protocol.data_to_send())
        try:
            while self._unsent:
                sent = self._socket.send(self._unsent)
                self._unsent = self._unsent[sent:]
        except OSError as broken:
            start(self.close, repr(broken))
            raise LinkLostError(f'link to {self._peer} broke') from broken
        finally:
            if self._unsent and self._open:
                # Its sender was ended midway: half a frame would spoil all
                # that follows.
                start(self._send_pending)

    def _read(self) -> str:
        """Take in what comes; return how the connection ended."""
        while self._open:
            try:
                received = self._socket.recv(_READ_SIZE)
            except (OSError, EOFError) as broken:
                return repr(broken)
            if not received:
                return 'the peer closed it'
            self._heard_ms = self._clock.now_ms()
            self._silence.end()
            self._is_owed = False
            self._protocol.receive_data(received)
            if self._protocol.parser_exc is not None:
                raise ProtocolError(f'frame: {self._protocol.parser_exc}')
            self._take_events()
        return 'closed by this node'

    def _take_events(self) -> None:
        for event in self._protocol.events_received():
            if not isinstance(event, Frame) or event.opcode is Opcode.TEXT:
                raise ProtocolError('an unexpected frame came')
            if event.opcode is Opcode.BINARY:
                self._dispatch(*decode(bytes(event.data)))
            else:
                if event.opcode is Opcode.PONG:
                    self._note_arrived(bytes(event.data))
                # The reader never waits for a sender: two peers that wait
                # for each other's reader would stop for good.
                start(self._send_pending)

    def _send_pending(self) -> None:
        with self._lock, suppress(LinkLostError):
            self._flush()

    def _dispatch(self, number: int, message: Any) -> None:
        # Numbers of streams that the peer opened are kept negative here.
        stream = self._streams.get(-number)
        if stream is not None:
            stream.deliver(message)
        elif number > self._last_opened:
            self._last_opened = number
            if len(self._streams) >= MAX_STREAMS:
                raise ProtocolError('the peer opened too many streams')
            opened = Stream(-number, self)
            self._streams[-number] = opened
            start(self._handler, self, opened, message)

    def look(self) -> None:
        """Ping a silent link and close a dead or idle one; call it often."""
        now_ms = self._clock.now_ms()
        if self._owes:
            self._used_ms = now_ms
            self._silence.look()
            self._check_silence()
            return
        self._silence.end()
        if self._closes_idle and now_ms - self._used_ms >= self._idle_limit_ms:
            self.close()

    def _check_silence(self) -> None:
        if self._silence.is_over:
            self.close('nothing was heard on it')
            return
        if self._silence.begins_to_be_given_up:
            self._fail_unanswered()
        if self._silence.wants_ping:
            self._ping()

    def _fail_unanswered(self) -> None:
        """Let requests go elsewhere of whose answers nothing has come.

        The link may only be slow, and what has begun may still come.
        """
        silent = LinkLostError(f'link to {self._peer} is silent')
        waiting = [
            stream
            for number, stream in self._streams.items()
            if number > 0 and not stream.survives_silence
        ]
        if waiting:
            self._tell_lost('nothing was heard on it, it may come back')
        for stream in waiting:
            stream.fail(silent)

    def _ping(self) -> None:
        # A sender that is blocked holds the lock; waiting for it would keep
        # this task from closing a dead connection.
        if not self._lock.acquire(blocking=False):
            return
        try:
            self._protocol.send_ping(b'')
            self._flush()
        except (LinkLostError, InvalidState):
            return  # the reader ends the link
        finally:
            self._lock.release()
