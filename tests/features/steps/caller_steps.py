"""Steps about connections of callers, served in this process."""

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
from laburnumwood.clock import Clock
from laburnumwood.config.declarations import Declarations, Service
from laburnumwood.errors import LinkLostError, LinkTimeoutError
from laburnumwood.placement.loads import LoadReports
from laburnumwood.protocol.messages import Answer, Chunk, Failure, Work
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.routing.caller import Caller, CallerMonitor
from laburnumwood.routing.caller_interface import NativeCallerInterface
from laburnumwood.routing.caller_protocol import REQUEST_ID_KEY
from laburnumwood.routing.caller_request import CallerRequest
from laburnumwood.routing.door import Ingress
from laburnumwood.routing.exchange import Exchange, local_pair
from laburnumwood.routing.request_balancer import RequestBalancer
from laburnumwood.routing.router import PendingAnswer, Router
from laburnumwood.routing.server import HttpListener
from tests.request_stack.stack import DOOR, OneGate

HOST = '127.0.0.1'
LIMIT_S = 20
CLOSING_MS = 2_000
DEADLINE_MS = 5_000
NO_DESCRIPTORS_S = 0.3
ID = 'request-1'
LONG = b'x' * 50_000_000  # bytes, more than a connection takes at once
RESET_AT_CLOSE = struct.pack('ii', 1, 0)
REQUEST = (
    b'GET /plain/x HTTP/1.1\r\nHost: door\r\nLaburnumwood-Request: %b\r\n\r\n'
    % ID.encode()
)
DECLARED = Declarations(services={'plain': Service()})

Application = Callable[[dict[str, Any], Any], Iterable[bytes]]


class _Counted:
    """An application that answers with some bytes and counts its requests."""

    def __init__(self, content: bytes) -> None:
        self._content = content
        self.ran = 0

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> tuple[bytes]:
        environ[REQUEST_ID_KEY] = ID
        self.ran += 1
        start_response('200 OK', [('Content-Length', str(len(self._content)))])
        return (self._content,)


class _CutRouter:
    """Answers with a head and the first part of a body, and nothing more."""

    def __init__(self, *headers: tuple[str, str]) -> None:
        self._headers = headers

    def send(self, _inquiry: CallerRequest, _caller: Caller) -> PendingAnswer:
        near, far = local_pair()
        clock = Clock()
        reply = PendingAnswer(
            Answer(200, self._headers),
            near,
            clock.now_ms() + DEADLINE_MS,
            clock,
        )
        far.send(Chunk(b'the beginning'))
        reply.await_first_chunk()
        near.fail(LinkLostError('the link was lost'))
        return reply


def _fail(_environ: dict[str, Any], _start_response: Any) -> tuple[bytes]:
    raise TimeoutError('a call that is not the connection of the caller')


def _fail_midway(
    _environ: dict[str, Any], start_response: Any
) -> Iterable[bytes]:
    start_response('200 OK', [])
    yield b'the beginning'
    raise ValueError('a fault of the application')


def _serve(context: Context, application: Application) -> None:
    context.log = TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)
    address = HOST, free_port()
    context.server = HttpListener(address, application)
    context.add_cleanup(context.server.close, CLOSING_MS)
    context.caller = green_socket.create_connection(address, LIMIT_S)
    context.add_cleanup(context.caller.close)


@given('a server of callers whose application fails with a system error')
def serve_failing(context: Context) -> None:
    _serve(context, _fail)


@given('a server of callers whose application fails midway')
def serve_failing_midway(context: Context) -> None:
    _serve(context, _fail_midway)


@given('a server of callers')
def serve_counting(context: Context) -> None:
    context.application = _Counted(b'whole')
    _serve(context, context.application)


@given('a server of callers whose answer is long')
def serve_long(context: Context) -> None:
    _serve(context, _Counted(LONG))


@given('a door whose answer ends early')
def serve_cut(context: Context) -> None:
    router: Any = _CutRouter()
    _serve(
        context,
        Ingress(router, NativeCallerInterface(), lambda: DECLARED, Clock()),
    )


class _SlowLinks:
    """Links of which each is made only after the caller has gone."""

    def __init__(self, caller: Caller) -> None:
        self._caller = caller
        self.near, self.far = local_pair()

    def open_stream(self, _peer: NodeName, **_how: bool) -> Stream:
        """Return the stream on the new link."""
        self._caller.poll()
        return self.near


@given('a router whose callers leave while a link is made')
def make_router(context: Context) -> None:
    left, right = socket.socketpair()
    context.add_cleanup(right.close)
    left.close()
    right.setblocking(False)
    clock = Clock()
    context.gone = CallerMonitor(clock).register(GreenSocket(right))
    context.links = _SlowLinks(context.gone)
    view: Any = OneGate()
    links: Any = context.links
    context.router = Router(
        DOOR,
        view,
        links,
        _serve_nothing,
        RequestBalancer(LoadReports(clock), 'x', Random(1), clock),
        RetryBudgets(0, clock),
        clock,
    )


def _serve_nothing(_exchange: Exchange, _work: Work) -> None:
    raise AssertionError('the gate of this node was asked')


@when('a request is sent through it')
def route_request(context: Context) -> None:
    work = Work(ID, 'plain', -1, '', 'GET', '/x', (), 0, DEADLINE_MS, True, '')
    context.outcome = context.router.send(
        CallerRequest(work, b''), context.gone
    )


@then('nothing went over that link')
def check_nothing_sent(context: Context) -> None:
    with suppress(LinkTimeoutError):
        message = context.links.far.receive(0)
        raise AssertionError(message)


@then('the request ends as not run')
def check_not_run(context: Context) -> None:
    assert isinstance(context.outcome, Failure), context.outcome
    assert not context.outcome.ran, context.outcome


@given('a door whose link is lost after the last byte of an answer')
def serve_whole(context: Context) -> None:
    router: Any = _CutRouter(('Content-Length', '13'))
    _serve(
        context,
        Ingress(router, NativeCallerInterface(), lambda: DECLARED, Clock()),
    )


@when('no descriptor is left for a while as a caller connects')
def use_up_descriptors(context: Context) -> None:
    address = context.caller.getpeername()
    context.caller.close()
    # Nothing accepts it before this task waits.
    sock = socket.create_connection(address, LIMIT_S)
    free = os.dup(sock.fileno())
    os.close(free)
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (free, limits[1]))
    try:
        eventlet.sleep(NO_DESCRIPTORS_S)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    context.caller = GreenSocket(sock)


@given('a caller whose connection is idle after an answer')
def leave_idle(context: Context) -> None:
    context.caller.sendall(REQUEST)
    context.received = context.caller.recv(65_536)
    assert b'whole' in context.received
    eventlet.sleep(0)


@when('a caller sends a request on a kept connection')
def send_request(context: Context) -> None:
    context.caller.sendall(REQUEST)
    context.received = b''
    context.end = 'kept'
    with Timeout(1, exception=False):
        _receive(context)


@when('a caller of HTTP/1.0 sends a request')
def send_old_request(context: Context) -> None:
    context.caller.sendall(REQUEST.replace(b'HTTP/1.1', b'HTTP/1.0'))
    context.received = b''
    with Timeout(LIMIT_S):
        _receive(context)


def _receive(context: Context) -> None:
    try:
        while part := _next_part(context.caller.fd):
            context.received += part
        context.end = 'closed'
    except ConnectionResetError:
        context.end = 'reset'


def _next_part(sock: socket.socket) -> bytes:
    # The library's own read makes a reset look like an ordinary end.
    while True:
        try:
            return sock.recv(65_536)
        except BlockingIOError:
            eventlet.sleep(0.01)


@when('its next request comes while the server is closed')
def cross_the_close(context: Context) -> None:
    # Sent in the turn of the event loop in which the server is closed.
    eventlet.spawn_n(context.caller.fd.send, REQUEST)
    context.server.close(CLOSING_MS)
    with Timeout(LIMIT_S):
        _receive(context)


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
    assert answered == context.application.ran, context.application.ran


@then('its connection is kept')
def check_kept(context: Context) -> None:
    assert context.end == 'kept', (context.received, context.end)


@then('its connection is reset')
def check_reset(context: Context) -> None:
    assert context.end == 'reset', (context.received, context.end)


@then('event "{name}" names the request and "{reason}"')
def check_event(context: Context, name: str, reason: str) -> None:
    events = [
        record.extra
        for record in context.log.records
        if record.extra['event'] == name
    ]
    assert [each['request'] for each in events] == [ID], events
    assert reason in str(events[0]['reason']), events
