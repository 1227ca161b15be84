"""Steps about a planned stop, with all that a keeper speaks with played."""

from functools import partial
from types import SimpleNamespace
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from laburnumwood.notifier import Notifier
from laburnumwood.placement.holdings import Holdings
from laburnumwood.placement.keeper import Keeper
from laburnumwood.placement.shard_write import Progress
from laburnumwood.records import NodeName, ShardName
from tests.features.steps.fake_clock import FakeClock

OWN = NodeName('a', 1)
HOME = NodeName('b', 2)
SHARD = ShardName('s', 1)
STEP_MS = 10
LIMIT_S = 10


class SlowWorker:
    """Lets go of everything after some time; time passes as it is asked."""

    def __init__(self, release_ms: int, clock: FakeClock) -> None:
        self._clock = clock
        self._from_ms = clock.now_ms() + release_ms
        self.changes = Notifier()
        self.withdrawn: set[ShardName] = set()
        self.asked: list[ShardName] = []

    def withdraw(self, shard: ShardName) -> None:
        """Take in that a shard is to be let go."""
        self.withdrawn.add(shard)
        self.asked.append(shard)
        self._clock.pass_ms(STEP_MS)

    def restore(self, shard: ShardName) -> None:
        """Take in that a shard may be held again."""
        self.withdrawn.discard(shard)

    def is_released(self, _shard: ShardName) -> bool:
        """Tell whether the time has come."""
        self._clock.pass_ms(STEP_MS)
        return self._clock.now_ms() >= self._from_ms


@given(
    'a node whose store {answers} and whose worker lets go after {release:d} ms'
)
def make_keeper(context: Context, answers: str, release: int) -> None:
    clock = FakeClock()
    holdings = Holdings()
    holdings.hold(SHARD, 8)
    tenure = SimpleNamespace(
        own=OWN, live=dict, begin_move=lambda _shard, _target: None
    )
    directory = SimpleNamespace(shard=lambda _shard: None)
    view = SimpleNamespace(directory=directory)
    writer = SimpleNamespace(is_answered=answers == 'answers')
    worker = SlowWorker(release, clock)
    keeper: Any = Keeper
    context.clock = clock
    context.tenure, context.writer = tenure, writer
    context.worker, context.holdings = worker, holdings
    balancer = SimpleNamespace(is_steady=lambda _node_id: True)
    context.keeper = keeper(
        's', view, tenure, holdings, writer, None, balancer, worker, clock
    )


@when('it hands all shards over with {patience:d} ms of patience')
def hand_over(context: Context, patience: int) -> None:
    began_ms = context.clock.now_ms()
    context.keeper.hand_over_all(OWN, patience)
    context.waited_ms = context.clock.now_ms() - began_ms


@then('it waited for {span:d} ms')
def check_waited(context: Context, span: int) -> None:
    late_ms = context.waited_ms - span
    assert 0 <= late_ms <= 2 * STEP_MS, context.waited_ms


@given('it is to give a shard back that it must win a write for')
def give_back(context: Context) -> None:
    context.holdings.drop(SHARD)
    write = SimpleNamespace(shard=SHARD)
    context.tenure.wanted = lambda: [SHARD]
    context.tenure.home = lambda _shard: HOME
    context.tenure.begin_return = lambda _shard, _home: write
    context.tenure.finish = lambda _write, _progress: None
    context.writer.is_healthy = True
    context.writer.has_room = True
    context.writer.carry = partial(_carry, context)


def _carry(context: Context, _write: object) -> Progress:
    context.written_ms = context.clock.now_ms()
    return Progress.NOT_SENT


@when('it writes what is wanted')
def write_wanted(context: Context) -> None:
    context.began_ms = context.clock.now_ms()
    context.keeper._write_wanted()
    with eventlet.Timeout(LIMIT_S):
        while 'written_ms' not in context:
            eventlet.sleep(0)


@then('the shard was written after {span:d} ms')
def check_written(context: Context, span: int) -> None:
    late_ms = context.written_ms - context.began_ms - span
    assert 0 <= late_ms <= 3 * STEP_MS, late_ms


@when('a write of a shard ends as "{progress}"')
def end_write(context: Context, progress: str) -> None:
    context.worker.withdraw(SHARD)
    context.tenure.finish = lambda _write, _progress: None
    write = SimpleNamespace(shard=SHARD)
    context.keeper._finish(write, Progress[progress])


@then('the worker may get the shard again: {again}')
def check_again(context: Context, again: str) -> None:
    assert (SHARD not in context.worker.withdrawn) == (again == 'yes')


@when('a {change} of a shard is carried out')
def carry_out(context: Context, change: str) -> None:
    context.tenure.finish = lambda _write, _progress: None
    context.writer.refresh_if_possible = lambda _shard: False
    write = SimpleNamespace(shard=SHARD)
    if change == 'move':
        context.keeper._move(write)
    else:
        context.keeper._split(write, None)


@then('the worker was not asked to let it go')
def check_kept(context: Context) -> None:
    assert not context.worker.asked
