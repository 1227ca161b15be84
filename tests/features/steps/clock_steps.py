"""Steps about the clock."""

from itertools import pairwise

from behave import then, when
from behave.runner import Context

from laburnumwood.clock import Clock


@when('the clock is read {count:d} times')
def read_clock(context: Context, count: int) -> None:
    clock = Clock()
    context.readings = [clock.now_ms() for _ in range(count)]


@then('no reading is less than the previous one')
def check_readings(context: Context) -> None:
    pairs = pairwise(context.readings)
    assert all(earlier <= later for earlier, later in pairs)
