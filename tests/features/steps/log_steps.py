"""Steps about the log and the explanation of requests."""

import json
import os
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context

from laburnumwood.cli.explaining import explain
from laburnumwood.cli.options import UsageError
from laburnumwood.cli.output import Output
from laburnumwood.logs import LineWriter, RateLimiter
from tests.features.steps.fake_clock import FakeClock

LINE = bytes(99)


class CapturedOutput(Output):
    """Captures the data that a command prints."""

    def __init__(self) -> None:
        super().__init__(as_json=True)
        self.captured: list[dict[str, Any]] = []

    def print_json(self, content: Any) -> None:
        """Capture the content."""
        self.captured = content


@given('a rate limiter of the log')
def make_limiter(context: Context) -> None:
    context.clock = FakeClock()
    context.limiter = RateLimiter(context.clock)


@when('{many:d} events of one kind and {few:d} of another occur at once')
def acquire_events(context: Context, many: int, few: int) -> None:
    context.many = sum(context.limiter.try_acquire('one') for _ in range(many))
    context.few = sum(context.limiter.try_acquire('other') for _ in range(few))


@then('{many:d} of the first kind and {few:d} of the other are written')
def check_events(context: Context, many: int, few: int) -> None:
    assert (context.many, context.few) == (many, few), context.many


@when('{span:d} ms pass for the log')
def let_pass(context: Context, span: int) -> None:
    context.clock.pass_ms(span)


@then('{count:d} more of the first kind may be written')
def check_more(context: Context, count: int) -> None:
    allowed = sum(context.limiter.try_acquire('one') for _ in range(count * 2))
    assert allowed == count, allowed


@given('a log whose reader has stopped')
def make_stalled(context: Context) -> None:
    context.reader, context.end = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, context.end)
    os.set_blocking(context.end, False)
    context.writer = LineWriter(context.end)


@when('{count:d} lines are written to it')
def write_lines(context: Context, count: int) -> None:
    for _ in range(count):
        context.writer.put(LINE)
        context.writer.flush()


@then('the writer did not block, and most lines were counted as dropped')
def check_dropped(context: Context) -> None:
    # A writer that waits for the reader would never get here.
    assert context.writer.dropped > 50_000, context.writer.dropped


def _line(node: str, at_ms: int, event: str, **fields: Any) -> str:
    level = fields.pop('level', 'info')
    base = {'at_ms': at_ms, 'node': node, 'event': event, 'number': 'LW1'}
    return json.dumps({**base, 'level': level, 'text': '', **fields})


@given('log files of two nodes about the request "{request}"')
def make_logs(context: Context, request: str) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    about = {'request': request, 'service': 's', 'shard': 4}
    other = {'request': 'r-2', 'service': 's', 'shard': 5}
    door = (
        'no JSON',
        _line('door', 1_000, 'request-again', kind='not-owner', **about),
        _line('door', 1_300, 'request-failed', kind='not-owner', **about),
        _line('door', 1_100, 'request-failed', kind='overloaded', **other),
    )
    owner = (
        _line('owner', 900, 'shard-moved', shard='s/4', target='third'),
        _line('owner', 1_001, 'request-returned', kind='not-owner', **about),
        _line('owner', 90_000, 'shard-moved', shard='s/4', target='owner'),
    )
    context.files = []
    for name, lines in (('door', door), ('owner', owner)):
        path = Path(folder.name) / f'{name}.log'
        path.write_text('\n'.join(lines))
        context.files.append(str(path))


@when('the request "{request}" is explained')
def explain_request(context: Context, request: str) -> None:
    output = CapturedOutput()
    context.error = ''
    try:
        explain(request, context.files, output)
    except UsageError as error:
        context.error = str(error)
    context.events = output.captured


@then('the events of the request are "{events}"')
def check_request_events(context: Context, events: str) -> None:
    kinds = [each['event'] for each in context.events if 'request' in each]
    assert kinds == events.split(), context.events


@then('the events of its shard are "{events}"')
def check_shard_events(context: Context, events: str) -> None:
    kinds = [each['event'] for each in context.events if 'request' not in each]
    assert kinds == events.split(), context.events


@then('there is no event about the request "{request}"')
def check_others(context: Context, request: str) -> None:
    found = [each.get('request') for each in context.events]
    assert request not in found


@then('the tool reports that no line is about it')
def check_unknown(context: Context) -> None:
    assert 'no line is about' in context.error
