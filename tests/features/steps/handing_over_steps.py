"""Steps about a planned stop, with fakes around the shard manager."""

from functools import partial
from types import SimpleNamespace
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.event import Event

from laburnumwood.notifier import Notifier
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.shard_manager import ShardManager
from laburnumwood.placement.shard_write import WriteProgress
from laburnumwood.placement.splitting import Part
from laburnumwood.records import KeyRange, NodeName, ShardName
from tests.features.steps.fake_clock import FakeClock

OWN = NodeName('a', 1)
RETURNED = NodeName('b', 2)
SHARD = ShardName('s', 1)
PART = ShardName('s', 2)
STEP_MS = 10
LIMIT_S = 10
SOON_S = 0.05  # for tasks to get their turn


class SlowWorker:
    """Releases all shards at a set time; each call advances the clock."""

    def __init__(self, release_ms: int, clock: FakeClock) -> None:
        self._clock = clock
        self._released_ms = clock.now_ms() + release_ms
        self.changes = Notifier()
        self.withdrawn: set[ShardName] = set()
        self.withdrawals: list[ShardName] = []

    def withdraw(self, shard: ShardName) -> None:
        """Record that a shard is withdrawn."""
        self.withdrawn.add(shard)
        self.withdrawals.append(shard)
        self._clock.pass_ms(STEP_MS)

    def restore(self, shard: ShardName) -> None:
        """Record that a shard may be held again."""
        self.withdrawn.discard(shard)

    def is_released(self, _shard: ShardName) -> bool:
        """Return whether the time of the release has come."""
        self._clock.pass_ms(STEP_MS)
        return self._clock.now_ms() >= self._released_ms


@given(
    'a node whose store {answers} and whose worker releases shards after '
    '{release:d} ms'
)
def make_manager(context: Context, answers: str, release: int) -> None:
    clock = FakeClock()
    held_shards = HeldShards()
    held_shards.hold(SHARD, 8)
    ownership = SimpleNamespace(
        own=OWN,
        live=lambda: {OWN: None},
        begin_move=lambda _shard, _target: None,
    )
    directory = SimpleNamespace(shard=lambda _shard: None)
    view = SimpleNamespace(directory=directory)
    writer = SimpleNamespace(is_store_reachable=answers == 'answers')
    worker = SlowWorker(release, clock)
    manager: Any = ShardManager
    context.clock = clock
    context.ownership, context.writer = ownership, writer
    context.worker, context.held_shards = worker, held_shards
    balancer = SimpleNamespace(is_stable=lambda _node_id: True)
    context.manager = manager(
        's', view, ownership, held_shards, writer, None, balancer, worker, clock
    )


@when('it hands over all shards with a limit of {patience:d} ms')
def hand_over(context: Context, patience: int) -> None:
    started_ms = context.clock.now_ms()
    context.manager.hand_over_all(OWN, patience)
    context.waited_ms = context.clock.now_ms() - started_ms


@then('it waited for {span:d} ms')
def check_waited(context: Context, span: int) -> None:
    late_ms = context.waited_ms - span
    assert 0 <= late_ms <= 2 * STEP_MS, context.waited_ms


@given("it must write a shard's record and give the shard back")
def give_back(context: Context) -> None:
    context.held_shards.drop(SHARD)
    write, own_write = _write_for(RETURNED, OWN), _write_for(OWN, RETURNED)
    context.ownership.shards_to_write = lambda: [SHARD]
    context.ownership.returned_owner = lambda _shard: RETURNED
    context.ownership.begin_give_back = lambda _shard, _owner: write
    context.ownership.begin_write = lambda _shard: own_write
    context.ownership.finish = lambda _write, _progress: None
    context.writer.is_healthy = True
    context.writer.has_room = True
    context.writer.execute = partial(_execute, context)
    context.writer.start = eventlet.spawn_n


@given("it must write a shard's record that takes keys out of it")
def take_keys_out(context: Context) -> None:
    give_back(context)
    write = _write_for(OWN, RETURNED)
    write.takes_keys_out = True
    context.ownership.returned_owner = lambda _shard: None
    context.ownership.begin_write = lambda _shard: write


def _write_for(*succession: NodeName) -> Any:
    record = SimpleNamespace(succession=succession)
    return SimpleNamespace(shard=SHARD, record=record, takes_keys_out=False)


def _execute(context: Context, write: Any) -> WriteProgress:
    context.written_owner = write.record.succession[0]
    context.written_ms = context.clock.now_ms()
    return WriteProgress.NOT_SENT


@given('the notes of the shard {arrive} at the other node')
def answer_notes(context: Context, arrive: str) -> None:
    context.noted = []

    def send(shard: ShardName, succession: tuple[NodeName, ...]) -> bool:
        assert 'written_ms' not in context, 'the record was written before'
        context.noted.append((shard, succession[0]))
        return arrive == 'arrive'

    context.manager.before_move = send


@when('it tries in vain to give the shard back')
def try_to_give_back(context: Context) -> None:
    finished = Event()
    context.ownership.finish = lambda _write, progress: finished.send(progress)
    context.manager._write_records_due()
    with eventlet.Timeout(LIMIT_S):
        assert finished.wait() is WriteProgress.NOT_SENT
    context.ownership.finish = lambda _write, _progress: None
    assert 'written_ms' not in context, 'the record was written'


@when('it writes the records that are due')
def write_records_due(context: Context) -> None:
    context.started_ms = context.clock.now_ms()
    context.manager._write_records_due()
    with eventlet.Timeout(LIMIT_S):
        while 'written_ms' not in context:
            eventlet.sleep(0)


@then('the shard was written after {span:d} ms')
def check_written(context: Context, span: int) -> None:
    late_ms = context.written_ms - context.started_ms - span
    assert 0 <= late_ms <= 3 * STEP_MS, late_ms


@then('the notes of the shard were sent to the other node')
def check_noted(context: Context) -> None:
    assert context.noted == [(SHARD, RETURNED)], context.noted


@then('the record that was written names {owner}')
def check_written_owner(context: Context, owner: str) -> None:
    expected = OWN if owner == 'its own node' else RETURNED
    assert context.written_owner == expected, context.written_owner


@when('a write of a shard ends as "{progress}"')
def end_write(context: Context, progress: str) -> None:
    context.worker.withdraw(SHARD)
    context.ownership.finish = lambda _write, _progress: None
    write = SimpleNamespace(shard=SHARD)
    context.manager._finish(write, WriteProgress[progress])


@then('the worker may hold the shard again: {again}')
def check_again(context: Context, again: str) -> None:
    assert (SHARD not in context.worker.withdrawn) == (again == 'yes')


@when('a {change} of a shard is executed')
def execute_change(context: Context, change: str) -> None:
    context.ownership.finish = lambda _write, _progress: None
    context.writer.try_refresh = lambda _shard: False
    write = SimpleNamespace(shard=SHARD)
    if change == 'move':
        context.manager._move(write)
    else:
        context.manager._split(write, None)


@then('the shard was not withdrawn from the worker')
def check_kept(context: Context) -> None:
    assert not context.worker.withdrawals


@when('it creates a part of a shard for another node')
def create_part(context: Context) -> None:
    context.sent = []

    def send(parent: ShardName, part: ShardName, record: Any) -> None:
        assert 'written_ms' not in context, 'the record was written before'
        context.sent.append((parent, part, record.succession))

    write = _write_for(RETURNED, OWN)
    write.shard = PART
    context.ownership.begin_create = lambda _shard, _first, _handover: write
    context.ownership.finish = lambda _write, _progress: None
    context.writer.execute = partial(_execute, context)
    context.writer.start = lambda task, *arguments: task(*arguments)
    context.manager.before_create = send
    part = Part(KeyRange(8, 8), RETURNED)
    context.manager._begin_part(SHARD, part, '')


@then('the notes of the shard were sent for the part before it was written')
def check_sent(context: Context) -> None:
    assert context.sent == [(SHARD, PART, (RETURNED, OWN))], context.sent
    assert context.written_owner == RETURNED


@given('a request in a shard does not end')
def begin_request(context: Context) -> None:
    context.use = context.held_shards.acquire(SHARD)


@given('the worker of the node leaves')
def leave(context: Context) -> None:
    context.ownership.live = dict


@when('a {change} of a shard is begun, and {span:d} ms pass')
def begin_change(context: Context, change: str, span: int) -> None:
    context.ended = []
    context.ownership.finish = lambda _write, progress: context.ended.append(
        progress
    )
    write = _write_for(RETURNED, OWN)
    work = {
        'move': partial(context.manager._move, write),
        'split': partial(context.manager._split, write, None),
    }
    context.add_cleanup(eventlet.spawn(work[change]).kill)
    eventlet.sleep(SOON_S)
    context.clock.pass_ms(span)
    eventlet.sleep(SOON_S)


@when('{span:d} ms pass after that')
def pass_time(context: Context, span: int) -> None:
    context.clock.pass_ms(span)


@then('the write of the shard {ends}')
def check_ended(context: Context, ends: str) -> None:
    given_up = [WriteProgress.NOT_SENT] if ends == 'is given up' else []
    assert context.ended == given_up, context.ended


@then('it may be moved for its load: {may}')
def check_may_move(context: Context, may: str) -> None:
    begun = []
    context.ownership.pending_owners = {}
    move = SimpleNamespace(shard=SHARD.number, target=RETURNED)
    context.manager._balancer.plan_moves = lambda _pending: [move]
    context.ownership.begin_move = lambda shard, _target: begun.append(shard)
    context.manager._begin_planned_moves()
    assert (begun == [SHARD]) == (may == 'yes'), begun
