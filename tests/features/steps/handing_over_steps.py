"""Steps about a planned stop, with all that a keeper speaks with played."""

from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context

from laburnumwood.placement.holdings import Holdings
from laburnumwood.placement.keeper import Keeper
from laburnumwood.records import NodeName, ShardName
from tests.features.steps.fake_clock import FakeClock

OWN = NodeName('a', 1)
SHARD = ShardName('s', 1)
STEP_MS = 10


class SlowWorker:
    """Lets go of everything after some time; time passes as it is asked."""

    def __init__(self, release_ms: int, clock: FakeClock) -> None:
        self._clock = clock
        self._from_ms = clock.now_ms() + release_ms

    def withdraw(self, _shard: ShardName) -> None:
        """Take in that a shard is to be let go."""
        self._clock.pass_ms(STEP_MS)

    def is_released(self, _shard: ShardName) -> bool:
        """Tell whether the time has come."""
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
    context.keeper = keeper(
        's', view, tenure, holdings, writer, None, None, worker, clock
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
