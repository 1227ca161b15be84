"""A link: one WebSocket connection that carries many streams."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any

import eventlet
from eventlet.green import socket
from eventlet.semaphore import Semaphore
from websockets.exceptions import InvalidState
from websockets.frames import Frame, Opcode
from websockets.protocol import Protocol

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import (
    LinkError,
    LinkLostError,
    LinkTimeoutError,
    MessageNotSentError,
    MessageUnknownError,
    ProtocolError,
    StreamNotReceivedError,
)
from laburnumwood.events import LINK_LOST, MESSAGE_REFUSED
from laburnumwood.protocol.codec import decode, encode, is_added
from laburnumwood.protocol.handshake import (
    accepts_added_fields,
    accepts_added_messages,
)
from laburnumwood.protocol.messages import Chunk, WholeAnswer
from laburnumwood.protocol.send_queue import (
    LARGE_MESSAGE_SIZE,
    SEND_QUEUE,
    Transfer,
)
from laburnumwood.protocol.silence import CHECK_INTERVAL_MS, SilenceCounter
from laburnumwood.protocol.streams import Stream, never
from laburnumwood.records import NodeName
from laburnumwood.tasks import run_logged, start, supervise

IDLE_TIMEOUT_MS = 60_000  # after which a link without streams is closed
# The same on the side that accepted the link, in case the end was lost.
ACCEPTED_IDLE_TIMEOUT_MS = 2 * IDLE_TIMEOUT_MS
MAX_STREAMS = 2_048  # on a link
_READ_SIZE = 65_536
# Idle links, which are most of those in a large fleet, are checked once in so
# many checks of the others.
_CHECKS_PER_IDLE_CHECK = 20

Handler = Callable[['Link', Stream, Any], None]
SuspectHandler = Callable[['Link'], None]


def _body_part_size(message: Any) -> int:
    """Return the size of a part that may have to wait in the send queue."""
    if isinstance(message, Chunk):
        return len(message.content)
    return len(message.body) if isinstance(message, WholeAnswer) else 0


class _LinkMonitor:
    """Checks all links of the process periodically, in one task."""

    def __init__(self) -> None:
        self._links: dict[Link, None] = {}
        self._is_running = False

    def add(self, link: 'Link') -> None:
        """Start checking a link."""
        self._links[link] = None
        if not self._is_running:
            self._is_running = True
            start(supervise, self._run)

    def remove(self, link: 'Link') -> None:
        """Stop checking a link."""
        self._links.pop(link, None)

    def _run(self) -> None:
        while self._links:
            for turn in range(_CHECKS_PER_IDLE_CHECK):
                eventlet.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)
                self._check(include_idle=turn == 0)
        self._is_running = False

    def _check(self, *, include_idle: bool) -> None:
        for link in tuple(self._links):
            if include_idle or link.needs_check:
                run_logged(link.check)


_MONITOR = _LinkMonitor()


@contextmanager
def _before_sending() -> Iterator[None]:
    """Raise `MessageNotSentError` if the time is over in the block."""
    try:
        yield
    except LinkTimeoutError as error:
        raise MessageNotSentError(str(error)) from error


@contextmanager
def _holding(lock: Semaphore) -> Iterator[None]:
    """Hold the lock of a sender; raises `MessageNotSentError`."""
    with _before_sending():
        lock.acquire()
    try:
        yield
    finally:
        lock.release()


class Link:
    """A connection to a peer after the handshake.

    `handler` is called in a new task for each stream that the peer opens,
    with the first message on it.  The side that opens streams closes an idle
    link, so that no new stream is lost in transit; the other side does so only
    when it has heard of neither streams nor that end for long.

    `on_suspect` is called in a new task when the link becomes suspect.
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
        on_suspect: SuspectHandler | None = None,
    ) -> None:
        self._on_suspect = on_suspect
        self._protocol = protocol
        self._socket = sock
        self._peer = peer
        self._handler = handler
        self._clock = clock
        self._idle_limit_ms = (
            IDLE_TIMEOUT_MS if closes_idle else ACCEPTED_IDLE_TIMEOUT_MS
        )
        self._streams: dict[int, Stream] = {}
        self._last_busy_ms = clock.now_ms()
        self._last_own_stream = 0
        self._last_peer_stream = 0
        self._is_retired = False  # no new streams of the peer are accepted
        self._last_received_ms = clock.now_ms()
        self._silence = SilenceCounter()
        self._reply_due = False  # also after its stream was closed
        self._lock = Semaphore()
        self._unsent = b''  # bytes that the socket has not accepted yet
        self._is_rest_due = False  # a task is to send them
        self._transfers: dict[bytes, Transfer] = {}  # by payloads of pings
        self._turns: dict[int, int] = {}  # of streams with large messages
        self._last_ping = 0
        self._is_open = True

    @property
    def peer(self) -> NodeName:
        """Return the name that the peer sent in the handshake."""
        return self._peer

    @property
    def is_open(self) -> bool:
        """Return whether messages can still be sent."""
        return self._is_open

    @property
    def is_suspect(self) -> bool:
        """Return whether the peer is silent although a reply is due."""
        return self._silence.is_suspect

    @property
    def is_failed(self) -> bool:
        """Return whether the silence is too long to open any new stream."""
        return self._silence.is_failed

    @property
    def needs_check(self) -> bool:
        """Return whether a reply is due or the link is being released."""
        return self._expects_reply or not self._idle_limit_ms

    def run(self) -> None:
        """Read until the connection ends; must run in a task of its own."""
        _MONITOR.add(self)
        reason = 'the connection ended'
        try:
            reason = self._read()
        except ProtocolError as error:
            MESSAGE_REFUSED.report(peer=self._peer, reason=error)
            reason = str(error)
        finally:
            _MONITOR.remove(self)
            self._end(reason)

    def open_stream(
        self, *, survives_silence: Callable[[], bool] = never
    ) -> Stream:
        """Open a stream to the peer.

        While the link is silent, the stream does not fail if
        `survives_silence()`: use that for a request that can't be retried
        elsewhere by then.
        """
        self._last_own_stream += 1
        stream = Stream(
            self._last_own_stream, self, survives_silence=survives_silence
        )
        self._streams[self._last_own_stream] = stream
        self._reply_due = True
        return stream

    def send(self, stream: int, message: Any) -> None:
        """Send a message on a stream.

        A large part of a body waits for its turn in the send queue.

        Raises `LinkLostError`, and `MessageUnknownError` if the peer does not
        know such messages.  Within a time limit it also raises
        `LinkTimeoutError`: the message is sent later then, unless it is a
        `MessageNotSentError`.
        """
        if is_added(message) and not accepts_added_messages(self._protocol):
            raise MessageUnknownError(f'{self._peer} does not know it')
        size = _body_part_size(message)
        if size < LARGE_MESSAGE_SIZE:
            self._send_message(stream, message)
            return
        turn = self._turns.setdefault(stream, SEND_QUEUE.new_turn())
        with _before_sending():
            transfer = SEND_QUEUE.acquire(size, turn)
        self._last_ping += 1
        ping = str(self._last_ping).encode()
        self._transfers[ping] = transfer
        try:
            self._send_message(stream, message, ping)
        except LinkError:
            self._complete_transfer(ping)
            raise

    def remove_stream(self, stream: int) -> None:
        """Remove a stream that has ended."""
        self._streams.pop(stream, None)
        self._turns.pop(stream, None)

    def _send_message(
        self, stream: int, message: Any, ping: bytes | None = None
    ) -> None:
        with _holding(self._lock):
            with _before_sending():
                self._flush()  # what an earlier sender had no time for
            if not self._is_open:
                raise LinkLostError(f'link to {self._peer} is closed')
            # Encoded only now: senders that wait hold no copy of a body.
            frame = encode(
                stream,
                message,
                accepts_added_fields=accepts_added_fields(self._protocol),
            )
            self._protocol.send_binary(frame)
            if ping is not None:
                # The pong shows that everything sent before has arrived.
                self._protocol.send_ping(ping)
            self._flush()

    def _complete_transfer(self, ping: bytes) -> None:
        transfer = self._transfers.pop(ping, None)
        if transfer is not None:
            SEND_QUEUE.release(transfer)

    def close(self, reason: str = 'closed by this node') -> None:
        """Close the connection and fail every stream on it."""
        if not self._is_open:
            return
        self._is_open = False
        if self._streams:
            self._report_lost(reason)
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        for stream in tuple(self._streams.values()):
            stream.fail(LinkLostError(f'link to {self._peer} was lost'))
        self._streams.clear()
        self._turns.clear()
        for ping in tuple(self._transfers):
            self._complete_transfer(ping)

    def release(self) -> None:
        """Close the link as soon as it has no streams."""
        self._idle_limit_ms = 0

    def retire(self) -> int:
        """Accept no more streams; return the number of the last one received.

        Answers on the streams that were received are still sent.
        """
        self._is_retired = True
        return self._last_peer_stream

    def fail_unreceived(self, received: int) -> None:
        """Fail the streams that the peer has not received and never will.

        `received` is what `retire` returned there.
        """
        unreceived = [
            stream
            for number, stream in self._streams.items()
            if number > received
        ]
        if unreceived:
            self._report_lost('the peer has not received all streams on it')
        error = StreamNotReceivedError(f'{self._peer} has not received it')
        for stream in unreceived:
            stream.close()
            stream.fail(error)

    @property
    def _expects_reply(self) -> bool:
        return bool(self._streams) or self._reply_due

    def _report_lost(self, reason: str) -> None:
        LINK_LOST.report(
            peer=self._peer,
            reason=reason,
            owed=len(self._streams),
            unheard_ms=self._clock.now_ms() - self._last_received_ms,
            is_sending=self._lock.locked(),
        )

    def _end(self, reason: str) -> None:
        self.close(reason)
        # A blocked sender would never wake up if the socket were closed
        # before that sender has released the lock.
        with self._lock:
            self._socket.close()

    def _flush(self) -> None:
        self._unsent += b''.join(self._protocol.data_to_send())
        try:
            while self._unsent:
                sent = self._socket.send(self._unsent)
                self._unsent = self._unsent[sent:]
        except OSError as error:
            start(self.close, repr(error))
            raise LinkLostError(f'link to {self._peer} broke') from error
        finally:
            if self._unsent and self._is_open and not self._is_rest_due:
                self._is_rest_due = True
                # The sender was killed or had no more time: the rest of its
                # frame must follow, or the peer could not parse a later one.
                start(self._send_pending)

    def _read(self) -> str:
        """Read and process frames; return the reason why the link ended."""
        while self._is_open:
            try:
                received = self._socket.recv(_READ_SIZE)
            except (OSError, EOFError) as error:
                return repr(error)
            if not received:
                return 'the peer closed it'
            self._last_received_ms = self._clock.now_ms()
            self._silence.reset()
            self._reply_due = False
            self._protocol.receive_data(received)
            if self._protocol.parser_exc is not None:
                raise ProtocolError(f'frame: {self._protocol.parser_exc}')
            self._process_events()
        return 'closed by this node'

    def _process_events(self) -> None:
        for event in self._protocol.events_received():
            if not isinstance(event, Frame) or event.opcode is Opcode.TEXT:
                raise ProtocolError('unexpected type of frame')
            if event.opcode is Opcode.BINARY:
                self._dispatch(*decode(bytes(event.data)))
            else:
                if event.opcode is Opcode.PONG:
                    self._complete_transfer(bytes(event.data))
                # The reader never waits for a sender, because two peers that
                # wait for each other's reader would deadlock.
                start(self._send_pending)

    def _send_pending(self) -> None:
        with self._lock, suppress(LinkLostError):
            self._is_rest_due = False
            self._flush()

    def _dispatch(self, number: int, message: Any) -> None:
        # Streams that the peer opened have negated numbers on this side.
        stream = self._streams.get(-number)
        if stream is not None:
            stream.deliver(message)
        elif number > self._last_peer_stream and not self._is_retired:
            self._last_peer_stream = number
            if len(self._streams) >= MAX_STREAMS:
                raise ProtocolError('the peer opened too many streams')
            opened = Stream(-number, self)
            self._streams[-number] = opened
            start(self._handler, self, opened, message)

    def check(self) -> None:
        """Ping a silent link and close a dead or an idle one.

        Must be called every `CHECK_INTERVAL_MS` while a reply is due.
        """
        now_ms = self._clock.now_ms()
        if self._expects_reply:
            self._last_busy_ms = now_ms
            self._silence.count_check()
            self._check_silence()
            return
        self._silence.reset()
        # A stream may have come and gone between two checks.
        last_used_ms = max(self._last_busy_ms, self._last_received_ms)
        if now_ms - last_used_ms >= self._idle_limit_ms:
            self.close()

    def _check_silence(self) -> None:
        if self._silence.is_dead:
            self.close('nothing was heard on it')
            return
        if self._silence.has_just_become_suspect and self._on_suspect:
            start(self._on_suspect, self)
        if self._silence.has_just_failed:
            self._fail_unanswered()
        if self._silence.wants_ping:
            self._ping()

    def _fail_unanswered(self) -> None:
        """Fail the streams without an answer so that they can be retried.

        The link may only be slow: the rest of an answer may still arrive.
        """
        silent = LinkLostError(f'link to {self._peer} is silent')
        waiting = [
            stream
            for number, stream in self._streams.items()
            if number > 0 and not stream.survives_silence
        ]
        if waiting:
            self._report_lost('nothing was heard on it, it may come back')
        for stream in waiting:
            stream.fail(silent)

    def _ping(self) -> None:
        # This task checks all links and must not wait for one that is blocked.
        if self._unsent or not self._lock.acquire(blocking=False):
            return
        try:
            self._protocol.send_ping(b'')
        except InvalidState:
            return  # the reader closes the link
        finally:
            self._lock.release()
        start(self._send_pending)
