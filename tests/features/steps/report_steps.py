"""Steps about the grants of a worker that reports."""

from behave import given, then, when
from behave.runner import Context

from laburnumwood.config.declarations import KeySource, Service
from laburnumwood.placement.holdings import HeldShards
from laburnumwood.placement.layout import key_ranges
from laburnumwood.records import KeyRange, ReleasedRange, ShardName
from laburnumwood.settings import ReportSettings
from laburnumwood.upstream.reporting import ReportingWorker
from laburnumwood.upstream.reports import (
    HeldRange,
    WorkerReport,
)
from tests.features.steps.fake_clock import FakeClock

SERVICE = Service(
    key=KeySource(source='header', name='Key'), shards=64, stripe_width=64
)
BORN_MS = 1_000


def shard(number: int) -> ShardName:
    """Return the name of a shard of the service."""
    return ShardName('keyed', number)


def stripes(number: int) -> tuple[KeyRange, ...]:
    """Return the keys of a shard."""
    return key_ranges(number, None, SERVICE)


class FakeHolder:
    """Holdings with a lease that ends at a moment."""

    def __init__(self) -> None:
        self.held_shards = HeldShards()
        self.lease_until_ms = 0

    def tokens(self) -> dict[ShardName, int]:
        """Return the shards held, with their tokens."""
        return self.held_shards.tokens()

    def until_ms(self) -> int:
        """Return until when the node may act."""
        return self.lease_until_ms

    def close(self, name: ShardName) -> None:
        """Let no more requests in to a shard."""
        self.held_shards.close(name)

    def require_higher_token(self, name: ShardName) -> None:
        """Ask for a higher token."""
        self.held_shards.invalidate_token(name)

    def stripes(self, name: ShardName) -> tuple[KeyRange, ...]:
        """Return the keys of a shard."""
        return stripes(name.number)

    def handovers(self, name: ShardName) -> tuple[str, ...]:
        """Return nothing: every shard comes cold."""
        return ()


def _make(context: Context, settings: ReportSettings, lease_ms: int) -> None:
    context.clock = FakeClock()
    context.holder = FakeHolder()
    context.lease_ms = lease_ms
    context.worker = ReportingWorker(settings, context.clock)
    context.worker.attach(context.holder)
    context.number = 0
    context.life = BORN_MS
    _renew(context)


def _renew(context: Context) -> None:
    context.holder.lease_until_ms = context.clock.now_ms() + context.lease_ms


@given('a node that holds the shards 1 and 2 for {span:d} ms')
def make_node(context: Context, span: int) -> None:
    _make(context, ReportSettings(), span)
    for number in (1, 2):
        context.holder.held_shards.hold(shard(number), 8)


@given('a node that holds no shard')
def make_empty(context: Context) -> None:
    _make(context, ReportSettings(), 0)


@given('answers of at most {size:d} bytes')
def limit_answers(context: Context, size: int) -> None:
    _make(context, ReportSettings(most_bytes=size), context.lease_ms)
    for number in (1, 2):
        context.holder.held_shards.hold(shard(number), 8)


def _report(
    context: Context,
    *,
    held: tuple[HeldRange, ...] = (),
    released: tuple[ReleasedRange, ...] = (),
    leaves: bool = False,
) -> None:
    context.number += 1
    context.last = WorkerReport(
        worker_id=f'worker-{context.life}',
        service='keyed',
        started_ms=context.life,
        sequence_number=context.number,
        slots=18,
        is_leaving=leaves,
        held=held,
        released=released,
    )
    context.reply = context.worker.handle_report(context.last)


@when('the worker reports')
def report(context: Context) -> None:
    if context.holder.lease_until_ms > context.clock.now_ms():
        _renew(context)
    _report(context)


@when('the worker reports that it holds shard {number:d}')
def report_held(context: Context, number: int) -> None:
    held = tuple(HeldRange(keys, 8) for keys in stripes(number))
    _report(context, held=held)


@when('the worker reports that it works on one key of shard {number:d}')
def report_one_key(context: Context, number: int) -> None:
    last = stripes(number)[0].last
    _report(context, held=(HeldRange(KeyRange(last, last), 8),))


@when('the lease is cut to {span:d} ms')
def cut_lease(context: Context, span: int) -> None:
    context.lease_ms = span


@when('the worker reports that it has released shard {number:d}')
def report_released(context: Context, number: int) -> None:
    gone = tuple(ReleasedRange(keys, 'left') for keys in stripes(number))
    _report(context, released=gone)


@when('another node tells what its worker left of shard {number:d}')
def add_remote_handovers(context: Context, number: int) -> None:
    context.worker.add_remote_handovers(
        ReleasedRange(keys, 'left there') for keys in stripes(number)
    )


@then('shard {number:d} is given with what was left there, shard {cold:d} not')
def check_given_left(context: Context, number: int, cold: int) -> None:
    left = {row.keys: row.handover for row in context.reply.ranges}
    assert {left[keys] for keys in stripes(number)} == {'left there'}, left
    assert {left[keys] for keys in stripes(cold)} == {''}, left


@when('the worker reports that it leaves')
def report_leaving(context: Context) -> None:
    _report(context, leaves=True)


@when('the worker signs off')
def deregister(context: Context) -> None:
    context.worker.presence.deregister(f'worker-{context.life}')


@when('a report of an earlier life comes')
def report_earlier(context: Context) -> None:
    life, context.life = context.life, context.life - 1
    _report(context)
    context.life = life


@when('the last report comes once more')
def report_again(context: Context) -> None:
    context.reply = context.worker.handle_report(context.last)


@when('another life of the worker reports')
def report_new_life(context: Context) -> None:
    context.life += 1
    context.number = 0
    _report(context)


@when('the lease of the node runs out')
def end_lease(context: Context) -> None:
    context.clock.pass_ms(context.lease_ms)


@when('{span:d} ms pass')
def let_pass(context: Context, span: int) -> None:
    context.clock.pass_ms(span)


@when('the shard {number:d} is withdrawn')
def withdraw(context: Context, number: int) -> None:
    context.worker.withdraw(shard(number))


@when('the shard {number:d} is restored')
def restore(context: Context, number: int) -> None:
    context.worker.restore(shard(number))


@when('the node holds both under higher tokens')
def raise_tokens(context: Context) -> None:
    for number in (1, 2):
        context.holder.held_shards.hold(shard(number), 16)


@when('the node holds the shard {number:d} too')
def hold_more(context: Context, number: int) -> None:
    context.holder.held_shards.hold(shard(number), 8)


@then('it is to hold the shards "{numbers}" for {span:d} ms')
def check_grant(context: Context, numbers: str, span: int) -> None:
    _check_shards(context, numbers)
    assert context.reply.duration_ms == span, context.reply.duration_ms


@then('it is to hold the shards ""')
def check_nothing(context: Context) -> None:
    _check_shards(context, '')


def _check_shards(context: Context, numbers: str) -> None:
    wanted = {
        keys for number in numbers.split() for keys in stripes(int(number))
    }
    found = {each.keys for each in context.reply.ranges}
    assert found == wanted, found ^ wanted


@then('nothing is renewed')
def check_not_renewed(context: Context) -> None:
    assert context.reply.ranges is None, context.reply


@then('the shard {number:d} is covered')
@then('the shard {number:d} is still covered')
def check_covered(context: Context, number: int) -> None:
    assert context.worker.covers(shard(number), 8)
    assert not context.worker.covers(shard(number), 7)


@then('the shards "{numbers}" need higher tokens')
def check_spent(context: Context, numbers: str) -> None:
    for number in numbers.split():
        assert context.holder.held_shards.needs_new_token(shard(int(number)))


@then('the shard {number:d} lets no more requests in')
def check_closed(context: Context, number: int) -> None:
    assert context.holder.held_shards.acquire(shard(number)) is None
    assert not context.worker.covers(shard(number), 8)


@then('the shard {number:d} is not released yet')
def check_not_released(context: Context, number: int) -> None:
    assert not context.worker.is_released(shard(number))


@then('the shard {number:d} is released')
def check_released(context: Context, number: int) -> None:
    assert context.worker.is_released(shard(number))


@then('the shard {number:d} is released with what it left')
def check_left(context: Context, number: int) -> None:
    check_released(context, number)
    left = context.worker.handovers(shard(number))
    assert left == ('left',) * len(stripes(number)), left


@then('it may be sent work')
def check_may(context: Context) -> None:
    assert context.worker.presence.may_start()


@then('it may not be sent work')
def check_may_not(context: Context) -> None:
    assert not context.worker.presence.may_start()


@then('it is not known to hold nothing')
def check_not_clear(context: Context) -> None:
    assert not context.worker.has_released_all


@then('it is known to hold nothing')
def check_clear(context: Context) -> None:
    assert context.worker.has_released_all


@then('its next grants are expected in {span:d} ms')
def check_expected(context: Context, span: int) -> None:
    assert context.worker.next_grants_in_ms() == span
