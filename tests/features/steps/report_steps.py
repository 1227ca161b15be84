"""Steps about the grants of a reporting worker."""

from collections.abc import Iterable
from dataclasses import replace
from http import HTTPStatus

from behave import given, then, when
from behave.runner import Context
from cbor2 import dumps
from eventlet.green.http.client import HTTPConnection

from bench.deployment import HOST, free_port
from laburnumwood.clock import Clock
from laburnumwood.config.declarations import KeySource, Service
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.layout import key_ranges
from laburnumwood.platform.reports import ReportEndpoint, encode_reply
from laburnumwood.records import KeyRange, ReleasedRange, ShardName
from laburnumwood.routing.server import HttpListener
from laburnumwood.settings import ReportSettings
from laburnumwood.upstream.grant_rows import encoded_size
from laburnumwood.upstream.reporting_worker import ReportingWorker
from laburnumwood.upstream.reports import (
    GrantReply,
    HeldRange,
    WorkerReport,
)
from laburnumwood.upstream.running_time import CHECK_INTERVAL_MS
from tests.features.steps.fake_clock import FakeClock
from tests.ownership.world import node_settings

SERVICE = Service(
    key=KeySource(source='header', name='Key'), shards=64, stripe_width=64
)
STARTED_MS = 10_000
REPORT_INTERVAL_MS = 500
SPLIT_SHARD = ShardName('keyed', 1_000_000)


def shard(number: int) -> ShardName:
    """Return the name of a shard of the service."""
    return ShardName('keyed', number)


def stripes(number: int) -> tuple[KeyRange, ...]:
    """Return the key ranges of a shard."""
    return key_ranges(number, None, SERVICE)


class FakeGrantSource:
    """A source of grants with a lease that expires at a given time."""

    def __init__(self) -> None:
        self.held_shards = HeldShards()
        self.lease_until_ms = 0
        self.split_keys = KeyRange(0, 0)

    def tokens(self) -> dict[ShardName, int]:
        """Return the shards held, with their tokens."""
        return self.held_shards.tokens()

    def until_ms(self) -> int:
        """Return the time until which the node's lease is valid."""
        return self.lease_until_ms

    def close(self, name: ShardName) -> None:
        """Stop admitting requests to a shard."""
        self.held_shards.close(name)

    def require_token(self, name: ShardName, least: int) -> None:
        """Request a token that is at least as high as a given one."""
        self.held_shards.require_token(name, least)

    def stripes(self, name: ShardName) -> tuple[KeyRange, ...]:
        """Return the key ranges of a shard."""
        if name == SPLIT_SHARD:
            return (self.split_keys,)
        return stripes(name.number)

    def handovers(self, name: ShardName) -> tuple[str, ...]:
        """Return no handovers."""
        return ()


def _make(context: Context, settings: ReportSettings, lease_ms: int) -> None:
    context.clock = FakeClock()
    context.source = FakeGrantSource()
    context.lease_ms = lease_ms
    context.worker = ReportingWorker(settings, context.clock)
    context.worker.attach(context.source)
    context.number = 0
    context.instance = STARTED_MS
    _renew(context)


def _renew(context: Context) -> None:
    context.source.lease_until_ms = context.clock.now_ms() + context.lease_ms


@given('a node that holds shards 1 and 2 for {span:d} ms')
def make_node(context: Context, span: int) -> None:
    _make(context, ReportSettings(), span)
    for number in (1, 2):
        context.source.held_shards.hold(shard(number), 8)


@given('a node that holds no shard')
def make_node_without_shards(context: Context) -> None:
    _make(context, ReportSettings(), 0)


@given('a node that holds shard {number:d} under token {token:d}')
def make_node_with_token(context: Context, number: int, token: int) -> None:
    _make(context, ReportSettings(), context.lease_ms)
    hold_under_token(context, number, token)


@given('replies of at most {size:d} bytes, and shards {first:d} and {second:d}')
def limit_replies(context: Context, size: int, first: int, second: int) -> None:
    _make(context, ReportSettings(most_bytes=size), context.lease_ms)
    for number in (first, second):
        context.source.held_shards.hold(shard(number), 8)


def _report(
    context: Context,
    *,
    held: tuple[HeldRange, ...] = (),
    released: tuple[ReleasedRange, ...] = (),
    is_leaving: bool = False,
) -> None:
    context.number += 1
    context.last = WorkerReport(
        worker_id=f'worker-{context.instance}',
        service='keyed',
        started_ms=context.instance,
        sequence_number=context.number,
        slots=18,
        is_leaving=is_leaving,
        held=held,
        released=released,
        follows_answer=context.number > 1,
    )
    context.reply = context.worker.handle_report(context.last)


@when('the worker reports')
def report(context: Context) -> None:
    if context.source.lease_until_ms > context.clock.now_ms():
        _renew(context)
    _report(context)


@when('the worker reports that it holds shard {number:d}')
def report_held(context: Context, number: int) -> None:
    held = tuple(HeldRange(keys, 8) for keys in stripes(number))
    _report(context, held=held)


@when(
    'the worker reports that it holds shard {number:d} before the node has '
    'joined'
)
def report_held_unattached(context: Context, number: int) -> None:
    context.worker.attach(None)
    report_held(context, number)
    context.worker.attach(context.source)


@when('an earlier instance reports late that it holds shard {number:d}')
def report_held_late(context: Context, number: int) -> None:
    _report(context)
    instance, context.instance = context.instance, context.instance - 1
    report_held(context, number)
    context.instance = instance


@when('the worker reports that it still processes one key of shard {number:d}')
def report_one_key(context: Context, number: int) -> None:
    last = stripes(number)[0].last
    _report(context, held=(HeldRange(KeyRange(last, last), 8),))


@when('the lease is shortened to {span:d} ms')
def shorten_lease(context: Context, span: int) -> None:
    context.lease_ms = span


@when('the worker reports that it has released shard {number:d}')
def report_released(context: Context, number: int) -> None:
    released = tuple(ReleasedRange(keys, 'left') for keys in stripes(number))
    _report(context, released=released)


@when('another node announces the handovers of its worker for shard {number:d}')
def add_remote_handovers(context: Context, number: int) -> None:
    context.worker.add_remote_handovers(
        ReleasedRange(keys, 'left there') for keys in stripes(number)
    )


@then(
    'shard {number:d} is granted with these handovers and shard {without:d} '
    'without any'
)
def check_granted_handovers(
    context: Context, number: int, without: int
) -> None:
    handovers = {row.keys: row.handover for row in context.reply.ranges}
    assert {handovers[keys] for keys in stripes(number)} == {'left there'}, (
        handovers
    )
    assert {handovers[keys] for keys in stripes(without)} == {''}, handovers


@when('the worker reports that it is leaving')
def report_leaving(context: Context) -> None:
    _report(context, is_leaving=True)


@given("the node's endpoint for reports")
def open_endpoint(context: Context) -> None:
    _make(context, ReportSettings(), 0)
    context.port = free_port()
    settings = node_settings('a').model_copy(update={'service': 'keyed'})
    HttpListener(
        (HOST, context.port),
        ReportEndpoint(settings, context.worker, context.clock),
        Clock(),
    )


def _post_report(link: HTTPConnection, number: int) -> None:
    content = {
        'service': 'keyed',
        'slots': 18,
        'state': 'ready',
        'seq': number,
        'born': STARTED_MS,
        'holds': [],
    }
    link.request('POST', '/Instances.Heartbeat/w', dumps(content))
    answer = link.getresponse()
    answer.read()
    assert answer.status == HTTPStatus.OK, answer.status


@when('two reports without keys arrive there {how}')
def post_reports(context: Context, how: str) -> None:
    links = [HTTPConnection(HOST, context.port) for _ in range(2)]
    if how == 'on one connection':
        links[1] = links[0]
    for number, link in enumerate(links):
        _post_report(link, number)


@when('the worker deregisters')
def deregister(context: Context) -> None:
    context.worker.presence.deregister(f'worker-{context.instance}')


@when('the worker starts again under its id and reports')
def report_same_id(context: Context) -> None:
    context.last = replace(context.last, started_ms=context.clock.wall_ms() + 1)
    context.worker.handle_report(context.last)


@when('a report of an earlier instance arrives')
def report_earlier(context: Context) -> None:
    instance, context.instance = context.instance, context.instance - 1
    _report(context)
    context.instance = instance


@when('the last report arrives again')
def repeat_last_report(context: Context) -> None:
    context.reply = context.worker.handle_report(context.last)


@when('{count:d} reports of an earlier instance arrive')
def report_earlier_often(context: Context, count: int) -> None:
    for _ in range(count):
        report_earlier(context)


@when('the worker starts again by a clock that is {behind:d} ms behind')
def start_by_late_clock(context: Context, behind: int) -> None:
    context.instance_before = context.instance, context.number
    context.instance -= behind
    context.number = 0


@when('a report of the instance before arrives')
def report_instance_before(context: Context) -> None:
    current = context.instance, context.number
    context.instance, context.number = context.instance_before
    _report(context)
    context.instance, context.number = current


@when('the worker reports for {span:d} ms')
def report_for(context: Context, span: int) -> None:
    for _ in range(span // REPORT_INTERVAL_MS):
        context.clock.pass_ms(REPORT_INTERVAL_MS)
        _renew(context)
        _report(context)


@when('a new instance of the worker reports')
def report_new_instance(context: Context) -> None:
    context.instance += 1
    context.number = 0
    _report(context)


@when('the lease of the node expires')
def expire_lease(context: Context) -> None:
    context.clock.pass_ms(context.lease_ms)


@when('{span:d} ms pass')
def pass_time(context: Context, span: int) -> None:
    context.clock.pass_ms(span)


@when('the node checks its worker for {span:d} ms')
def check_worker(context: Context, span: int) -> None:
    for _ in range(span // CHECK_INTERVAL_MS):
        context.worker.presence.check_silence()
        context.clock.pass_ms(CHECK_INTERVAL_MS)


@when('shard {number:d} is withdrawn')
def withdraw(context: Context, number: int) -> None:
    context.worker.withdraw(shard(number))


@when('shard {number:d} is restored')
def restore(context: Context, number: int) -> None:
    context.worker.restore(shard(number))


@when('the node holds both shards with higher tokens')
def raise_tokens(context: Context) -> None:
    for number in (1, 2):
        context.source.held_shards.hold(shard(number), 16)


@when('the node holds shard {number:d} under token {token:d}')
def hold_under_token(context: Context, number: int, token: int) -> None:
    context.source.held_shards.hold(shard(number), token)


@when(
    'the node holds another shard with the first key of shard {number:d} '
    'under token {token:d}'
)
def hold_split_shard(context: Context, number: int, token: int) -> None:
    key = stripes(number)[0].first
    context.source.split_keys = KeyRange(key, key)
    hold_split_shard_higher(context, token)


@when('the node holds the other shard under token {token:d}')
def hold_split_shard_higher(context: Context, token: int) -> None:
    context.source.held_shards.hold(SPLIT_SHARD, token)


@then('the other shard needs a higher token')
def check_split_shard_needs_token(context: Context) -> None:
    assert context.source.held_shards.needs_new_token(SPLIT_SHARD)


@then('it is granted the first key of shard {number:d} under token {token:d}')
def check_key_granted(context: Context, number: int, token: int) -> None:
    key = stripes(number)[0].first
    rows = [(row.keys, row.token) for row in context.reply.ranges]
    assert rows == [(KeyRange(key, key), token)], rows


@when('the node also holds shard {number:d}')
def hold_another(context: Context, number: int) -> None:
    context.source.held_shards.hold(shard(number), 8)


@then('it is granted the shards "{numbers}" for {span:d} ms')
def check_grant(context: Context, numbers: str, span: int) -> None:
    _check_shards(context, numbers)
    assert context.reply.duration_ms == span, context.reply.duration_ms


@then('it is granted the shards ""')
def check_nothing_granted(context: Context) -> None:
    _check_shards(context, '')


def _check_shards(context: Context, numbers: str) -> None:
    wanted = _all_keys(
        keys for number in numbers.split() for keys in stripes(int(number))
    )
    found = _all_keys(each.keys for each in context.reply.ranges)
    assert found == wanted, found ^ wanted


def _all_keys(ranges: Iterable[KeyRange]) -> set[int]:
    keys: set[int] = set()
    for each in ranges:
        added = set(range(each.first, each.last + 1))
        assert keys.isdisjoint(added), each
        keys |= added
    return keys


@then('the reply has {count:d} rows')
def check_row_count(context: Context, count: int) -> None:
    assert len(context.reply.ranges) == count, context.reply


@then('the rows take {size:d} bytes, as they are encoded')
def check_encoded_size(context: Context, size: int) -> None:
    rows = context.reply.ranges
    counted = encoded_size(rows)
    encoded = len(encode_reply(context.reply)) - len(encode_reply(GrantReply()))
    assert counted == size, counted
    assert counted <= encoded <= counted + 40, encoded


@then('no grant is renewed')
def check_not_renewed(context: Context) -> None:
    assert context.reply.ranges is None, context.reply


@then('shard {number:d} is covered by a grant')
@then('shard {number:d} is still covered by a grant')
def check_covered(context: Context, number: int) -> None:
    assert context.worker.covers(shard(number), 8)
    assert not context.worker.covers(shard(number), 7)


@then('the shards "{numbers}" need higher tokens')
def check_higher_tokens_needed(context: Context, numbers: str) -> None:
    for number in numbers.split():
        assert context.source.held_shards.needs_new_token(shard(int(number)))


@then('shard {number:d} admits no more requests')
def check_closed(context: Context, number: int) -> None:
    assert context.source.held_shards.acquire(shard(number)) is None
    assert not context.worker.covers(shard(number), 8)


@then('shard {number:d} admits requests')
def check_open(context: Context, number: int) -> None:
    assert context.source.held_shards.is_open(shard(number))


@then('shard {number:d} is not released yet')
def check_not_released(context: Context, number: int) -> None:
    assert not context.worker.is_released(shard(number))


@then('shard {number:d} is released')
def check_released(context: Context, number: int) -> None:
    assert context.worker.is_released(shard(number))


@then('shard {number:d} is released with its handovers')
def check_released_with_handovers(context: Context, number: int) -> None:
    check_released(context, number)
    handovers = context.worker.handovers(shard(number))
    assert handovers == ('left',) * len(stripes(number)), handovers


@then('it may be sent requests')
def check_accepts_requests(context: Context) -> None:
    assert context.worker.presence.accepts_requests()


@then('it may not be sent requests')
def check_accepts_no_requests(context: Context) -> None:
    assert not context.worker.presence.accepts_requests()


@then('it may still hold keys')
def check_may_hold_keys(context: Context) -> None:
    assert not context.worker.has_released_all


@then('it has released all keys')
def check_released_all(context: Context) -> None:
    assert context.worker.has_released_all


@then('its next grants are expected in {span:d} ms')
def check_expected(context: Context, span: int) -> None:
    assert context.worker.next_grants_in_ms() == span
