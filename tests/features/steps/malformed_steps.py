"""Steps about malformed input."""

import traceback

from behave import given, then, when
from behave.runner import Context

from tests.features.steps.worker_answer_steps import answer_once
from tests.fuzz.inputs import send_malformed

CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


@when('{count:d} malformed {what} arrive')
def send_many(context: Context, count: int, what: str) -> None:
    _send(context, what, range(count))


@when('the malformed input {seed:d} of the {what} arrives')
def send_one(context: Context, seed: int, what: str) -> None:
    _send(context, what, range(seed, seed + 1))


def _send(context: Context, what: str, seeds: range) -> None:
    context.unexpected = []
    for seed in seeds:
        try:
            send_malformed(what, seed)
        except Exception:
            context.unexpected.append((seed, traceback.format_exc()))


@then('no unexpected error is raised')
def check_none_failed(context: Context) -> None:
    assert not context.unexpected, context.failed[0]


@given('a worker that answers in the chunks "{chunks}" and closes')
def start_chunks(context: Context, chunks: str) -> None:
    body = chunks.replace(';', '\r\n')
    answer_once(context, f'{CHUNKED}{body}'.encode())
