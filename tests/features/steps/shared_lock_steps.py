"""Steps about the lock that runs hold on a worker."""

from behave import then, when
from behave.runner import Context

from laburnumwood.clock import Clock
from laburnumwood.errors import WorkerBusyError
from laburnumwood.routing.shared_lock import SharedLock


@when(
    'a run that has to be alone waits for another one with {left_ms:d} ms left'
)
def wait_alone(context: Context, left_ms: int) -> None:
    clock = Clock()
    lock = SharedLock(clock)
    started_ms = clock.now_ms()
    until_ms = started_ms + left_ms
    try:
        with (
            lock.acquired(until_ms, exclusive=False),
            lock.acquired(until_ms, exclusive=True),
        ):
            raise AssertionError('it was not alone')
    except WorkerBusyError:
        context.waited_ms = clock.now_ms() - started_ms


@then('it has given up after {least:d} to {most:d} ms')
def check_waited(context: Context, least: int, most: int) -> None:
    assert least <= context.waited_ms <= most, context.waited_ms
