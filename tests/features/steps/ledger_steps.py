"""Steps for the decisions of the run ledger."""

from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from laburnumwood.protocol.messages import Answer
from laburnumwood.records import NodeName, ShardName, ShardRecord, WriteMark
from laburnumwood.routing.ledger import RunLedger, RunState, known_for_ms
from tests.features.steps.fake_clock import FakeClock

SHARD = ShardName('s', 1)


def _parse(name: str) -> NodeName:
    return NodeName.parse(name) if '#' in name else NodeName(name, 1)


@given('the run ledgers of the nodes a, b and c')
def make_ledgers(context: Context) -> None:
    context.clock = FakeClock()
    context.ledgers = {
        name: RunLedger(context.clock, NodeName(name, 1)) for name in 'abc'
    }
    context.record = None


@given(
    'a record of epoch {epoch:d} with succession "{names}" written by '
    '"{writer}"'
)
def set_record(context: Context, epoch: int, names: str, writer: str) -> None:
    succession = tuple(_parse(name) for name in names.split())
    context.before = context.record
    context.record = ShardRecord(epoch, succession, mark=WriteMark(writer, 'w'))


@given('"{sender}" sends all its entries to "{receiver}" in epoch {epoch:d}')
@when('"{sender}" sends all its entries to "{receiver}" in epoch {epoch:d}')
def send_all(context: Context, sender: str, receiver: str, epoch: int) -> None:
    entries = context.ledgers[sender].entries(SHARD)
    assert context.ledgers[receiver].merge(SHARD, entries)
    context.ledgers[receiver].record_complete(SHARD, epoch)


@given(
    '"{sender}" hands all its entries over to "{receiver}" in epoch {epoch:d}'
)
def hand_over(context: Context, sender: str, receiver: str, epoch: int) -> None:
    context.ledgers[receiver].record_handover(SHARD, epoch, sender)


@given('"{name}" joins anew')
def join_anew(context: Context, name: str) -> None:
    context.ledgers[name] = RunLedger(
        context.clock, NodeName(name, 2), context.ledgers[name]
    )


@given('"{name}" acts under the record')
def act(context: Context, name: str) -> None:
    own = NodeName(name, 1)
    context.ledgers[name].record_acting(SHARD, context.record, own)


@given('"{name}" has seen the record')
def see_record(context: Context, name: str) -> None:
    assert context.ledgers[name].apply_record(SHARD, context.record)


def _ask(context: Context, owner: str, asked: str, *, is_held: bool) -> None:
    ledger, record = context.ledgers[owner], context.record
    told = []
    for name in asked.split():
        other = context.ledgers[name]
        assert ledger.merge(SHARD, other.entries(SHARD))
        told += other.histories(SHARD, record.epoch - 1, is_held=is_held)
    known_ms = known_for_ms(record, context.before, told)
    ledger.record_known(SHARD, record.epoch, known_ms)


@when('"{owner}" asks "{asked}"')
def ask(context: Context, owner: str, asked: str) -> None:
    _ask(context, owner, asked, is_held=False)


@when('"{owner}" asks "{asked}", which {lease} its lease')
def ask_successor(context: Context, owner: str, asked: str, lease: str) -> None:
    _ask(context, owner, asked, is_held=lease == 'holds')


@given('"{name}" has recorded {count:d} requests')
def record_many(context: Context, name: str, count: int) -> None:
    ledger = context.ledgers[name]
    for number in range(count):
        ledger.admit(SHARD, str(number), 'x', context.record)
        ledger.record_result(SHARD, str(number), None, b'')


@when('"{name}" admits "{key}" with fingerprint "{fingerprint}"')
def admit(context: Context, name: str, key: str, fingerprint: str) -> None:
    ledger = context.ledgers[name]
    context.decision = ledger.admit(SHARD, key, fingerprint, context.record)


@when('"{name}" finishes "{key}" with status {status:d}')
def record_result(context: Context, name: str, key: str, status: int) -> None:
    context.ledgers[name].record_result(SHARD, key, Answer(status, ()), b'body')


@when('"{name}" removes "{key}" but the message about it is delayed')
def remove_delayed(context: Context, name: str, key: str) -> None:
    ledger = context.ledgers[name]
    entry = ledger.entry(SHARD, key)
    ledger.remove(SHARD, key)
    context.delayed_entry = replace(entry, state=RunState.FORGOTTEN.name)


@when('the delayed message reaches "{name}"')
def deliver_delayed(context: Context, name: str) -> None:
    context.ledgers[name].merge(SHARD, (context.delayed_entry,))


@then('the decision is {decision}')
def check_decision(context: Context, decision: str) -> None:
    assert context.decision.name == decision, context.decision
