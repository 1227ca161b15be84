"""Steps about the end of an incarnation whose worker holds shards."""

from types import SimpleNamespace
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from laburnumwood.daemon.incarnation import Incarnation
from laburnumwood.daemon.node import Node
from laburnumwood.integration import INTEGRATIONS
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.node_records import join
from laburnumwood.platform.registration import register
from laburnumwood.protocol.messages import Resign
from laburnumwood.records import NodeName, NodeRecord, ShardName, WitnessSet
from laburnumwood.settings import DaemonSettings, LeaseSettings
from laburnumwood.store.objects import node_object_name, to_record
from laburnumwood.store.writes import new_mark
from laburnumwood.upstream.reports import HeldRange, WorkerReport
from tests.features.steps.fake_clock import FakeClock
from tests.ownership.store import FakeStore
from tests.ownership.world import node_settings

SHARD = ShardName('s', 0)
DECLARED = SimpleNamespace(shards=64, stripe_width=64)
OTHER = NodeName('b', 1)
MARGIN_MS = 50
SOON_S = 0.25
LIMIT_S = 10


def _settings(lease_ms: int) -> DaemonSettings:
    lease = LeaseSettings(
        grant_ms=lease_ms + MARGIN_MS, drift_margin_ms=MARGIN_MS
    )
    return node_settings('a').model_copy(
        update={'borders': 'platform', 'lease': lease}
    )


def _join(context: Context) -> Incarnation:
    node, clock = context.node, context.clock
    name, _ = join(context.store, node.settings, new_mark('a'))
    context.witness = context.witness or Witness(
        name, node.settings.lease, clock
    )
    return Incarnation(
        name,
        node.settings,
        INTEGRATIONS['platform'],
        context.store,
        node.worker,
        context.witness,
        clock,
    )


def _hold_lease(incarnation: Incarnation, clock: FakeClock) -> None:
    lease = incarnation.lease
    lease.set_first_witnesses(WitnessSet(1, (OTHER,)))
    renewal = lease.renewal_request(OTHER, incarnation.view.digest())
    lease.record_grant(renewal, clock.now_ms())


def _report(context: Context, held: tuple[HeldRange, ...]) -> Any:
    context.number += 1
    return context.node.worker.handle_report(
        WorkerReport('w', 's', 1, context.number, 18, False, held)
    )


def _held(context: Context) -> tuple[HeldRange, ...]:
    granted_rows = context.reply.ranges or ()
    return tuple(HeldRange(row.keys, row.token) for row in granted_rows)


@given('a node whose worker was granted a shard for {span:d} ms')
def make_node(context: Context, span: int) -> None:
    if 'platform' not in INTEGRATIONS:
        register()
    context.clock, context.store = FakeClock(), FakeStore()
    context.number, context.witness = 0, None
    context.node = Node(_settings(span))
    context.node._clock = context.clock
    context.node.worker._clock = context.clock
    context.first = _join(context)
    holder = context.node.worker._source
    holder._declaration = lambda: DECLARED
    _hold_lease(context.first, context.clock)
    context.first.held_shards.hold(SHARD, 8)
    context.reply = _report(context, ())
    assert len(_held(context)), context.reply


@when('the node gives the incarnation up')
def give_up(context: Context) -> None:
    context.first.deactivate()
    assert context.node._unfinished.end_or_defer(context.first) is None


@when('the worker reports to the next incarnation, which takes the shard away')
def report_next(context: Context) -> None:
    _join(context)
    reply = _report(context, _held(context))
    assert reply.ranges == (), reply


@when('the worker reports that it holds nothing')
def report_nothing(context: Context) -> None:
    _report(context, ())


@when('{span:d} ms pass without a report')
def let_pass(context: Context, span: int) -> None:
    context.clock.pass_ms(span)


@when('the node stops without time to wait for its worker')
def stop(context: Context) -> None:
    context.sent = []
    gossip: Any = context.first._member.gossip
    gossip.notify = lambda names, message: context.sent.append(message)
    context.first.hand_over(0)
    context.node._unfinished.record_ends(context.first)


@then('no witness was asked to seal')
def check_not_asked(context: Context) -> None:
    resigned = [each for each in context.sent if isinstance(each, Resign)]
    assert not resigned, resigned


def _has_ended(context: Context) -> bool:
    mode, context.store.mode = context.store.mode, 'up'
    stored = context.store.get(node_object_name('a'))
    context.store.mode = mode
    record = to_record(NodeRecord, stored)
    return record.has_ended(context.first.name.incarnation)


@then('its end is recorded')
def check_ended(context: Context) -> None:
    with eventlet.Timeout(LIMIT_S):
        while not _has_ended(context):
            eventlet.sleep(SOON_S)


@then('its end is not recorded')
def check_not_ended(context: Context) -> None:
    eventlet.sleep(SOON_S)
    assert not _has_ended(context)


@given('the store does not answer')
def stop_store(context: Context) -> None:
    context.store.mode = 'down'


@when('the store answers again')
def start_store(context: Context) -> None:
    context.store.mode = 'up'


@when('the next incarnation grants the worker the same shard')
def grant_next(context: Context) -> None:
    context.next = _join(context)
    context.node.worker._source._declaration = lambda: DECLARED
    _hold_lease(context.next, context.clock)
    context.next.held_shards.hold(SHARD, 16)
    _report_again(context)
    assert _held(context)


def _report_again(context: Context) -> None:
    context.reply = _report(context, _held(context))


@when('the worker reports again')
def report_again(context: Context) -> None:
    _report_again(context)


@then('the first one has finished, the next one has not')
def check_finished(context: Context) -> None:
    assert context.first.has_finished
    assert not context.next.has_finished


@when('the next one withdraws the shard and the first one restores it')
def restore_late(context: Context) -> None:
    context.next._grants.withdraw(SHARD)
    context.first._grants.restore(SHARD)


@then('it is not granted the shard')
def check_not_granted(context: Context) -> None:
    assert not _held(context), context.reply
