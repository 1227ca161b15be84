"""Steps about requests that crash workers."""

from behave import given, then, when
from behave.runner import Context

from laburnumwood.routing.quarantine import Quarantine
from tests.features.steps.fake_clock import FakeClock


@given('a quarantine')
def make_quarantine(context: Context) -> None:
    context.clock = FakeClock()
    context.quarantine = Quarantine(context.clock)


@when('a worker dies under "{request}"')
def blame(context: Context, request: str) -> None:
    context.quarantine.record_death(request)


@when('"{request}" is answered')
def clear(context: Context, request: str) -> None:
    context.quarantine.clear(request)


@when('{seconds:d} s pass for the quarantine')
def let_pass(context: Context, seconds: int) -> None:
    context.clock.pass_ms(seconds * 1_000)


@when('another node tells of {deaths:d} death under "{request}"')
def learn(context: Context, deaths: int, request: str) -> None:
    context.quarantine.update(request, deaths)


@when('workers die under {count:d} different requests')
def blame_many(context: Context, count: int) -> None:
    for number in range(count):
        context.quarantine.record_death(str(number))
    context.last = str(count - 1)


@then('"{request}" is suspected')
def check_suspected(context: Context, request: str) -> None:
    assert context.quarantine.is_suspected(request)
    assert not context.quarantine.is_barred(request)
    assert not context.quarantine.barred_for_ms(request)


@then('"{request}" is barred')
def check_barred(context: Context, request: str) -> None:
    assert context.quarantine.is_barred(request)
    assert context.quarantine.barred_for_ms(request) > 0


@then('"{request}" is trusted')
def check_trusted(context: Context, request: str) -> None:
    assert not context.quarantine.is_suspected(request)


@then('the first of them is trusted and the last is suspected')
def check_bound(context: Context) -> None:
    check_trusted(context, '0')
    check_suspected(context, context.last)
