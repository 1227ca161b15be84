"""Steps about when the reports of a worker are answered."""

from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.settings import ReportSettings
from laburnumwood.upstream.report_answers import ReportAnswers
from laburnumwood.upstream.reporting_worker import ReportingWorker
from laburnumwood.upstream.reports import WorkerReport
from tests.features.steps.report_steps import FakeGrantSource, shard, stripes

LEASE_MS = 3_000
TOKEN = 8


def _report(started_ms: int) -> WorkerReport:
    return WorkerReport('worker', 'keyed', started_ms, 1, 9, is_leaving=False)


@given('a node whose worker has been granted shard 1')
def make_node(context: Context) -> None:
    clock = Clock()
    context.source = FakeGrantSource()
    context.source.lease_until_ms = clock.now_ms() + LEASE_MS
    context.source.held_shards.hold(shard(1), TOKEN)
    worker = ReportingWorker(ReportSettings(), clock)
    worker.attach(context.source)
    context.answers = ReportAnswers(worker, clock)
    assert context.answers.answer(_report(1)).ranges


@given('a higher token for shard 1 is written after {span_ms:d} ms')
def write_token(context: Context, span_ms: int) -> None:
    hold: Any = context.source.held_shards.hold
    eventlet.spawn_after(span_ms / MS_PER_SECOND, hold, shard(1), TOKEN + 8)


@when('the next instance of the worker reports for the first time')
def report_first(context: Context) -> None:
    started_ms = Clock().now_ms()
    context.reply = context.answers.answer(_report(2))
    context.taken_ms = Clock().now_ms() - started_ms


@then('the answer grants it shard 1')
def check_granted(context: Context) -> None:
    rows = {(row.keys, row.token) for row in context.reply.ranges}
    assert rows == {(keys, TOKEN + 8) for keys in stripes(1)}, rows


@then('the answer grants it nothing, and comes within {limit_ms:d} ms')
def check_nothing(context: Context, limit_ms: int) -> None:
    assert context.reply.ranges == (), context.reply
    assert context.taken_ms < limit_ms, context.taken_ms
