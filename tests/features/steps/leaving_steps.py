"""Steps about callers that disconnect before they are answered."""

import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from random import Random
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet import Timeout
from eventlet.event import Event
from eventlet.green import socket
from eventlet.patcher import original
from logbook import TestHandler

from laburnumwood.admission.retry_budget import RetryBudgets
from laburnumwood.balancing.request_balancer import RequestBalancer
from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import LinkError, LinkTimeoutError
from laburnumwood.placement.load_reports import LoadReports
from laburnumwood.protocol.messages import Cancel, Failure, Work
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.routing.caller import CallerMonitor
from laburnumwood.routing.exchange import (
    Exchange,
    ExchangeWrapper,
    OutgoingExchange,
    local_pair,
)
from laburnumwood.routing.problems import make_failure
from laburnumwood.routing.router import Router
from tests.features.steps.plain_work import PLAIN_WORK, caller_request
from tests.request_stack.stack import GATE_NAME, INGRESS_NAME, SingleGateView

HOST = '127.0.0.1'
LIMIT_S = 20
DEADLINE_MS = 2_000
CANCEL_WITHIN_MS = 500
DISCONNECT_AFTER_S = 0.1
OWNER_KNOWN_AFTER_S = 0.25
NEXT_REQUEST = b'GET /plain/next HTTP/1.1\r\nHost: door\r\n\r\n'
RESET_AT_CLOSE = struct.pack('ii', 1, 0)

_select = original('select')

Disconnect = Callable[[Any], None]


def _close(sock: Any) -> None:
    sock.close()


def _reset(sock: Any) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    sock.close()


def _end_side(sock: Any) -> None:
    sock.shutdown(socket.SHUT_WR)


DISCONNECTS: dict[str, Disconnect] = {
    'closes its connection': _close,
    'resets its connection': _reset,
    'ends its side': _end_side,
}


def _connect(context: Context) -> tuple[Any, Any]:
    """Return a connection's two ends: the door's, and the caller's."""
    listener = eventlet.listen((HOST, 0))
    caller = socket.create_connection(listener.getsockname(), LIMIT_S)
    served, _ = listener.accept()
    listener.close()
    context.add_cleanup(caller.close)
    context.add_cleanup(served.close)
    return served, caller


def _fail() -> None:
    raise ValueError('a fault of the handler for a disconnect')


def _await_end(served: Any) -> None:
    """Wait until the door's end of a connection has been told of its end.

    No other task runs meanwhile, so the door can't have noticed it earlier.
    """
    poll = _select.poll()
    poll.register(served.fileno(), _select.POLLRDHUP)
    assert poll.poll(LIMIT_S * MS_PER_SECOND), 'the end did not arrive'


@given('callers whose connections are watched')
def watch_callers(context: Context) -> None:
    log = TestHandler()
    log.push_application()
    context.add_cleanup(log.pop_application)
    context.callers = CallerMonitor(Clock())
    context.handler_called = Event()


@when('another caller disconnects')
def disconnect_other(context: Context) -> None:
    served, other = _connect(context)
    context.callers.register(served)
    other.close()
    eventlet.sleep(DISCONNECT_AFTER_S)


@when("another caller's connection is closed before it is watched")
def watch_closed_connection(context: Context) -> None:
    served, _ = _connect(context)
    served.close()
    context.callers.register(served)


@when("the handler for another caller's disconnect fails")
def fail_handler(context: Context) -> None:
    served, other = _connect(context)
    context.callers.register(served).set_gone_handler(_fail)
    other.close()
    eventlet.sleep(DISCONNECT_AFTER_S)


@when('a caller closes its connection')
def close_watched(context: Context) -> None:
    _watch_disconnect(context, _close, b'')


@when('a caller sends its next request and {how}')
def disconnect_after_more(context: Context, how: str) -> None:
    _watch_disconnect(context, DISCONNECTS[how], NEXT_REQUEST)


def _watch_disconnect(
    context: Context, disconnect: Disconnect, sent: bytes
) -> None:
    served, sock = _connect(context)
    context.caller = context.callers.register(served)
    sock.sendall(sent)
    eventlet.sleep(DISCONNECT_AFTER_S)
    disconnect(sock)


@when('its disconnect is detected')
def await_detection(context: Context) -> None:
    with Timeout(LIMIT_S):
        while not context.caller.is_gone:
            eventlet.sleep(DISCONNECT_AFTER_S)


@when('a handler for its disconnect is set')
def set_handler(context: Context) -> None:
    context.caller.set_gone_handler(context.handler_called.send)


@then('the handler has been called')
def check_handler_called(context: Context) -> None:
    assert context.handler_called.ready()


@then('its disconnect is detected within {limit_ms:d} ms')
def check_detected(context: Context, limit_ms: int) -> None:
    context.caller.set_gone_handler(context.handler_called.send)
    with Timeout(limit_ms / MS_PER_SECOND, exception=False):
        context.handler_called.wait()
    assert context.caller.is_gone


class _RoutedRequest:
    """A request whose caller disconnects, its router and its gate."""

    def __init__(self, context: Context, own: NodeName) -> None:
        self._served, self._sock = _connect(context)
        self.has_disconnected = False
        self.late_requests: list[Work] = []
        self.far: Any = None
        self.received: Any = Event()
        self.view = _LateOwnerView()
        clock = Clock()
        self.caller = CallerMonitor(clock).register(self._served)
        view: Any = self.view
        links: Any = self
        self._router = Router(
            own,
            view,
            links,
            self.serve,
            RequestBalancer(LoadReports(clock), 'x', Random(1), clock),
            RetryBudgets(0, clock),
            clock,
        )
        self.during_try: Callable[[], None] = _do_nothing
        self.during_send: Callable[[], None] = _do_nothing

    def disconnect(self) -> None:
        """Close the connection of the caller, so that the door can know."""
        self._sock.close()
        _await_end(self._served)
        self.has_disconnected = True

    def send(self) -> Any:
        """Send the request of the caller; return the outcome."""
        work = replace(PLAIN_WORK, shard=-1, idempotent=True)
        with Timeout(LIMIT_S):
            return self._router.send(
                caller_request(work, Clock(), 3), self.caller
            )

    def serve(self, exchange: Exchange, work: Work) -> None:
        """Refuse a request, in place of a gate."""
        if self.has_disconnected:
            self.late_requests.append(work)
        self.during_try()
        exchange.send(make_failure('worker-unreachable', 'refused', ran=False))

    def open_stream(self, _peer: NodeName, **_how: bool) -> OutgoingExchange:
        """Return a stream to the gate, in place of links."""
        near, self.far = local_pair()
        eventlet.spawn_n(self._serve_stream, self.far)
        return _SlowStream(near, self)

    def await_cancel(self) -> None:
        """Store the message that the gate receives in time to cancel."""
        try:
            self.received.send(self.far.receive(CANCEL_WITHIN_MS))
        except LinkTimeoutError as late:
            self.received.send(late)

    def _serve_stream(self, far: Stream) -> None:
        with suppress(LinkTimeoutError):
            work = far.receive(DEADLINE_MS)
            if isinstance(work, Work):
                self.serve(far, work)


class _SlowStream(ExchangeWrapper):
    """A stream that calls `during_send` before it sends a request."""

    def __init__(self, near: Stream, routed: _RoutedRequest) -> None:
        super().__init__(near)
        self._near = near
        self._routed = routed

    def send(self, message: Any) -> None:
        """Send a message."""
        if isinstance(message, Work):
            self._routed.during_send()
        super().send(message)

    def fail(self, reason: LinkError) -> None:
        """Fail the stream, and with it all tasks that wait on it."""
        self._near.fail(reason)


def _do_nothing() -> None:
    """Do nothing."""


class _LateOwnerView(SingleGateView):
    """A view in which the one node becomes known only later."""

    def __init__(self) -> None:
        super().__init__()
        self.is_known = True

    def serving_nodes(self, service: str) -> dict[NodeName, NodeRecord]:
        """Return the one node once it is known."""
        return super().serving_nodes(service) if self.is_known else {}

    def make_known(self) -> None:
        """Make the node known, and wake the tasks that wait for it."""
        self.is_known = True
        self.directory.changes.notify_all()


def _disconnect_first(routed: _RoutedRequest) -> None:
    routed.disconnect()


def _disconnect_while_waiting(routed: _RoutedRequest) -> None:
    routed.view.is_known = False
    eventlet.spawn_after(DISCONNECT_AFTER_S, routed.disconnect)
    eventlet.spawn_after(OWNER_KNOWN_AFTER_S, routed.view.make_known)


def _disconnect_in_try(routed: _RoutedRequest) -> None:
    def disconnect_at_gate() -> None:
        eventlet.sleep(DISCONNECT_AFTER_S)
        routed.disconnect()

    routed.during_try = disconnect_at_gate


def _disconnect_in_send(routed: _RoutedRequest) -> None:
    def disconnect_and_await_detection() -> None:
        routed.during_send = _do_nothing
        routed.disconnect()
        eventlet.sleep(0)
        while not routed.caller.is_gone:
            eventlet.sleep(DISCONNECT_AFTER_S)

    routed.during_send = disconnect_and_await_detection
    routed.during_try = routed.await_cancel


MOMENTS: dict[str, Callable[[_RoutedRequest], None]] = {
    'before the first try': _disconnect_first,
    'while it waits for an owner': _disconnect_while_waiting,
    'during the first try': _disconnect_in_try,
    'while it is sent': _disconnect_in_send,
}
PLACES = {"the worker's node": GATE_NAME, 'another node': INGRESS_NAME}


@given('a router on {where} whose caller disconnects {moment}')
def make_routed_request(context: Context, where: str, moment: str) -> None:
    log = TestHandler()
    log.push_application()
    context.add_cleanup(log.pop_application)
    context.routed = _RoutedRequest(context, PLACES[where])
    MOMENTS[moment](context.routed)


@when('its request is sent')
def send(context: Context) -> None:
    context.outcome = context.routed.send()


@then('no gate received it after its caller had disconnected')
def check_no_late_request(context: Context) -> None:
    assert not context.routed.late_requests, context.routed.late_requests


@then('the gate that received it is told to cancel it')
def check_cancelled(context: Context) -> None:
    with Timeout(LIMIT_S):
        received = context.routed.received.wait()
    assert isinstance(received, Cancel), received
    assert isinstance(context.outcome, Failure), context.outcome
