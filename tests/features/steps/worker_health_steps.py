"""Steps about the health of a worker."""

from behave import then, when
from behave.runner import Context

from laburnumwood.upstream.health import WorkerHealth
from tests.ownership.clocks import DriftingClock, SimulatedTime


@when('calls of the worker end as follows')
def run_calls(context: Context) -> None:
    context.time = SimulatedTime()
    context.health = WorkerHealth(DriftingClock(context.time, 0, 1.0))
    for row in context.table:
        context.time.now_ms = int(row['at_ms'])
        context.health.record_call(
            answered=row['answered'] == 'yes', started_ms=int(row['at_ms'])
        )


@then('at {now_ms:d} ms the worker is not lost')
def check_not_lost(context: Context, now_ms: int) -> None:
    context.time.now_ms = now_ms
    assert not context.health.is_lost


@then('at {now_ms:d} ms the worker is lost')
def check_lost(context: Context, now_ms: int) -> None:
    context.time.now_ms = now_ms
    assert context.health.is_lost
