"""Steps about decisions of one node in a service of hundreds of nodes."""

from collections.abc import Callable
from cProfile import Profile
from dataclasses import replace
from itertools import count
from random import Random
from typing import Any

from behave import given, then, when
from behave.runner import Context

from bench.spreading import record_of
from laburnumwood.admission.retry_budget import RetryBudgets
from laburnumwood.balancing.request_balancer import RequestBalancer
from laburnumwood.clock import Clock
from laburnumwood.config.declarations import Weights
from laburnumwood.leases.lease import Lease
from laburnumwood.membership.directory import Directory
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.load_reports import LoadReports
from laburnumwood.placement.move_policy import PlacementSnapshot, weighed
from laburnumwood.placement.ownership_tracker import OwnershipTracker
from laburnumwood.protocol.messages import Failure, WholeAnswer
from laburnumwood.protocol.store_messages import ShardNotice
from laburnumwood.records import (
    KeyRange,
    NodeName,
    NodeRecord,
    ShardName,
    ShardRecord,
    StoredObject,
)
from laburnumwood.routing.exchange import local_pair
from laburnumwood.routing.router import Router
from laburnumwood.settings import LeaseSettings
from laburnumwood.store.objects import (
    node_object_name,
    shard_object_name,
    to_value,
)
from laburnumwood.upstream.token_history import TokenHistory
from tests.features.steps.counting_view import CountingView
from tests.features.steps.fake_clock import FakeClock
from tests.features.steps.plain_work import PLAIN_WORK, caller_request

SERVICE = 'service'
PER_NODE = 4
SLOTS = 6
BYSTANDER_MS = 3_500  # after which any node may claim a shard without an owner


class _HeldLease(Lease):
    """A lease that always holds."""

    def is_held(self) -> bool:
        return True


def _name(number: int) -> NodeName:
    return NodeName(f'n{number}', 1)


class _LargeService:
    """The records of a service with many nodes, as known to one node."""

    def __init__(self, nodes: int) -> None:
        self.names = [_name(number) for number in range(nodes)]
        self.clock = FakeClock()
        self.view = CountingView(Directory())
        self._versions = count(1)
        for number in range(nodes):
            self.write_node(number, record_of(number))
        for number in range(nodes * PER_NODE):
            self._write_shard(number)

    def write_node(self, number: int, record: NodeRecord) -> None:
        name = node_object_name(f'n{number}')
        self._apply(name, to_value(replace(record, slots=SLOTS)))

    def ownership(self, number: int) -> OwnershipTracker:
        lease = _HeldLease(self.names[number], LeaseSettings(), self.clock)
        return OwnershipTracker(
            SERVICE, self.view, lease, HeldShards(), self.clock
        )

    def shares(self) -> dict[NodeName, tuple[int, ...]]:
        nodes = len(self.names)
        return {
            name: tuple(range(place, nodes * PER_NODE, nodes))
            for place, name in enumerate(self.names)
        }

    def _write_shard(self, number: int) -> None:
        nodes = len(self.names)
        succession = tuple(_name((number + step) % nodes) for step in range(3))
        record = ShardRecord(1, succession, shards=nodes * PER_NODE)
        shard = ShardName(SERVICE, number)
        self._apply(shard_object_name(shard), to_value(record))

    def _apply(self, name: str, value: dict[str, object]) -> None:
        stored = StoredObject(name, value, next(self._versions))
        self.view.directory.apply(stored)


@given('a service of {nodes:d} nodes with 4 shards each')
def make_service(context: Context, nodes: int) -> None:
    context.service = _LargeService(nodes)


@given('a busy node that knows the load of {known_count:d} others')
def make_busy_node(context: Context, known_count: int) -> None:
    names = context.service.names
    shares = context.service.shares()
    context.known_nodes = set(names[1 : known_count + 1])
    known_loads = {
        shard: 0.5 for name in context.known_nodes for shard in shares[name]
    }
    own_loads = dict.fromkeys(shares[names[0]], 2.0)
    context.snapshot = PlacementSnapshot(
        own=names[0],
        shards_by_node=shares,
        reporting_peers=context.known_nodes,
        slots=dict.fromkeys(names, SLOTS),
        loads={**known_loads, **own_loads},
        default_load=1,
        weights=Weights(),
    )


@when('it plans moves')
def plan_moves(context: Context) -> None:
    context.moves = weighed(context.snapshot)


@then('it moves a shard to one of the {known_count:d}')
def check_moved(context: Context, known_count: int) -> None:
    targets = {move.target for move in context.moves}
    assert targets, 'no move'
    assert len(context.known_nodes) == known_count
    assert targets <= context.known_nodes, targets


@then('it computes the usage of at most {most:d} nodes')
def check_usages(context: Context, most: int) -> None:
    found = len(context.snapshot.utilizations)
    assert found <= most, found


@when('a node computes which shards it should write')
def compute_wanted(context: Context) -> None:
    ownership = context.service.ownership(0)
    context.service.view.serving_nodes(SERVICE)
    context.service.view.check_count = 0
    context.wanted = ownership.shards_to_write()


@then('there are none')
def check_none(context: Context) -> None:
    assert not context.wanted, context.wanted


@then('it checked at most {most:d} times whether a node has lapsed')
def check_checks(context: Context, most: int) -> None:
    checks = context.service.view.check_count
    assert checks <= most, checks


@given("every node in the succession of the first node's shards has ended")
def end_nodes(context: Context) -> None:
    for number in range(3):
        ended = replace(record_of(number), open_incarnations=())
        context.service.write_node(number, ended)


@when('another node computes which shards it should write')
def compute_wanted_by_other(context: Context) -> None:
    ownership = context.service.ownership(80)
    ownership.shards_to_write()
    context.service.clock.pass_ms(BYSTANDER_MS)
    context.wanted = ownership.shards_to_write()


@then('these are the shards of the first node')
def check_first_shards(context: Context) -> None:
    nodes = len(context.service.names)
    expected = set(range(0, nodes * PER_NODE, nodes))
    found = {shard.number for shard in context.wanted}
    assert found == expected, found


class _Gates:
    """In place of links: the gates of the last and next owner of a shard."""

    def __init__(self, last_owner: NodeName, notice: ShardNotice) -> None:
        self._last = last_owner
        self._notice = notice
        self.targets: list[NodeName] = []

    def open_stream(self, peer: NodeName, **_how: Any) -> Any:
        """Return a stream on which the gate of a node has answered already."""
        self.targets.append(peer)
        near, far = local_pair()
        if peer == self._last:
            far.send(self._notice)
            far.send(Failure('not-owner', False, 'moved'))
        else:
            far.send(WholeAnswer(200, (), b'whole'))
        return near


class _StayingCaller:
    """A caller that waits for its answer."""

    is_gone = False

    def poll(self) -> bool:
        """Return that it has not left."""
        return False

    def set_gone_handler(self, act: Callable[[], None]) -> None:
        """Do nothing: it does not leave."""


@given(
    'shard {number:d} has moved to another node, which only its last owner '
    'knows'
)
def move_shard(context: Context, number: int) -> None:
    service = context.service
    shard = ShardName(SERVICE, number)
    entry = service.view.directory.shard(shard)
    last_owner, context.next = entry.record.succession[0], service.names[90]
    moved = replace(entry.record, epoch=2, succession=(context.next,))
    notice = ShardNotice(str(shard), moved, entry.version + 10_000)
    context.last, context.gates = last_owner, _Gates(last_owner, notice)


@when('a request for shard {number:d} arrives at a door')
def send_to_door(context: Context, number: int) -> None:
    clock = Clock()
    stand_ins: Any = (context.gates, None, _StayingCaller())
    gates, serve, caller = stand_ins
    router = Router(
        context.service.names[-1],
        context.service.view,
        gates,
        serve,
        RequestBalancer(LoadReports(clock), 'd', Random(1), clock),
        RetryBudgets(0, clock),
        clock,
    )
    work = replace(
        PLAIN_WORK, service=SERVICE, shard=number, key='7', idempotent=True
    )
    started_ms = clock.now_ms()
    context.reply = router.send(caller_request(work, clock, 3), caller)
    context.took_ms = clock.now_ms() - started_ms


@then('the door sent it to the last owner, and then to the next one')
def check_targets(context: Context) -> None:
    assert context.gates.targets == [context.last, context.next]


@then('the next owner answered it within {limit_ms:d} ms')
def check_answered(context: Context, limit_ms: int) -> None:
    assert b''.join(context.reply.body()) == b'whole'
    assert context.took_ms < limit_ms, context.took_ms


_RANGE_KEYS = 10


def _range(number: int) -> KeyRange:
    first = number * _RANGE_KEYS
    return KeyRange(first, first + _RANGE_KEYS - 1)


@given(
    'a worker whose {count:d} ranges of keys were given under their own tokens'
)
def give_ranges(context: Context, count: int) -> None:
    context.tokens = TokenHistory()
    context.tokens.record((KeyRange(0, count * _RANGE_KEYS),), 1)
    for number in range(count):
        context.tokens.record((_range(number),), number + 2)


@when('the least tokens of {count:d} of them are computed')
def compute_tokens(context: Context, count: int) -> None:
    profile = Profile()
    with profile:
        context.found = [
            context.tokens.least_token((_range(number),))
            for number in range(count)
        ]
    context.calls = sum(each.callcount for each in profile.getstats())


@then('they are those of the ranges')
def check_tokens(context: Context) -> None:
    expected = [number + 2 for number in range(len(context.found))]
    assert context.found == expected, context.found


@then('it took at most {most:d} calls of functions')
def check_calls(context: Context, most: int) -> None:
    assert context.calls <= most, context.calls
