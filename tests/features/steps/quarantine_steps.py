"""Steps for the quarantine of requests that crash workers."""

from behave import given, then, when
from behave.runner import Context

from laburnumwood.routing.quarantine import Quarantine
from tests.features.steps.fake_clock import FakeClock


@given('a quarantine')
def make_quarantine(context: Context) -> None:
    context.clock = FakeClock()
    context.quarantine = Quarantine(context.clock)


@when('a worker dies while it runs "{request}"')
def record_death(context: Context, request: str) -> None:
    context.quarantine.record_death(request)


@when('"{request}" is answered')
def clear(context: Context, request: str) -> None:
    context.quarantine.clear(request)


@when('{seconds:d} s pass for the quarantine')
def advance_clock(context: Context, seconds: int) -> None:
    context.clock.pass_ms(seconds * 1_000)


@when('another node reports {deaths:d} deaths under "{request}"')
def report_deaths(context: Context, deaths: int, request: str) -> None:
    context.quarantine.update(request, deaths)


@when('workers die while they run {count:d} different requests')
def record_deaths(context: Context, count: int) -> None:
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


@then('"{request}" is not suspected')
def check_not_suspected(context: Context, request: str) -> None:
    assert not context.quarantine.is_suspected(request)


@then('the first of them is not suspected but the last is')
def check_eviction(context: Context) -> None:
    check_not_suspected(context, '0')
    check_suspected(context, context.last)
