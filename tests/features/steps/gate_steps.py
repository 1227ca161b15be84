"""Steps for requests at the admission gate of a node."""

import gc
import weakref
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import replace
from functools import partial
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.event import Event
from logbook import TestHandler

from laburnumwood.admission.rate_limiter import RateLimiter
from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.config.declarations import Declarations, Service
from laburnumwood.errors import LinkError
from laburnumwood.membership.directory import Directory
from laburnumwood.operators.capacity import CapacityAccount
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.meter import LoadMeter
from laburnumwood.protocol.messages import (
    Cancel,
    Chunk,
    End,
    Failure,
    WholeAnswer,
)
from laburnumwood.protocol.store_messages import ShardNotice
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import (
    NodeName,
    ShardName,
    ShardRecord,
    StoredObject,
)
from laburnumwood.resources.body_memory import BODY_MEMORY
from laburnumwood.routing.door_counters import DoorCounters
from laburnumwood.routing.exchange import (
    Exchange,
    local_pair,
    receive_body,
)
from laburnumwood.routing.gate import AdmissionGate, WorkerState
from laburnumwood.routing.pending_answer import PendingAnswer
from laburnumwood.routing.problems import make_failure
from laburnumwood.routing.read_ahead import ReadAhead
from laburnumwood.store.objects import shard_object_name, to_value
from tests.features.steps.fake_clock import FakeClock
from tests.features.steps.plain_work import PLAIN_WORK
from tests.ownership.world import node_settings

SHARD = ShardName('s', 3)
TOKEN = 8
SLOTS = 4
LIMIT_S = 5
LOSS_INTERVAL_MS = 50
CANCELLED_ID = 'left'
SETTINGS = node_settings('a')


class SimulatedChanges:
    """Advances the fake clock to the next event instead of waiting."""

    def __init__(self, clock: FakeClock) -> None:
        self._clock = clock
        self.events: dict[int, Callable[[], None]] = {}

    def wait(self, limit_ms: float) -> None:
        """Advance to the next event, but by no more than `limit_ms`."""
        now_ms = self._clock.now_ms()
        until_ms = min((*self.events, now_ms + round(limit_ms)))
        self._clock.pass_ms(until_ms - now_ms)
        self.events.pop(until_ms, _nothing)()


def _nothing() -> None:
    """Do nothing: the event only advances the clock."""


class DelayedGrants:
    """Grants that cover all shards after a delay."""

    def __init__(self, delay_ms: int, clock: FakeClock) -> None:
        self._clock = clock
        self._from_ms = clock.now_ms() + delay_ms
        self.changes = SimulatedChanges(clock)
        self.changes.events[self._from_ms] = _nothing

    def covers(self, _shard: ShardName, _token: int | None) -> bool:
        """Return whether the delay has passed."""
        return self._clock.now_ms() >= self._from_ms

    def next_grants_in_ms(self) -> int:
        """Return the time until the delay has passed."""
        return max(0, self._from_ms - self._clock.now_ms())


class AnsweringExecutor:
    """An executor that answers each request at once."""

    def execute(self, exchange: Exchange, _run: Any, _may_execute: Any) -> None:
        """Answer one request."""
        exchange.send(WholeAnswer(200, (), b''))


class FailingExecutor:
    """An executor that raises for each request."""

    def execute(
        self, _exchange: Exchange, _run: Any, _may_execute: Any
    ) -> None:
        """Raise an exception."""
        raise ValueError('an error of the gate')


class BlockingExecutor:
    """An executor that runs each request until the test ends."""

    def __init__(self) -> None:
        self.runs: list[str] = []

    def execute(self, _exchange: Exchange, run: Any, _may_execute: Any) -> None:
        """Run one request."""
        self.runs.append(run.work.request_id)
        eventlet.sleep(LIMIT_S)


class UnlimitedLease:
    """A lease that does not expire."""

    def expires_at_ms(self) -> int:
        """Return a time that is never reached."""
        return 1 << 62


class BlockedStream:
    """A stream whose messages are blocked until the test unblocks them."""

    def __init__(self) -> None:
        self.unblocked = Event()
        self.sending: list[Any] = []

    def set_message_handler(self, _handler: Callable[[], None] | None) -> None:
        """Do nothing: the requesting side sends no message."""

    def send(self, message: Any) -> None:
        """Send a message; returns once the test unblocks it."""
        self.sending.append(message)
        self.unblocked.wait()


@given('a gate whose answers are blocked on the way to the caller')
def make_gate_with_blocked_answers(context: Context) -> None:
    make_gate_with(context, 0, AnsweringExecutor())
    context.blocked_streams = []


def _send_blocked(context: Context, count: int) -> None:
    for number in range(count):
        remote_end: Any = BlockedStream()
        work = replace(
            PLAIN_WORK,
            request_id=f'slow-{number}',
            service=SHARD.service,
            shard=-1,
            key='',
            deadline_ms=LIMIT_S * MS_PER_SECOND,
            idempotent=True,
        )
        serving = eventlet.spawn(context.gate.serve, remote_end, work)
        context.add_cleanup(serving.kill)
        context.blocked_streams.append(remote_end)
        eventlet.sleep(0)


def _answered(context: Context) -> int:
    return sum(
        isinstance(message, WholeAnswer)
        for remote_end in context.blocked_streams
        for message in remote_end.sending
    )


@when('one more request arrives than its worker has slots')
def send_one_more(context: Context) -> None:
    _send_blocked(context, SLOTS + 1)


@then('the worker has answered all of them')
def check_all_answered(context: Context) -> None:
    assert _answered(context) == len(context.blocked_streams), _answered(
        context
    )


@then('the gate counts all of them until their answers are sent')
def check_counted(context: Context) -> None:
    assert context.gate.running == len(context.blocked_streams), (
        context.gate.running
    )
    for remote_end in context.blocked_streams:
        remote_end.unblocked.send()
    eventlet.sleep(0)
    eventlet.sleep(0)
    assert context.gate.running == 0, context.gate.running


@given('a gate whose worker receives its next grants in {span_ms:d} ms')
def make_gate(context: Context, span_ms: int) -> None:
    make_gate_with(context, span_ms, AnsweringExecutor())


@given('the gate raises an exception when it runs a request')
def make_failing_gate(context: Context) -> None:
    make_gate_with(context, 0, FailingExecutor())


def make_gate_with(context: Context, span_ms: int, executor: Any) -> None:
    clock = FakeClock()
    declarations = Declarations(services={'s': Service()})
    context.clock = clock
    context.directory = Directory()
    context.held_shards = HeldShards()
    context.held_shards.hold(SHARD, TOKEN)
    context.grants = DelayedGrants(span_ms, clock)
    gate: Any = AdmissionGate
    context.worker_instance = ('worker', 1)
    context.is_evacuated = False
    context.owners_serve_until_ms = 0
    context.gate = gate(
        SETTINGS,
        UnlimitedLease(),
        context.held_shards,
        context.grants,
        executor,
        lambda: declarations,
        context.directory,
        CapacityAccount(SETTINGS, lambda: declarations, clock),
        LoadMeter(1_500, clock),
        WorkerState(
            lambda: True,
            lambda: SLOTS,
            RateLimiter(clock),
            lambda _mean_slot_ms: None,
            lambda _mean_slot_ms: None,
            lambda _notice: None,
            lambda: context.worker_instance,
            lambda: context.is_evacuated,
            lambda: clock.now_ms() < context.owners_serve_until_ms,
        ),
        clock,
    )


@given('the failure domain of the gate is evacuated')
def evacuate_gate(context: Context) -> None:
    context.is_evacuated = True


@given('its owners still serve')
def let_owners_serve(context: Context, span_ms: int = 60_000) -> None:
    context.owners_serve_until_ms = context.clock.now_ms() + span_ms


@given('its owners serve for {span_ms:d} ms more')
def let_owners_serve_for(context: Context, span_ms: int) -> None:
    let_owners_serve(context, span_ms)


@given('the shard is closed after {span_ms:d} ms')
def close_shard(context: Context, span_ms: int) -> None:
    at_ms = context.clock.now_ms() + span_ms
    close = partial(context.held_shards.close, SHARD)
    context.grants.changes.events[at_ms] = close


@given('the gate knows that the shard has moved to "{owner}"')
def move_shard(context: Context, owner: str) -> None:
    context.held_shards.drop(SHARD)
    record = ShardRecord(TOKEN + 1, (NodeName.parse(owner),))
    stored = StoredObject(shard_object_name(SHARD), to_value(record), 7)
    context.directory.apply(stored)


@then('the first message was the shard record with owner "{owner}"')
def check_first_message(context: Context, owner: str) -> None:
    notice = context.answer
    assert isinstance(notice, ShardNotice), notice
    assert notice.shard == str(SHARD), notice
    assert notice.record.succession == (NodeName.parse(owner),), notice
    context.answer = context.local_end.receive(0)


@given('the gate is closed for a planned stop of its node')
def close_gate(context: Context) -> None:
    context.gate.close()


def _start_request(
    context: Context, request_id: str, *messages: Cancel
) -> Stream:
    local_end, remote_end = local_pair()
    for message in messages:
        local_end.send(message)
    work = replace(
        PLAIN_WORK,
        request_id=request_id,
        service=SHARD.service,
        shard=-1,
        deadline_ms=LIMIT_S * MS_PER_SECOND,
        idempotent=True,
    )
    serving = eventlet.spawn(context.gate.serve, remote_end, work)
    context.add_cleanup(serving.kill)
    eventlet.sleep(0)
    return local_end


@given('the gate runs as many requests as its worker has slots')
def fill_gate(context: Context) -> None:
    context.executor = BlockingExecutor()
    make_gate_with(context, 0, context.executor)
    for number in range(SLOTS):
        _start_request(context, f'running-{number}')
    assert len(context.executor.runs) == SLOTS, context.executor.runs


class _LosingExecutor(BlockingExecutor):
    """Finds the worker lost until requests are to block."""

    is_losing = True

    def execute(self, exchange: Exchange, run: Any, may_execute: Any) -> None:
        """Fail one request, or run it until the test ends."""
        if not self.is_losing:
            super().execute(exchange, run, may_execute)
            return
        exchange.send(Failure('worker-unreachable', False, 'it was lost'))


@given('a gate that has lost {count:d} answers of its worker')
def lose_answers(context: Context, count: int) -> None:
    context.executor = _LosingExecutor()
    make_gate_with(context, 0, context.executor)
    for number in range(count):
        context.clock.pass_ms(LOSS_INTERVAL_MS)
        _start_request(context, f'lost-{number}')
    context.executor.is_losing = False


@when('another instance of the worker has begun')
def begin_instance(context: Context) -> None:
    context.worker_instance = ('worker', 2)


@then('of {count:d} requests the gate runs {running:d} at once')
def check_runs(context: Context, count: int, running: int) -> None:
    before = len(context.executor.runs)
    for number in range(count):
        _start_request(context, f'new-{number}')
    found = len(context.executor.runs) - before
    assert found == running, found


@when('one more request arrives and its caller disconnects')
def disconnect_waiting(context: Context) -> None:
    local_end = _start_request(context, CANCELLED_ID)
    assert context.gate.waiting == 1, context.gate.waiting
    local_end.send(Cancel())
    eventlet.sleep(0)


def _capture_log(context: Context) -> None:
    context.log = TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)


@when('a request arrives that is already cancelled')
def send_cancelled(context: Context) -> None:
    _capture_log(context)
    _start_request(context, CANCELLED_ID, Cancel())


@then('the only event logged is "run-cancelled"')
def check_only_event(context: Context) -> None:
    events = [record.extra['event'] for record in context.log.records]
    assert events == ['run-cancelled'], events


@then('no request waits at the gate')
def check_none_waits(context: Context) -> None:
    assert context.gate.waiting == 0, context.gate.waiting


@then('the cancelled request did not run')
def check_cancelled_not_run(context: Context) -> None:
    assert CANCELLED_ID not in context.executor.runs, context.executor.runs


@when('a request without a shard arrives')
def send_unsharded(context: Context) -> None:
    send(context, PLAIN_WORK.deadline_ms, shard=-1)


@when('a request of rank {rank:d} arrives')
def send_ranked(context: Context, rank: int) -> None:
    _capture_log(context)
    send(context, PLAIN_WORK.deadline_ms, shard=-1, rank=rank)


@then('the event about it contains rank {rank:d}')
def check_rank(context: Context, rank: int) -> None:
    fields = [
        record.extra
        for record in context.log.records
        if record.extra['event'] == 'request-returned'
    ]
    assert [each['rank'] for each in fields] == [rank], fields


@when('a request arrives with {left_ms:d} ms to its deadline')
def send(
    context: Context,
    left_ms: int,
    shard: int = SHARD.number,
    rank: int = PLAIN_WORK.priority,
    body: bytes = b'',
    *,
    is_local: bool = False,
) -> None:
    local_end, remote_end = local_pair()
    work = replace(
        PLAIN_WORK,
        body=body,
        body_length=len(body),
        service=SHARD.service,
        shard=shard,
        key='1',
        deadline_ms=left_ms,
        idempotent=True,
        priority=rank,
    )
    started_ms = context.clock.now_ms()
    gate = context.gate
    (gate.serve_local if is_local else gate.serve)(remote_end, work)
    context.took_ms = context.clock.now_ms() - started_ms
    context.local_end = local_end
    context.answer = local_end.receive(left_ms)


@when('a request of {which} node arrives with a body of {size:d} bytes')
def send_body(context: Context, which: str, size: int) -> None:
    is_local = which == 'this'
    send(context, PLAIN_WORK.deadline_ms, body=bytes(size), is_local=is_local)


@when(
    'the gate receives {size:d} bytes announced with {announced:d} and ended '
    'with {ended:d}'
)
def receive_parts(
    context: Context, size: int, announced: int, ended: int
) -> None:
    near, far = local_pair()
    near.send(Chunk(bytes(size)))
    near.send(End(ended))
    work = replace(PLAIN_WORK, body_length=announced)
    context.body = b''
    with BODY_MEMORY.reserve() as reservation, suppress(LinkError):
        body = receive_body(far, work, LIMIT_S, FakeClock(), reservation)
        context.body = bytes(body)


@then('the announced body is {received}')
def check_received(context: Context, received: str) -> None:
    assert bool(context.body) == (received == 'whole'), len(context.body)


@when('an exchange inside one node has ended with a message unread')
def end_exchange(context: Context) -> None:
    gc.disable()
    context.add_cleanup(gc.enable)
    near, far = local_pair()
    far.send(Failure('fault', True, ''))
    near.close()
    context.refs = weakref.ref(near), weakref.ref(far)


@then('nothing of it is in memory')
def check_freed(context: Context) -> None:
    assert [ref() for ref in context.refs] == [None, None]


@then('it was answered by the worker after {span_ms:d} ms')
def check_answered(context: Context, span_ms: int) -> None:
    assert isinstance(context.answer, WholeAnswer), context.answer
    assert context.took_ms == span_ms, context.took_ms


@then('it was returned as "{kind}" at once')
def check_at_once(context: Context, kind: str) -> None:
    check_returned(context, kind, 0)


@then('it was returned as "{kind}" after {span_ms:d} ms')
def check_returned(context: Context, kind: str, span_ms: int) -> None:
    assert isinstance(context.answer, Failure), context.answer
    assert (context.answer.kind, context.answer.ran) == (kind, False)
    assert context.took_ms == span_ms, context.took_ms


@then('it failed at once with kind "fault" and may have run')
def check_failed(context: Context) -> None:
    assert isinstance(context.answer, Failure), context.answer
    assert (context.answer.kind, context.answer.ran) == ('fault', True)
    assert context.took_ms == 0, context.took_ms


@then('its caller may retry after {span_ms:d} ms')
def check_retry_after(context: Context, span_ms: int) -> None:
    assert context.answer.retry_after_ms == span_ms, context.answer


@when('{count:d} more requests of one key arrive within {span_ms:d} ms')
def send_more(context: Context, count: int, span_ms: int) -> None:
    for number in range(count):
        _start_request(context, f'more-{number}')
    context.clock.pass_ms(span_ms)


@when('the gate reports its load')
def report_load(context: Context) -> None:
    context.log = TestHandler()
    with context.log.applicationbound():
        context.gate.report_load()


@then(
    'it reported {busy:d} busy slots, {admitted:d} requests admitted '
    'and {shed:d} shed'
)
def check_load(context: Context, busy: int, admitted: int, shed: int) -> None:
    fields = context.log.records[-1].extra
    assert fields['event'] == 'gate-load', fields
    found = fields['busy'], fields['let_in'], fields['shed']
    assert found == (busy, admitted, shed), fields


def _check_summary(summary: dict[str, int], expected: str) -> None:
    pairs = (pair.split('=') for pair in expected.split(' '))
    wanted = {name: int(number) for name, number in pairs}
    assert wanted.items() <= summary.items(), summary


@then('of class "{name}" it reported {expected}')
def check_class_load(context: Context, name: str, expected: str) -> None:
    classes = context.log.records[-1].extra['classes']
    _check_summary(classes[name], expected)


@given('requests of rank {rank:d} with an objective of {span_ms:d} ms')
def make_ranked_work(context: Context, rank: int, span_ms: int) -> None:
    context.work = replace(PLAIN_WORK, priority=rank, objective_ms=span_ms)


@when(
    'a door answers them after {first:d}, {second:d}, {third:d} and '
    '{last:d} ms, and refuses {refused:d}'
)
def answer_at_door(context: Context, refused: int, **spans_ms: int) -> None:
    counters = DoorCounters()
    clock = FakeClock()
    answer = PendingAnswer(WholeAnswer(200, (), b''), local_pair()[0], 0, clock)
    for span_ms in spans_ms.values():
        counters.record(context.work, answer, span_ms)
    failure = make_failure('overloaded', '', ran=False)
    for _ in range(refused):
        counters.record(context.work, failure, 0)
    context.log = TestHandler()
    with context.log.applicationbound():
        counters.report()


@then('it reported {expected} of "{name}"')
def check_door_load(context: Context, expected: str, name: str) -> None:
    fields = context.log.records[-1].extra
    assert fields['event'] == 'door-load', fields
    _check_summary(fields['classes'][name], expected)


def _make_parts(context: Context, count: int, size: int) -> Iterator[bytes]:
    for number in range(count):
        context.parts_read = number + 1
        yield bytes([number]) * size


@given(
    'an answer of {count:d} parts of {size:d} bytes to a caller that does not '
    'read'
)
def read_ahead(context: Context, count: int, size: int) -> None:
    context.blocked = BlockedStream()
    context.parts_read = 0

    def forward() -> int:
        reader = ReadAhead(context.blocked)
        length = reader.read(_make_parts(context, count, size))
        reader.wait()
        reader.close()
        return length

    context.forwarding = eventlet.spawn(forward)


@then('{count:d} parts of it are read within {span_ms:d} ms')
def check_read_ahead(context: Context, count: int, span_ms: int) -> None:
    eventlet.sleep(span_ms / MS_PER_SECOND)
    # The next part is taken from the worker before there is room for it.
    assert context.parts_read == count, context.parts_read
    assert len(context.blocked.sending) == 1, len(context.blocked.sending)


@then('all {count:d} parts are sent in order once the caller reads')
def check_all_sent(context: Context, count: int) -> None:
    context.blocked.unblocked.send(None)
    with eventlet.Timeout(LIMIT_S):
        context.forwarding.wait()
    first_bytes = [chunk.content[0] for chunk in context.blocked.sending]
    assert first_bytes == list(range(count)), first_bytes
