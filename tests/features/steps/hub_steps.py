"""Steps about the hub, whose event loop does not run."""

import socket
import struct
from functools import partial
from typing import Any

from behave import given, then, when
from behave.runner import Context
from eventlet.hubs.timer import Timer

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.hub import Hub
from laburnumwood.routing.request_time import unread_for_ms
from laburnumwood.turns import Turns
from tests.features.steps.fake_clock import FakeClock

POLLS = 5


class _CountingPoll:
    """Counts the calls that change the registrations of an epoll object."""

    def __init__(self, poll: Any) -> None:
        self._poll = poll
        self.calls = 0

    def register(self, fileno: int, mask: int) -> None:
        self.calls += 1
        self._poll.register(fileno, mask)

    def modify(self, fileno: int, mask: int) -> None:
        self.calls += 1
        self._poll.modify(fileno, mask)

    def unregister(self, fileno: int) -> None:
        self.calls += 1
        self._poll.unregister(fileno)

    def poll(self, seconds: float) -> Any:
        return self._poll.poll(seconds)


def _connect(context: Context) -> None:
    context.near, context.far = socket.socketpair()
    context.add_cleanup(context.near.close)
    context.add_cleanup(context.far.close)


def _add(context: Context, evtype: str) -> Any:
    def end_wait(_fileno: int) -> None:
        context.ended = True

    number = context.near.fileno()
    return context.hub.add(evtype, number, end_wait, None, None)


@given('a connection and an event loop')
def make_loop(context: Context) -> None:
    _connect(context)
    context.hub = Hub()
    context.add_cleanup(context.hub.poll.close)
    context.hub.poll = _CountingPoll(context.hub.poll)
    context.ended = False


@when('it is waited for {count:d} time')
@when('it is waited for {count:d} times')
def wait_often(context: Context, count: int) -> None:
    for _ in range(count):
        context.hub.remove(_add(context, context.hub.READ))


@when('a read wait for it starts')
def start_wait(context: Context) -> None:
    _add(context, context.hub.READ)


@when('a write wait for it starts and ends')
def wait_to_write(context: Context) -> None:
    context.hub.remove(_add(context, context.hub.WRITE))


@when('data arrives')
@when('data arrives that no task waits for')
def send_bytes(context: Context) -> None:
    context.far.sendall(b'some')


@when('the peer closes it')
def close_peer_end(context: Context) -> None:
    context.far.close()


@when('it is closed')
def close_own_end(context: Context) -> None:
    context.near.close()


@when('it is closed and its descriptor number is reused')
def reuse_number(context: Context) -> None:
    number = context.near.fileno()
    context.near.close()
    context.far.close()
    _connect(context)
    assert context.near.fileno() == number
    context.hub.mark_as_reopened(number)


@then('epoll was called {count:d} time')
def check_calls(context: Context, count: int) -> None:
    assert context.hub.poll.calls == count, context.hub.poll.calls


@then('epoll reports it {count:d} time')
def check_reports(context: Context, count: int) -> None:
    reports = sum(bool(context.hub.do_poll(0)) for _ in range(POLLS))
    assert reports == count, reports


@then('that wait ends')
def check_ended(context: Context) -> None:
    context.hub.wait(0)
    assert context.ended


@then('a read wait for it fails with ValueError')
def check_refused(context: Context) -> None:
    try:
        start_wait(context)
    except ValueError:
        assert not context.hub.listeners[context.hub.READ]
    else:
        raise AssertionError('the wait did not fail')


class _WaitingTask:
    """A task that waits for data, as `throw` ends it or `take` does."""

    def __init__(self, hub: Hub) -> None:
        self.ended_by = ''
        self.limit = Timer(0.1, self.throw)
        hub.add_timer(self.limit)

    def throw(self) -> None:
        """End the wait at its time limit."""
        self.ended_by = 'time limit'

    def take(self) -> None:
        """End the wait with data."""
        if not self.ended_by:
            self.ended_by = 'data'
            self.limit.cancel()


@given('a task waits 100 ms for data that {tasks:d} other tasks hand on')
def wait_for_data(context: Context, tasks: int) -> None:
    hub = context.hub
    context.loop_s = [0]
    hub.clock = lambda: context.loop_s[0]
    context.task = _WaitingTask(hub)
    hub.add_timer(Timer(0.05, partial(str)))  # callables may have no name

    def hand_on(left: int) -> None:
        if left:
            hub.add_timer(Timer(0, hand_on, left - 1))
        else:
            context.task.take()

    def read(_fileno: int) -> None:
        context.near.recv(100)
        hand_on(tasks)

    hub.add(hub.READ, context.near.fileno(), read, None, None)


@when('data arrives and the loop is busy for {span_ms:d} ms')
def be_busy_with_data(context: Context, span_ms: int) -> None:
    send_bytes(context)
    be_busy_alone(context, span_ms)


@when('the loop is busy for {span_ms:d} ms')
def be_busy_alone(context: Context, span_ms: int) -> None:
    context.hub.prepare_timers()
    context.loop_s[0] += span_ms / MS_PER_SECOND
    context.hub.fire_timers(context.hub.clock())


@then('the task has the data')
def check_taken(context: Context) -> None:
    assert context.task.ended_by == 'data', context.task.ended_by


@then('the task has waited too long')
def check_limit(context: Context) -> None:
    assert context.task.ended_by == 'time limit', context.task.ended_by


@given('an event loop that waited for events until {until_ms:d} ms')
def make_turns(context: Context, until_ms: int) -> None:
    _connect(context)
    context.clock = FakeClock()
    context.turns = Turns(context.clock)
    _wait_for_events(context, until_ms)


def _wait_for_events(context: Context, span_ms: int) -> None:
    began_ms = context.clock.now_ms()
    context.clock.pass_ms(span_ms)
    context.turns.record_wait(began_ms, context.clock.now_ms())
    context.waited_until_ms = context.clock.now_ms()


@when(
    'it is busy until {until_ms:d} ms, and waits for events for {wait_ms:d} ms'
)
def be_busy(context: Context, until_ms: int, wait_ms: int) -> None:
    context.clock.pass_ms(until_ms - 10)
    _wait_for_events(context, wait_ms)


class _InformedSocket:
    """A socket of which the system tells given TCP_INFO."""

    def __init__(self, info: bytes) -> None:
        self._info = info

    def getsockopt(self, _level: int, _option: int, size: int) -> bytes:
        return self._info.ljust(size, bytes(1))


TCP_INFO = {
    'its state alone': b'\x01',
    'data since 300 ms': struct.pack('=8xI40xI', 200_000, 300),
}


@when(
    'a request is read {span_ms:d} ms later on a connection of which the '
    'system tells {what}'
)
def read_later(context: Context, span_ms: int, what: str) -> None:
    context.clock.pass_ms(span_ms)
    sock = context.near
    if what in TCP_INFO:
        sock = _InformedSocket(TCP_INFO[what])
    context.unread_ms = unread_for_ms(sock, context.turns)


@then('it has waited for up to {span_ms:d} ms')
def check_unread(context: Context, span_ms: int) -> None:
    assert context.unread_ms == span_ms, context.unread_ms
