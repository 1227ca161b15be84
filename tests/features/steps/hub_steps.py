"""Steps about the event loop, called without running it."""

import socket
from typing import Any

from behave import given, then, when
from behave.runner import Context

from laburnumwood.hub import Hub

LOOKS = 5


class _CountingPoll:
    """Counts what is asked of the system's own object."""

    def __init__(self, poll: Any) -> None:
        self._poll = poll
        self.asked = 0

    def register(self, fileno: int, mask: int) -> None:
        self.asked += 1
        self._poll.register(fileno, mask)

    def modify(self, fileno: int, mask: int) -> None:
        self.asked += 1
        self._poll.modify(fileno, mask)

    def unregister(self, fileno: int) -> None:
        self.asked += 1
        self._poll.unregister(fileno)

    def poll(self, seconds: float) -> Any:
        return self._poll.poll(seconds)


def _connect(context: Context) -> None:
    context.near, context.far = socket.socketpair()
    context.add_cleanup(context.near.close)
    context.add_cleanup(context.far.close)


def _add(context: Context, evtype: str) -> Any:
    def end(_fileno: int) -> None:
        context.ended = True

    number = context.near.fileno()
    return context.hub.add(evtype, number, end, None, None)


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


@when('a wait for it begins')
def begin_wait(context: Context) -> None:
    _add(context, context.hub.READ)


@when('a wait to write to it begins and ends')
def wait_to_write(context: Context) -> None:
    context.hub.remove(_add(context, context.hub.WRITE))


@when('bytes come')
@when('bytes come that nobody waits for')
def send_bytes(context: Context) -> None:
    context.far.sendall(b'some')


@when('the other side closes it')
def close_far(context: Context) -> None:
    context.far.close()


@when('it is closed')
def close_near(context: Context) -> None:
    context.near.close()


@when('it is closed and another one gets its number')
def reuse_number(context: Context) -> None:
    number = context.near.fileno()
    context.near.close()
    context.far.close()
    _connect(context)
    assert context.near.fileno() == number
    context.hub.mark_as_reopened(number)


@then('the system was asked {count:d} time to watch a descriptor')
def check_asked(context: Context, count: int) -> None:
    assert context.hub.poll.asked == count, context.hub.poll.asked


@then('the loop is woken {count:d} time')
def check_woken(context: Context, count: int) -> None:
    woken = sum(bool(context.hub.do_poll(0)) for _ in range(LOOKS))
    assert woken == count, woken


@then('that wait ends')
def check_ended(context: Context) -> None:
    context.hub.wait(0)
    assert context.ended


@then('a wait for it fails with ValueError')
def check_refused(context: Context) -> None:
    try:
        begin_wait(context)
    except ValueError:
        assert not context.hub.listeners[context.hub.READ]
    else:
        raise AssertionError('it was waited for')
