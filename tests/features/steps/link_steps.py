"""Steps about links between nodes, in one process on eventlet sockets."""

from contextlib import suppress
from time import sleep
from typing import Any
from unittest.mock import patch

import eventlet
from behave import given, then, when
from behave.runner import Context
from cbor2 import dumps
from eventlet.event import Event
from logbook import TestHandler
from websockets.frames import Opcode
from websockets.protocol import Protocol

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import LinkError, LinkRefusedError
from laburnumwood.events import ANSWER_UNDELIVERED
from laburnumwood.protocol.codec import MAX_FRAME_SIZE, decode, encode
from laburnumwood.protocol.handshake import (
    LinkIdentity,
    accept_handshake,
    dial,
)
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.messages import Cancel, Chunk, Done, End
from laburnumwood.protocol.peers import Dispatcher, Peers, listen
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.protocol.silence import CHECK_INTERVAL_MS, SUSPECT_MS
from laburnumwood.protocol.streams import WINDOW_SIZE, Stream
from laburnumwood.records import NodeName
from laburnumwood.routing.exchange import local_pair
from tests.features.steps.fake_clock import FakeClock

HOST = '127.0.0.1'
KEY = LinkSecurity('a key of the tests only')
OWN, PEER = NodeName('own', 1), NodeName('peer', 1)
LIMIT_S = 60
LIMIT_MS = 60_000
LOSS_LIMIT_S = 10  # within which a dead link is closed
CHUNK = 32_768
STREAMS = 64  # whose bodies exceed the buffers of a connection


def _dispatcher(context: Context) -> Dispatcher:
    dispatcher = Dispatcher()

    @dispatcher.on(Cancel)
    def answer(_link: Link, stream: Stream, _message: Any) -> None:
        stream.send(Done())

    @dispatcher.on(End)
    def answer_after(_link: Link, stream: Stream, message: End) -> None:
        eventlet.sleep(message.length / 1_000)
        stream.send(Done())

    @dispatcher.on(Chunk)
    def hold(_link: Link, _stream: Stream, _message: Any) -> None:
        eventlet.sleep(LIMIT_S)

    @dispatcher.on(Done)
    def answer_late(link: Link, stream: Stream, _message: Any) -> None:
        while link.is_open:
            eventlet.sleep(0)
        stream.send(Done())

    return dispatcher


def _serve(context: Context, listener: Any, dispatcher: Dispatcher) -> None:
    while True:
        sock, _ = listener.accept()
        context.connections += 1
        if context.connections == context.unanswered:
            context.kept_open = sock
            continue
        eventlet.sleep(context.handshake_delay_ms / MS_PER_SECOND)
        protocol, peer, _ = accept_handshake(sock, KEY)
        if context.connections > 1:
            link = Link(protocol, sock, peer, dispatcher.handle, Clock())
            eventlet.spawn_n(link.run)
        else:
            context.silent = protocol, sock


def _start(context: Context, task: Any, address: Any) -> None:
    context.connections = 0
    context.unanswered = 0
    context.handshake_delay_ms = 0
    context.address = address
    context.server = eventlet.spawn(*task)
    context.add_cleanup(context.server.kill)
    dispatcher = Dispatcher()
    context.lookups = 0

    def look_up(_peer: NodeName) -> Any:
        context.lookups += 1
        return address

    context.peers = Peers(OWN, KEY, look_up, dispatcher, Clock())
    context.add_cleanup(context.peers.close)


def _send_chunks(stream: Stream, count: int, size: int) -> None:
    for _ in range(count):
        stream.send(Chunk(bytes(size)))


@when('a body of {count:d} parts of {size:d} bytes is sent while it is read')
def send_body(context: Context, count: int, size: int) -> None:
    near, far = local_pair()
    sender = eventlet.spawn(_send_chunks, near, count, size)
    deliver = patch.object(near, 'deliver', wraps=near.deliver)
    with eventlet.Timeout(LIMIT_S), deliver as delivered:
        parts = [far.receive(LIMIT_MS) for _ in range(count)]
        sender.wait()
        context.credits = delivered.mock_calls
    assert {len(part.content) for part in parts} == {size}


@then('the sender received at most {count:d} credits')
def check_credits(context: Context, count: int) -> None:
    kinds = [type(call.args[0]).__name__ for call in context.credits]
    assert set(kinds) <= {'Credit'}, kinds
    assert len(kinds) <= count, len(kinds)


@given('a peer whose first connection becomes silent')
def start_silent(context: Context) -> None:
    listener = eventlet.listen((HOST, 0))
    context.listener = listener
    task = (_serve, context, listener, _dispatcher(context))
    _start(context, task, listener.getsockname())


@given('whose second connection is not answered')
def leave_unanswered(context: Context) -> None:
    context.unanswered = 2


@when('the silent link carries data again after its replacement has failed')
def resume_silent(context: Context) -> None:
    eventlet.sleep(SUSPECT_MS / MS_PER_SECOND)
    protocol, sock = context.silent
    while context.lookups < 2:
        _send_ping(protocol, sock)
        eventlet.sleep(2 * SUSPECT_MS / MS_PER_SECOND)
    eventlet.sleep(2 * SUSPECT_MS / MS_PER_SECOND)
    pinging = eventlet.spawn(_ping_repeatedly, protocol, sock)
    context.add_cleanup(pinging.kill)
    eventlet.sleep(0)


def _ping_repeatedly(protocol: Protocol, sock: Any) -> None:
    while True:
        _send_ping(protocol, sock)
        eventlet.sleep(CHECK_INTERVAL_MS / 2 / MS_PER_SECOND)


def _send_ping(protocol: Protocol, sock: Any) -> None:
    protocol.send_ping(b'')
    for part in protocol.data_to_send():
        sock.sendall(part)


@when('another call is made')
def call_again(context: Context) -> None:
    context.answer = _outcome(context.peers.call, PEER, Cancel(), LIMIT_MS)


@then('a third connection is opened without another call')
def check_reopened(context: Context) -> None:
    with eventlet.Timeout(LOSS_LIMIT_S, exception=False):
        while context.connections < 3:
            eventlet.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)
    assert context.connections == 3, context.connections


@then('it is answered over a third connection')
def check_third_connection(context: Context) -> None:
    assert isinstance(context.answer, Done), context.answer
    assert context.connections == 3, context.connections


@when('a call is made after the link was idle for {idle:d} ms')
def call_after_idle(context: Context, idle: int) -> None:
    check_others(context)
    eventlet.sleep(idle / 1_000)


@when('it is answered {span:d} ms later')
def call_slowly(context: Context, span: int) -> None:
    context.answer = _outcome(context.peers.call, PEER, End(span), LIMIT_MS)


@when('the process is paused for {span:d} ms during a call')
def pause_process(context: Context, span: int) -> None:
    check_others(context)
    call = eventlet.spawn(_outcome, context.peers.call, PEER, End(1), LIMIT_MS)
    eventlet.sleep(0)
    sleep(span / 1_000)
    context.answer = call.wait()


@when('a link that was {side} has been idle for {span:d} ms')
def idle_link(context: Context, side: str, span: int) -> None:
    host, port = context.address
    context.clock = FakeClock()
    context.link = Link(
        *dial(host, port, OWN, KEY),
        PEER,
        Dispatcher().handle,
        context.clock,
        closes_idle=side == 'opened',
    )
    eventlet.spawn_n(context.link.run)
    idle_longer(context, span)


@when('it has been idle for {span:d} ms more')
def idle_longer(context: Context, span: int) -> None:
    context.clock.pass_ms(span)
    context.link.check()


@when('it is used, and has been idle for {span:d} ms more')
def use_link(context: Context, span: int) -> None:
    stream = context.link.open_stream()
    stream.send(Cancel())
    assert isinstance(stream.receive(LIMIT_MS), Done)
    stream.close()
    idle_longer(context, span)


@then('the link of the senders is still open')
@then('that link is still open')
def check_open(context: Context) -> None:
    assert context.link.is_open


@then('that link is not open any more')
def check_not_open(context: Context) -> None:
    assert not context.link.is_open


@when('its links are released during a call of {span:d} ms')
def release_links(context: Context, span: int) -> None:
    call = eventlet.spawn(
        _outcome, context.peers.call, PEER, End(span), LIMIT_MS
    )
    eventlet.sleep(span / 2 / MS_PER_SECOND)
    context.peers.release()
    context.answer = call.wait()


@then('the link of the call is closed afterwards')
def check_closed_after(context: Context) -> None:
    assert context.lookups == 1, context.lookups
    eventlet.sleep(2 * SUSPECT_MS / MS_PER_SECOND)
    # The next call needs another link.
    check_others(context)
    assert context.lookups == 2, context.lookups


@then('the call is answered')
def check_call(context: Context) -> None:
    assert isinstance(context.answer, Done), context.answer


@then('one link was opened')
def check_one_link(context: Context) -> None:
    assert context.lookups == 1, context.lookups


@given('a peer whose address refuses connections')
def make_refusing(context: Context) -> None:
    probe = eventlet.listen((HOST, 0))
    address = probe.getsockname()
    probe.close()
    context.dialled = 0

    def look_up(_peer: NodeName) -> tuple[str, int]:
        context.dialled += 1
        return HOST, address[1]

    context.clock = FakeClock()
    context.peers = Peers(OWN, KEY, look_up, Dispatcher(), context.clock)


@when('{count:d} calls are made one after the other')
def call_repeatedly(context: Context, count: int) -> None:
    for _ in range(count):
        found = _outcome(context.peers.call, PEER, Cancel(), LIMIT_MS)
        assert isinstance(found, LinkRefusedError), found


@when('{span:d} ms have passed and {count:d} calls are made')
def call_later(context: Context, span: int, count: int) -> None:
    context.clock.pass_ms(span)
    call_repeatedly(context, count)


@then('one connection was attempted')
def check_one_dialled(context: Context) -> None:
    check_dialled(context, 1)


@then('{count:d} connections were attempted in total')
def check_dialled(context: Context, count: int) -> None:
    assert context.dialled == count, context.dialled


@given('a peer that answers calls but does not read bodies')
def start_peer(context: Context) -> None:
    probe = eventlet.listen((HOST, 0))
    address = probe.getsockname()
    probe.close()
    task = (listen, address, KEY, _dispatcher(context).handle, Clock())
    _start(context, task, address)
    eventlet.sleep(0)


def _outcome(call: Any, *arguments: Any) -> Any:
    try:
        return call(*arguments)
    except LinkError as failure:
        return failure


@when('a call waits for a reply on the silent link')
def call_silent(context: Context) -> None:
    stream = context.peers.open_stream(PEER)
    stream.send(Cancel())
    context.waiting = eventlet.spawn(_outcome, stream.receive, LIMIT_MS)


@when('the peer refuses further connections')
def refuse_connections(context: Context) -> None:
    while context.connections == 0:
        eventlet.sleep(0)
    context.server.kill()
    context.listener.close()


@when('another call is made once the link is considered failed')
def call_on_failed(context: Context) -> None:
    eventlet.sleep(2 * SUSPECT_MS / MS_PER_SECOND)
    context.answer = _outcome(context.peers.call, PEER, Cancel(), LIMIT_MS)


@then('the other call fails with LinkRefusedError')
def check_refused(context: Context) -> None:
    assert isinstance(context.answer, LinkRefusedError), context.answer


@when('the check of another link fails')
def fail_check(context: Context) -> None:
    eventlet.sleep(0)
    host, port = context.address
    protocol, sock = dial(host, port, OWN, KEY)
    link = Link(protocol, sock, PEER, Dispatcher().handle, Clock())
    context.add_cleanup(link.close)
    faulty = patch.object(link, 'check', side_effect=ValueError('a fault'))
    faulty.start()
    context.add_cleanup(faulty.stop)
    eventlet.spawn_n(link.run)


@when('calls with a timeout of {span:d} ms are made {pause:d} ms apart')
def call_rarely(context: Context, span: int, pause: int) -> None:
    context.answer = None
    with eventlet.Timeout(LOSS_LIMIT_S, exception=False):
        while not isinstance(context.answer, Done):
            context.answer = _outcome(context.peers.call, PEER, Cancel(), span)
            eventlet.sleep(pause / MS_PER_SECOND)


@when('a call waits {span:d} ms for a reply on the silent link')
def call_silent_for(context: Context, span: int) -> None:
    stream = context.peers.open_stream(PEER)
    stream.send(Cancel())
    context.waiting = eventlet.spawn(_outcome, stream.receive, span)


@when('the reply arrives and the process is paused for {span:d} ms')
def answer_and_pause(context: Context, span: int) -> None:
    while context.connections == 0:
        eventlet.sleep(0)
    protocol, sock = context.silent
    # After a read that blocks, the event loop runs timers before sockets.
    for _ in ('the call', 'a ping'):
        sock.recv(CHUNK)
    protocol.send_binary(encode(-1, Done()))
    for part in protocol.data_to_send():
        sock.fd.sendall(part)
    sleep(span / MS_PER_SECOND)
    context.answer = context.waiting.wait()


def _receive_answer(stream: Stream) -> list[Any]:
    return [_outcome(stream.receive, LIMIT_MS) for _ in ('head', 'end')]


@when(
    'a call on the silent link, non-retryable after {final:d} ms, is answered '
    'after {span:d} ms'
)
def call_unretryable(context: Context, final: int, span: int) -> None:
    clock = Clock()
    final_ms = clock.now_ms() + final
    stream = context.peers.open_stream(
        PEER, survives_silence=lambda: clock.now_ms() >= final_ms
    )
    stream.send(Cancel())
    context.waiting = eventlet.spawn(_outcome, stream.receive, LIMIT_MS)
    eventlet.sleep(span / MS_PER_SECOND)
    protocol, sock = context.silent
    protocol.send_binary(encode(-1, Done()))
    with suppress(OSError):
        for part in protocol.data_to_send():
            sock.sendall(part)


@then('the non-retryable call is answered')
def check_unretryable(context: Context) -> None:
    with eventlet.Timeout(LIMIT_S):
        context.answer = context.waiting.wait()
    check_call(context)


@when('an answer starts on the silent link and continues {span:d} ms later')
def answer_late(context: Context, span: int) -> None:
    stream = context.peers.open_stream(PEER)
    stream.send(Cancel())
    received = eventlet.spawn(_receive_answer, stream)
    eventlet.sleep(0)
    while context.connections == 0:
        eventlet.sleep(0)
    protocol, sock = context.silent
    for message in (Chunk(b'the beginning'), End(13)):
        protocol.send_binary(encode(-1, message))
        with suppress(OSError):
            for part in protocol.data_to_send():
                sock.sendall(part)
        eventlet.sleep(span / MS_PER_SECOND)
    context.answer = received.wait()


@then('the call receives the whole answer')
def check_whole_answer(context: Context) -> None:
    assert context.answer == [Chunk(b'the beginning'), End(13)], context.answer


class _SlowReader:
    """A listener whose connections are not read until `may_read` is sent."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self.may_read = Event()
        self.listener = eventlet.listen((HOST, 0))

    def serve(self) -> None:
        """Accept connections; does not return."""
        while True:
            eventlet.spawn_n(self._serve_one, self.listener.accept()[0])

    def _serve_one(self, sock: Any) -> None:
        protocol, peer, _ = accept_handshake(sock, KEY)
        self.may_read.wait()
        Link(protocol, sock, peer, self._dispatcher.handle, Clock()).run()


@given('a peer that reads slowly and answers calls')
def start_slow_reader(context: Context) -> None:
    context.reader = _SlowReader(_dispatcher(context))
    address = context.reader.listener.getsockname()
    _start(context, (context.reader.serve,), address)


@when('senders are killed while the link is blocked')
def kill_senders(context: Context) -> None:
    streams = [context.peers.open_stream(PEER) for _ in range(STREAMS)]
    context.link = context.peers._links[PEER]
    senders = [eventlet.spawn(_send_window, stream) for stream in streams]
    eventlet.sleep(SUSPECT_MS / 2 / MS_PER_SECOND)
    for sender in senders:
        sender.kill()
    context.reader.may_read.send()


@when('another call is made once the link is suspect')
def call_on_suspect(context: Context) -> None:
    eventlet.sleep((SUSPECT_MS + 100) / 1_000)
    context.answer = _outcome(context.peers.call, PEER, Cancel(), LIMIT_MS)


@then('one of them is answered over a second connection')
@then('the other call is answered over a second connection')
def check_second_connection(context: Context) -> None:
    assert isinstance(context.answer, Done), context.answer
    assert context.connections == 2, context.connections


@then('the waiting call fails with LinkLostError')
def check_silent(context: Context) -> None:
    with eventlet.Timeout(LIMIT_S):
        failure = context.waiting.wait()
    assert type(failure).__name__ == 'LinkLostError', failure


def _send_window(stream: Stream) -> None:
    for _ in range(WINDOW_SIZE // CHUNK):
        stream.send(Chunk(bytes(CHUNK)))
    stream.receive(LIMIT_MS)


@when('{count:d} streams send more than the connection can buffer')
def send_much(context: Context, count: int) -> None:
    streams = [context.peers.open_stream(PEER) for _ in range(count)]
    context.senders = [
        eventlet.spawn(_outcome, _send_window, stream) for stream in streams
    ]


@then('all of them fail with LinkLostError')
def check_senders(context: Context) -> None:
    with eventlet.Timeout(LIMIT_S):
        failures = [sender.wait() for sender in context.senders]
    kinds = {type(failure).__name__ for failure in failures}
    assert kinds == {'LinkLostError'}, kinds


@when('a caller disconnects before its call is answered')
def disconnect_early(context: Context) -> None:
    context.log = TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)
    host, port = context.address
    protocol, sock = dial(host, port, PEER, KEY)
    protocol.send_binary(encode(1, Done()))
    for part in protocol.data_to_send():
        sock.sendall(part)
    sock.close()


@then('the peer logs that the answer could not be delivered')
def check_undelivered(context: Context) -> None:
    with eventlet.Timeout(LIMIT_S):
        while not context.log.has_info(ANSWER_UNDELIVERED.text):
            eventlet.sleep(0)


@when('a stream sends bodies until its window is exhausted')
def fill_window(context: Context) -> None:
    context.stream = context.peers.open_stream(PEER)
    context.sent = 0

    def send() -> None:
        while True:
            context.stream.send(Chunk(bytes(CHUNK)))
            context.sent += CHUNK

    context.sender = eventlet.spawn(_outcome, send)
    context.add_cleanup(context.sender.kill)


@then('other calls are answered')
def check_others(context: Context) -> None:
    for _ in range(20):
        answer = context.peers.call(PEER, Cancel(), LIMIT_MS)
        assert isinstance(answer, Done), answer


@then('the stream sent no more than its window and one chunk')
def check_window(context: Context) -> None:
    with eventlet.Timeout(LIMIT_S):
        while context.sent < WINDOW_SIZE:
            eventlet.sleep(0)
    assert WINDOW_SIZE <= context.sent <= WINDOW_SIZE + CHUNK, context.sent


def _frames(what: str) -> list[bytes]:
    if what == 'bytes that are not CBOR':
        return [b'\xff\xff']
    if what == 'a message of unknown kind':
        return [dumps((1, 'unheard-of', 1))]
    if what == 'a frame that is too large':
        return [bytes(MAX_FRAME_SIZE + 1)]
    flood = encode(1, Chunk(bytes(CHUNK)))
    return [flood for _ in range(4 * WINDOW_SIZE // CHUNK)]


@when('a link sends {what}')
def send_frames(context: Context, what: str) -> None:
    host, port = context.address
    protocol, sock = dial(host, port, PEER, KEY)
    context.broken = protocol, sock
    try:
        for frame in _frames(what):
            protocol.send_binary(frame)
            for part in protocol.data_to_send():
                sock.sendall(part)
    except OSError:
        return  # the other side has closed it already


def _send_call(context: Context, stream: int, message: Any) -> None:
    protocol, sock = context.replaced
    protocol.send_binary(encode(stream, message))
    for part in protocol.data_to_send():
        sock.sendall(part)


@when('a call of {span:d} ms is sent on a link')
def call_on_link(context: Context, span: int) -> None:
    host, port = context.address
    context.replaced = dial(host, port, OWN, KEY, LinkIdentity('first'))
    context.add_cleanup(context.replaced[1].close)
    _send_call(context, 1, End(span))
    eventlet.sleep(span / 2 / MS_PER_SECOND)


@when('another link replaces it')
def replace_link(context: Context) -> None:
    context.identity = LinkIdentity('second', 'first')
    host, port = context.address
    _, sock = dial(host, port, OWN, KEY, context.identity)
    context.add_cleanup(sock.close)


@when('one more call is sent on the replaced link')
def call_on_replaced(context: Context) -> None:
    _send_call(context, 2, Cancel())


@then('only the first call was received and is answered on the replaced link')
def check_replaced(context: Context) -> None:
    assert context.identity.received == 1, context.identity
    protocol, sock = context.replaced
    answered = []
    sock.settimeout(SUSPECT_MS / MS_PER_SECOND)
    with suppress(TimeoutError):
        while received := sock.recv(CHUNK):
            protocol.receive_data(received)
            frames = protocol.events_received()
            answered += [
                decode(bytes(frame.data))
                for frame in frames
                if frame.opcode is Opcode.BINARY
            ]
    assert answered == [(-1, Done())], answered


def _answer_pings(protocol: Protocol, sock: Any) -> bool:
    received = sock.recv(CHUNK)
    protocol.receive_data(received)
    for part in protocol.data_to_send():
        sock.sendall(part)
    return bool(received)


@then('that link is closed')
def check_closed(context: Context) -> None:
    # A link that answers pings is not closed for its silence.
    with eventlet.Timeout(LIMIT_S), suppress(ConnectionError):
        while _answer_pings(*context.broken):
            eventlet.sleep(0)
