"""Steps about callers that leave before they are answered."""

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
from logbook import TestHandler

from laburnumwood.admission.retries import RetryBudgets
from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import LinkError, LinkTimeoutError
from laburnumwood.placement.loads import LoadBook
from laburnumwood.protocol.messages import Cancel, Failure, Work
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.routing.caller import CallerMonitor
from laburnumwood.routing.caller_request import CallerRequest
from laburnumwood.routing.exchange import (
    Exchange,
    ExchangeWrapper,
    OutgoingExchange,
    local_pair,
)
from laburnumwood.routing.problems import make_failure
from laburnumwood.routing.request_balancer import RequestBalancer
from laburnumwood.routing.router import Router
from tests.features.steps.plain_work import PLAIN_WORK
from tests.request_stack.stack import DOOR, GATE, OneGate

HOST = '127.0.0.1'
LIMIT_S = 20
DEADLINE_MS = 2_000
CANCEL_WITHIN_MS = 500
LEAVES_AFTER_S = 0.1
OWNER_AFTER_S = 0.25
NEXT_REQUEST = b'GET /plain/next HTTP/1.1\r\nHost: door\r\n\r\n'
RESET_AT_CLOSE = struct.pack('ii', 1, 0)

Leave = Callable[[Any], None]


def _close(sock: Any) -> None:
    sock.close()


def _reset(sock: Any) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    sock.close()


def _end_side(sock: Any) -> None:
    sock.shutdown(socket.SHUT_WR)


LEAVES: dict[str, Leave] = {
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
    raise ValueError('a fault of what is done for a caller that left')


@given('callers that are watched')
def make_callers(context: Context) -> None:
    log = TestHandler()
    log.push_application()
    context.add_cleanup(log.pop_application)
    context.callers = CallerMonitor(Clock())
    context.done = Event()


@when('another caller leaves')
def leave_first(context: Context) -> None:
    served, other = _connect(context)
    context.callers.register(served)
    other.close()
    eventlet.sleep(LEAVES_AFTER_S)


@when("another caller's connection is closed before it is watched")
def watch_closed(context: Context) -> None:
    served, _ = _connect(context)
    served.close()
    context.callers.register(served)


@when('what is done for another caller that left fails')
def fail_first(context: Context) -> None:
    served, other = _connect(context)
    context.callers.register(served).set_gone_handler(_fail)
    other.close()
    eventlet.sleep(LEAVES_AFTER_S)


@when('a caller closes its connection')
def leave_watched(context: Context) -> None:
    _watch_leaving(context, _close, b'')


@when('a caller sends its next request and {leaves}')
def leave_after_more(context: Context, leaves: str) -> None:
    _watch_leaving(context, LEAVES[leaves], NEXT_REQUEST)


def _watch_leaving(context: Context, leave: Leave, sent: bytes) -> None:
    served, sock = _connect(context)
    context.caller = context.callers.register(served)
    sock.sendall(sent)
    eventlet.sleep(LEAVES_AFTER_S)
    leave(sock)


@when('its leaving is noticed')
def notice(context: Context) -> None:
    with Timeout(LIMIT_S):
        while not context.caller.is_gone:
            eventlet.sleep(LEAVES_AFTER_S)


@when('it is said what is to be done when it leaves')
def set_act(context: Context) -> None:
    context.caller.set_gone_handler(context.done.send)


@then('it is done')
def check_done(context: Context) -> None:
    assert context.done.ready()


@then('its leaving is noticed within {limit:d} ms')
def check_noticed(context: Context, limit: int) -> None:
    context.caller.set_gone_handler(context.done.send)
    with Timeout(limit / MS_PER_SECOND, exception=False):
        context.done.wait()
    assert context.caller.is_gone


class _Scene:
    """A router whose caller leaves at some moment, and what its gate gets."""

    def __init__(self, context: Context, own: NodeName) -> None:
        served, self._sock = _connect(context)
        self.has_left = False
        self.given_late: list[Work] = []
        self.far: Any = None
        self.told: Any = Event()
        self.view = _OpeningGate()
        clock = Clock()
        self.caller = CallerMonitor(clock).register(served)
        view: Any = self.view
        links: Any = self
        self._router = Router(
            own,
            view,
            links,
            self.serve,
            RequestBalancer(LoadBook(clock), 'x', Random(1), clock),
            RetryBudgets(0, clock),
            clock,
        )
        self.during_try: Callable[[], None] = _nothing
        self.during_send: Callable[[], None] = _nothing

    def leave(self) -> None:
        """Let the caller close its connection."""
        self._sock.close()
        self.has_left = True

    def send(self) -> Any:
        """Send a request of the caller."""
        work = replace(PLAIN_WORK, shard=-1, idempotent=True)
        with Timeout(LIMIT_S):
            return self._router.send(CallerRequest(work, b'', 3), self.caller)

    def serve(self, exchange: Exchange, work: Work) -> None:
        """Turn a request away, in the place of a gate."""
        if self.has_left:
            self.given_late.append(work)
        self.during_try()
        exchange.send(make_failure('worker-unreachable', 'refused', ran=False))

    def open_stream(self, _peer: NodeName, **_how: bool) -> OutgoingExchange:
        """Return a stream to the gate, in the place of links."""
        near, self.far = local_pair()
        eventlet.spawn_n(self._serve_stream, self.far)
        return _SlowStream(near, self)

    def await_cancel(self) -> None:
        """Note what the gate is told within the time that the rules give."""
        try:
            self.told.send(self.far.receive(CANCEL_WITHIN_MS))
        except LinkTimeoutError as late:
            self.told.send(late)

    def _serve_stream(self, far: Stream) -> None:
        with suppress(LinkTimeoutError):
            work = far.receive(DEADLINE_MS)
            if isinstance(work, Work):
                self.serve(far, work)


class _SlowStream(ExchangeWrapper):
    """A stream whose link takes a request only after something happened."""

    def __init__(self, near: Stream, scene: _Scene) -> None:
        super().__init__(near)
        self._near = near
        self._scene = scene

    def send(self, message: Any) -> None:
        """Send a message."""
        if isinstance(message, Work):
            self._scene.during_send()
        super().send(message)

    def fail(self, reason: LinkError) -> None:
        """Let all that waits on the stream fail."""
        self._near.fail(reason)


def _nothing() -> None:
    """Do nothing."""


class _OpeningGate(OneGate):
    """A view in which the one node is known from some time on."""

    def __init__(self) -> None:
        super().__init__()
        self.is_open = True

    def serving_nodes(self, service: str) -> dict[NodeName, NodeRecord]:
        """Return the one node once it is known."""
        return super().serving_nodes(service) if self.is_open else {}

    def open(self) -> None:
        """Let the node be known."""
        self.is_open = True
        self.directory.news.tell()


def _leave_first(scene: _Scene) -> None:
    scene.leave()


def _leave_waiting(scene: _Scene) -> None:
    scene.view.is_open = False
    eventlet.spawn_after(LEAVES_AFTER_S, scene.leave)
    eventlet.spawn_after(OWNER_AFTER_S, scene.view.open)


def _leave_in_try(scene: _Scene) -> None:
    def leave_at_gate() -> None:
        eventlet.sleep(LEAVES_AFTER_S)
        scene.leave()

    scene.during_try = leave_at_gate


def _leave_in_send(scene: _Scene) -> None:
    def leave_noticed() -> None:
        scene.during_send = _nothing
        scene.leave()
        eventlet.sleep(0)
        while not scene.caller.is_gone:
            eventlet.sleep(LEAVES_AFTER_S)

    scene.during_send = leave_noticed
    scene.during_try = scene.await_cancel


MOMENTS: dict[str, Callable[[_Scene], None]] = {
    'before the first try': _leave_first,
    'while it waits for an owner': _leave_waiting,
    'during the first try': _leave_in_try,
    'while it is sent': _leave_in_send,
}
PLACES = {"the worker's node": GATE, 'another node': DOOR}


@given('a router on {where} whose caller leaves {moment}')
def make_scene(context: Context, where: str, moment: str) -> None:
    log = TestHandler()
    log.push_application()
    context.add_cleanup(log.pop_application)
    context.scene = _Scene(context, PLACES[where])
    MOMENTS[moment](context.scene)


@when('its request is sent')
def send(context: Context) -> None:
    context.outcome = context.scene.send()


@then('no gate was given it after its caller had left')
def check_none_given(context: Context) -> None:
    assert not context.scene.given_late, context.scene.given_late


@then('the gate that was given it is told to cancel it')
def check_cancelled(context: Context) -> None:
    with Timeout(LIMIT_S):
        told = context.scene.told.wait()
    assert isinstance(told, Cancel), told
    assert isinstance(context.outcome, Failure), context.outcome
