"""Steps about requests that wait at the gate for a grant of their shard."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.event import Event
from logbook import TestHandler

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.config.declarations import Declarations, Service
from laburnumwood.membership.directory import Directory
from laburnumwood.operators.capacity import CapacityAccount
from laburnumwood.placement.holdings import HeldShards
from laburnumwood.placement.meter import LoadMeter
from laburnumwood.protocol.messages import (
    Cancel,
    Failure,
    ShardNotice,
    WholeAnswer,
)
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import (
    NodeName,
    ShardName,
    ShardRecord,
    StoredObject,
)
from laburnumwood.routing.exchange import Exchange, local_pair
from laburnumwood.routing.gate import AdmissionGate, WorkerState
from laburnumwood.store.objects import shard_object, to_value
from tests.features.steps.fake_clock import FakeClock
from tests.features.steps.plain_work import PLAIN_WORK
from tests.ownership.world import node_settings

SHARD = ShardName('s', 3)
TOKEN = 8
SLOTS = 4
LIMIT_S = 5
LEFT = 'left'
SETTINGS = node_settings('a')


class PlayedNews:
    """Lets the time of the test go on to the next event instead of waiting."""

    def __init__(self, clock: FakeClock) -> None:
        self._clock = clock
        self.events: dict[int, Callable[[], None]] = {}

    def wait(self, limit_ms: float) -> None:
        """Go on to the next event, or by a time if there is none before."""
        now_ms = self._clock.now_ms()
        until_ms = min((*self.events, now_ms + round(limit_ms)))
        self._clock.pass_ms(until_ms - now_ms)
        self.events.pop(until_ms, _nothing)()


def _nothing() -> None:
    """Do nothing when a time is over."""


class LateGrants:
    """Grants that cover everything after some time."""

    def __init__(self, in_ms: int, clock: FakeClock) -> None:
        self._clock = clock
        self._from_ms = clock.now_ms() + in_ms
        self.changes = PlayedNews(clock)
        self.changes.events[self._from_ms] = _nothing

    def covers(self, _shard: ShardName, _token: int | None) -> bool:
        """Tell whether the time has come."""
        return self._clock.now_ms() >= self._from_ms

    def next_grants_in_ms(self) -> int:
        """Return how much time is left."""
        return max(0, self._from_ms - self._clock.now_ms())


class Answering:
    """Answers each request at once in the place of a worker."""

    def execute(self, exchange: Exchange, _run: Any, _may_act: Any) -> None:
        """Answer one request."""
        exchange.send(WholeAnswer(200, (), b''))


class Failing:
    """Meets a fault with each request."""

    def execute(self, _exchange: Exchange, _run: Any, _may_act: Any) -> None:
        """Fail."""
        raise ValueError('a fault of the gate')


class Holding:
    """Runs each request until the test is over."""

    def __init__(self) -> None:
        self.runs: list[str] = []

    def execute(self, _exchange: Exchange, run: Any, _may_act: Any) -> None:
        """Run one request."""
        self.runs.append(run.work.request_id)
        eventlet.sleep(LIMIT_S)


class HeldLease:
    """A lease that is held."""

    def expires_at_ms(self) -> int:
        """Return a time that never comes."""
        return 1 << 62


class SlowLink:
    """A stream on which answers leave when the test says so."""

    def __init__(self) -> None:
        self.leaves = Event()
        self.begun: list[Any] = []

    def set_message_handler(self, _act: Callable[[], None] | None) -> None:
        """Hear of nothing: the asking side waits."""

    def send(self, message: Any) -> None:
        """Send a message; it takes until the test says so."""
        self.begun.append(message)
        self.leaves.wait()


@given('a gate whose answers leave when the test says so')
def make_slow_gate(context: Context) -> None:
    make_gate_with(context, 0, Answering())
    context.slow = []


def _send_slowly(context: Context, count: int) -> None:
    for number in range(count):
        far: Any = SlowLink()
        work = replace(
            PLAIN_WORK,
            request_id=f'slow-{number}',
            service=SHARD.service,
            shard=-1,
            key='',
            deadline_ms=LIMIT_S * MS_PER_SECOND,
            idempotent=True,
        )
        serving = eventlet.spawn(context.gate.serve, far, work)
        context.add_cleanup(serving.kill)
        context.slow.append(far)
        eventlet.sleep(0)


def _answered(context: Context) -> int:
    return sum(
        isinstance(message, WholeAnswer)
        for far in context.slow
        for message in far.begun
    )


@when('as many requests come as its worker takes, and one more')
def send_one_more(context: Context) -> None:
    _send_slowly(context, SLOTS + 1)


@then('all of them were answered by the worker')
def check_all_answered(context: Context) -> None:
    assert _answered(context) == len(context.slow), _answered(context)


@then('the gate counts all of them until their answers have left')
def check_counted(context: Context) -> None:
    assert context.gate.running == len(context.slow), context.gate.running
    for far in context.slow:
        far.leaves.send()
    eventlet.sleep(0)
    eventlet.sleep(0)
    assert context.gate.running == 0, context.gate.running


@given('a gate whose worker gets its next grants in {span:d} ms')
def make_gate(context: Context, span: int) -> None:
    make_gate_with(context, span, Answering())


@given('the gate meets a fault when it runs a request')
def make_failing_gate(context: Context) -> None:
    make_gate_with(context, 0, Failing())


def make_gate_with(context: Context, span: int, executor: Any) -> None:
    clock = FakeClock()
    declared = Declarations(services={'s': Service()})
    context.clock = clock
    context.directory = Directory()
    context.held_shards = HeldShards()
    context.held_shards.hold(SHARD, TOKEN)
    context.grants = LateGrants(span, clock)
    gate: Any = AdmissionGate
    context.gate = gate(
        SETTINGS,
        HeldLease(),
        context.held_shards,
        context.grants,
        executor,
        lambda: declared.services,
        context.directory,
        CapacityAccount(SETTINGS, lambda: declared, clock),
        LoadMeter(1_500, clock),
        WorkerState(lambda: True, lambda: SLOTS),
        clock,
    )


@given('the shard is closed after {span:d} ms')
def close_shard(context: Context, span: int) -> None:
    at_ms = context.clock.now_ms() + span
    close = partial(context.held_shards.close, SHARD)
    context.grants.changes.events[at_ms] = close


@given('the gate knows that the shard has moved to "{owner}"')
def move_shard(context: Context, owner: str) -> None:
    context.held_shards.drop(SHARD)
    record = ShardRecord(TOKEN + 1, (NodeName.parse(owner),))
    stored = StoredObject(shard_object(SHARD), to_value(record), 7)
    context.directory.apply(stored)


@then('it was told first that "{owner}" owns the shard')
def check_owner(context: Context, owner: str) -> None:
    notice = context.told
    assert isinstance(notice, ShardNotice), notice
    assert notice.shard == str(SHARD), notice
    assert notice.record.succession == (NodeName.parse(owner),), notice
    context.told = context.near.receive(0)


@given('the gate is closed for the end of its node')
def close_gate(context: Context) -> None:
    context.gate.close()


def _begin(context: Context, request_id: str, *first: Cancel) -> Stream:
    near, far = local_pair()
    for message in first:
        near.send(message)
    work = replace(
        PLAIN_WORK,
        request_id=request_id,
        service=SHARD.service,
        shard=-1,
        deadline_ms=LIMIT_S * MS_PER_SECOND,
        idempotent=True,
    )
    serving = eventlet.spawn(context.gate.serve, far, work)
    context.add_cleanup(serving.kill)
    eventlet.sleep(0)
    return near


@given('the gate runs as many requests as its worker takes')
def fill_gate(context: Context) -> None:
    context.executor = Holding()
    make_gate_with(context, 0, context.executor)
    for number in range(SLOTS):
        _begin(context, f'running-{number}')
    assert len(context.executor.runs) == SLOTS, context.executor.runs


@when('one more request comes and its caller leaves')
def leave_queue(context: Context) -> None:
    near = _begin(context, LEFT)
    assert context.gate.waiting == 1, context.gate.waiting
    near.send(Cancel())
    eventlet.sleep(0)


def _keep_log(context: Context) -> None:
    context.log = TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)


@when('a request comes after it was cancelled')
def come_cancelled(context: Context) -> None:
    _keep_log(context)
    _begin(context, LEFT, Cancel())


@then('nothing is told but that it was cancelled')
def check_told(context: Context) -> None:
    events = [record.extra['event'] for record in context.log.records]
    assert events == ['run-cancelled'], events


@then('no request waits at the gate')
def check_none_waits(context: Context) -> None:
    assert context.gate.waiting == 0, context.gate.waiting


@then('the request that left did not run')
def check_left(context: Context) -> None:
    assert LEFT not in context.executor.runs, context.executor.runs


@when('a request for no shard comes')
def send_unsharded(context: Context) -> None:
    send(context, PLAIN_WORK.deadline_ms, shard=-1)


@when('a request of rank {rank:d} comes')
def send_ranked(context: Context, rank: int) -> None:
    _keep_log(context)
    send(context, PLAIN_WORK.deadline_ms, shard=-1, rank=rank)


@then('the line about it tells rank {rank:d}')
def check_rank(context: Context, rank: int) -> None:
    told = [
        record.extra
        for record in context.log.records
        if record.extra['event'] == 'request-returned'
    ]
    assert [each['rank'] for each in told] == [rank], told


@when('a request with {left:d} ms left comes')
def send(
    context: Context,
    left: int,
    shard: int = SHARD.number,
    rank: int = PLAIN_WORK.priority,
) -> None:
    near, far = local_pair()
    work = replace(
        PLAIN_WORK,
        service=SHARD.service,
        shard=shard,
        key='1',
        deadline_ms=left,
        idempotent=True,
        priority=rank,
    )
    began_ms = context.clock.now_ms()
    context.gate.serve(far, work)
    context.took_ms = context.clock.now_ms() - began_ms
    context.near = near
    context.told = near.receive(left)


@then('it was answered by the worker after {span:d} ms')
def check_answered(context: Context, span: int) -> None:
    assert isinstance(context.told, WholeAnswer), context.told
    assert context.took_ms == span, context.took_ms


@then('it was returned as "{kind}" at once')
def check_at_once(context: Context, kind: str) -> None:
    check_returned(context, kind, 0)


@then('it was returned as "{kind}" after {span:d} ms')
def check_returned(context: Context, kind: str, span: int) -> None:
    assert isinstance(context.told, Failure), context.told
    assert (context.told.kind, context.told.ran) == (kind, False)
    assert context.took_ms == span, context.took_ms


@then('it was answered with a fault at once, as one that may have run')
def check_fault(context: Context) -> None:
    assert isinstance(context.told, Failure), context.told
    assert (context.told.kind, context.told.ran) == ('fault', True)
    assert context.took_ms == 0, context.took_ms


@then('its caller is told to come again after {span:d} ms')
def check_again(context: Context, span: int) -> None:
    assert context.told.retry_after_ms == span, context.told


@when('{count:d} more requests of one key come within {span:d} ms')
def come_more(context: Context, count: int, span: int) -> None:
    for number in range(count):
        _begin(context, f'more-{number}')
    context.clock.pass_ms(span)


@when('the gate tells its load')
def tell_load(context: Context) -> None:
    context.log = TestHandler()
    with context.log.applicationbound():
        context.gate.report_load()


@then(
    'it told of {busy:d} busy slots, {let_in:d} requests let in '
    'and {shed:d} sent away'
)
def check_load(context: Context, busy: int, let_in: int, shed: int) -> None:
    told = context.log.records[-1].extra
    assert told['event'] == 'gate-load', told
    found = told['busy'], told['let_in'], told['shed']
    assert found == (busy, let_in, shed), told
