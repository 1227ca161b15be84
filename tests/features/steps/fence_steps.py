"""Steps about the fencing tokens that lives of workers take keys under."""

from behave import given, then, when
from behave.runner import Context

from tests.fences import FenceHistory, Taking


def _taking(text: str) -> Taking:
    life, keys, token = text.split()
    first, last = keys.split('-')
    return Taking(life, int(first), int(last), int(token))


@given('lives of workers that take {takings}')
def take_keys(context: Context, takings: str) -> None:
    context.history = FenceHistory()
    for text in takings.split('; '):
        context.history.take(_taking(text))


@when('a life takes {taking}')
def take_keys_later(context: Context, taking: str) -> None:
    context.found = context.history.take(_taking(taking))


@then('the check finds {found}')
def check_found(context: Context, found: str) -> None:
    assert '; '.join(context.found) in {found, ''}, context.found
    assert bool(context.found) == (found != 'nothing'), context.found
