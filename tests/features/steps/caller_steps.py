"""Steps for connections of callers that are served in this process."""

import os
import resource
import socket
import struct
from collections.abc import Callable, Iterable
from contextlib import suppress
from random import Random
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet import Timeout
from eventlet.green import socket as green_socket
from eventlet.greenio import GreenSocket
from logbook import TestHandler

from bench.deployment import free_port
from laburnumwood.admission.retry_budget import RetryBudgets
from laburnumwood.balancing.request_balancer import RequestBalancer
from laburnumwood.clock import Clock
from laburnumwood.config.declarations import Declarations, Service
from laburnumwood.errors import LinkLostError, LinkTimeoutError
from laburnumwood.placement.load_reports import LoadReports
from laburnumwood.protocol.messages import Answer, Chunk, Failure, Work
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.routing.caller import Caller, CallerMonitor
from laburnumwood.routing.caller_protocol import REQUEST_ID_KEY
from laburnumwood.routing.caller_request import CallerRequest
from laburnumwood.routing.exchange import Exchange, local_pair
from laburnumwood.routing.pending_answer import PendingAnswer
from laburnumwood.routing.router import Router
from laburnumwood.routing.server import HttpListener
from tests.request_stack.ingress import make_ingress
from tests.request_stack.stack import INGRESS_NAME, SingleGateView

HOST = '127.0.0.1'
LIMIT_S = 20
CLOSING_MS = 2_000
DEADLINE_MS = 5_000
EXHAUSTED_S = 0.3
ID = 'request-1'
LONG = b'x' * 50_000_000  # bytes, more than the socket buffers hold
RESET_AT_CLOSE = struct.pack('ii', 1, 0)
REQUEST = (
    b'GET /plain/x HTTP/1.1\r\nHost: door\r\nLaburnumwood-Request: %b\r\n\r\n'
    % ID.encode()
)
DECLARATIONS = Declarations(services={'plain': Service()})

Application = Callable[[dict[str, Any], Any], Iterable[bytes]]


class _CountingApplication:
    """An application that sends a fixed answer and counts its requests."""

    def __init__(self, content: bytes) -> None:
        self._content = content
        self.request_count = 0

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> tuple[bytes]:
        environ[REQUEST_ID_KEY] = ID
        self.request_count += 1
        start_response('200 OK', [('Content-Length', str(len(self._content)))])
        return (self._content,)


class _TruncatingRouter:
    """A router whose answer ends after the head and the first chunk."""

    def __init__(self, *headers: tuple[str, str]) -> None:
        self._headers = headers

    def send(self, _request: CallerRequest, _caller: Caller) -> PendingAnswer:
        local_end, remote_end = local_pair()
        clock = Clock()
        answer = PendingAnswer(
            Answer(200, self._headers),
            local_end,
            clock.now_ms() + DEADLINE_MS,
            clock,
        )
        remote_end.send(Chunk(b'the beginning'))
        answer.await_first_chunk()
        local_end.fail(LinkLostError('the link was lost'))
        return answer


def _fail(_environ: dict[str, Any], _start_response: Any) -> tuple[bytes]:
    raise TimeoutError('a call unrelated to the connection of the caller')


def _fail_midway(
    _environ: dict[str, Any], start_response: Any
) -> Iterable[bytes]:
    start_response('200 OK', [])
    yield b'the beginning'
    raise ValueError('an error of the application')


def _serve(context: Context, application: Application) -> None:
    context.log = TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)
    context.address = HOST, free_port()
    context.server = HttpListener(context.address, application, Clock())
    context.add_cleanup(context.server.close, CLOSING_MS)
    context.caller = green_socket.create_connection(context.address, LIMIT_S)
    context.add_cleanup(context.caller.close)


@given('an HTTP server whose application raises an OSError')
def serve_failing(context: Context) -> None:
    _serve(context, _fail)


@given('an HTTP server whose application fails within the body')
def serve_failing_midway(context: Context) -> None:
    _serve(context, _fail_midway)


@given('an HTTP server')
def serve_counting(context: Context) -> None:
    context.application = _CountingApplication(b'whole')
    _serve(context, context.application)


@given('an HTTP server with a long answer')
def serve_long(context: Context) -> None:
    _serve(context, _CountingApplication(LONG))


@given('an ingress whose link is lost within an answer')
def serve_truncated(context: Context) -> None:
    router: Any = _TruncatingRouter()
    _serve(
        context,
        make_ingress(router, lambda: DECLARATIONS),
    )


class _DisconnectingLinks:
    """Links that are opened only after the caller has disconnected."""

    def __init__(self, caller: Caller) -> None:
        self._caller = caller
        self.local_end, self.remote_end = local_pair()

    def open_stream(self, _peer: NodeName, **_how: bool) -> Stream:
        """Return the stream on the new link."""
        self._caller.poll()
        return self.local_end


@given('a router whose caller disconnects while a link is opened')
def make_router(context: Context) -> None:
    left, right = socket.socketpair()
    context.add_cleanup(right.close)
    left.close()
    right.setblocking(False)
    clock = Clock()
    context.disconnected = CallerMonitor(clock).register(GreenSocket(right))
    context.links = _DisconnectingLinks(context.disconnected)
    view: Any = SingleGateView()
    links: Any = context.links
    context.router = Router(
        INGRESS_NAME,
        view,
        links,
        _serve_nothing,
        RequestBalancer(LoadReports(clock), 'x', Random(1), clock),
        RetryBudgets(0, clock),
        clock,
    )


def _serve_nothing(_exchange: Exchange, _work: Work) -> None:
    raise AssertionError('the gate of this node got the request')


@when('a request is sent through it')
def route_request(context: Context) -> None:
    work = Work(ID, 'plain', -1, '', 'GET', '/x', (), 0, DEADLINE_MS, True, '')
    context.outcome = context.router.send(
        CallerRequest(work, b'', Clock().now_ms() + DEADLINE_MS),
        context.disconnected,
    )


@then('nothing was sent over that link')
def check_nothing_sent(context: Context) -> None:
    with suppress(LinkTimeoutError):
        message = context.links.remote_end.receive(0)
        raise AssertionError(message)


@then('the request fails as not run')
def check_not_run(context: Context) -> None:
    assert isinstance(context.outcome, Failure), context.outcome
    assert not context.outcome.ran, context.outcome


@given('an ingress whose link is lost after the last byte of an answer')
def serve_whole(context: Context) -> None:
    router: Any = _TruncatingRouter(('Content-Length', '13'))
    _serve(
        context,
        make_ingress(router, lambda: DECLARATIONS),
    )


@when('a caller connects while no file descriptor is available')
def connect_without_descriptors(context: Context) -> None:
    address = context.caller.getpeername()
    context.caller.close()
    # Nothing accepts the connection before this task yields.
    sock = socket.create_connection(address, LIMIT_S)
    free = os.dup(sock.fileno())
    os.close(free)
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (free, limits[1]))
    try:
        eventlet.sleep(EXHAUSTED_S)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    context.caller = GreenSocket(sock)


@given('a caller whose connection is idle after an answer')
def answer_and_idle(context: Context) -> None:
    context.caller.sendall(REQUEST)
    context.received = context.caller.recv(65_536)
    assert b'whole' in context.received
    eventlet.sleep(0)


@when('a caller sends a request on a persistent connection')
def send_request(context: Context) -> None:
    context.caller.sendall(REQUEST)
    context.received = b''
    context.end = 'kept'
    with Timeout(1, exception=False):
        _receive(context)


@when('an HTTP/1.0 caller sends a request')
def send_old_request(context: Context) -> None:
    context.caller.sendall(REQUEST.replace(b'HTTP/1.1', b'HTTP/1.0'))
    context.received = b''
    with Timeout(LIMIT_S):
        _receive(context)


def _receive(context: Context) -> None:
    try:
        while chunk := _receive_chunk(context.caller.fd):
            context.received += chunk
        context.end = 'closed'
    except ConnectionResetError:
        context.end = 'reset'


def _receive_chunk(sock: socket.socket) -> bytes:
    # The library's own read reports a reset as an orderly end.
    while True:
        try:
            return sock.recv(65_536)
        except BlockingIOError:
            eventlet.sleep(0.01)


@when('its next request arrives while the server is closed')
def send_during_close(context: Context) -> None:
    # Sent in the same iteration of the event loop as the close.
    eventlet.spawn_n(context.caller.fd.send, REQUEST)
    context.server.close(CLOSING_MS)
    with Timeout(LIMIT_S):
        _receive(context)


@when('another caller connects and sends a request as the server is closed')
def connect_during_close(context: Context) -> None:
    # Without a switch to the server, so that the connection is not accepted.
    with socket.create_connection(context.address, LIMIT_S) as caller:
        caller.sendall(REQUEST)
        context.server.close(CLOSING_MS)
        _receive_last(context, caller)


@when(
    'another caller that has connected sends its first request as the server '
    'is closed'
)
def send_first_during_close(context: Context) -> None:
    with socket.create_connection(context.address, LIMIT_S) as caller:
        eventlet.sleep(0.05)
        eventlet.spawn_after(0.02, caller.sendall, REQUEST)
        context.server.close(CLOSING_MS)
        _receive_last(context, caller)


def _receive_last(context: Context, caller: socket.socket) -> None:
    caller.setblocking(False)
    context.received = b''
    try:
        with Timeout(LIMIT_S):
            while chunk := _receive_chunk(caller):
                context.received += chunk
    except ConnectionResetError:
        context.end = 'reset'
    else:
        context.end = 'closed'


@then('the server accepts no more connections')
def check_closed(context: Context) -> None:
    try:
        socket.create_connection(context.address, LIMIT_S).close()
    except ConnectionRefusedError:
        return
    raise AssertionError('a connection was accepted')


@when('a caller sends a request and resets its connection')
def send_and_reset(context: Context) -> None:
    context.caller.sendall(REQUEST)
    assert context.caller.recv(10)
    linger = socket.SOL_SOCKET, socket.SO_LINGER
    context.caller.setsockopt(*linger, RESET_AT_CLOSE)
    context.caller.close()
    with Timeout(LIMIT_S):
        while not context.log.records:
            eventlet.sleep(0.01)


@then('it is answered with status {status:d}')
def check_status(context: Context, status: int) -> None:
    first = context.received.split(b'\r\n')[0]
    assert b' %d ' % status in first, (context.received, context.end)


@then('every request that ran was answered')
def check_answered(context: Context) -> None:
    answered = context.received.count(b'whole')
    assert answered == context.application.request_count, (
        context.application.request_count
    )


@then('its connection stays open')
def check_open(context: Context) -> None:
    assert context.end == 'kept', (context.received, context.end)


@then('its connection is reset')
def check_reset(context: Context) -> None:
    assert context.end == 'reset', (context.received, context.end)


@then('event "{name}" contains the request id and "{reason}"')
def check_event(context: Context, name: str, reason: str) -> None:
    events = [
        record.extra
        for record in context.log.records
        if record.extra['event'] == name
    ]
    assert [each['request'] for each in events] == [ID], events
    assert reason in str(events[0]['reason']), events
