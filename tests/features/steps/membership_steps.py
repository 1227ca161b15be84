"""Steps about joining, ending and losing nodes."""

from collections.abc import Callable
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from laburnumwood.clock import Clock
from laburnumwood.errors import LinkRefusedError, PlatformUnreachableError
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.joining import (
    announce_leaving,
    join,
    leave,
    record_witnesses,
)
from laburnumwood.membership.known import KnownStore
from laburnumwood.membership.renewal import Renewer
from laburnumwood.membership.serving import Serving
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.messages import Renew
from laburnumwood.records import NodeName, NodeRecord, StoredObject, WitnessSet
from laburnumwood.settings import LeaseSettings
from laburnumwood.store.objects import node_object, to_record
from laburnumwood.store.writes import new_mark
from tests.features.steps.fake_clock import FakeClock
from tests.ownership.node import Code
from tests.ownership.store import FakeStore
from tests.ownership.world import SHARDS, World, node_settings

REVIEWED_S = 1.2
LIMIT_S = 20
POLL_S = 0.02


@given('a store that loses the answer to a write')
def make_losing_store(context: Context) -> None:
    context.store = FakeStore()
    context.store.mode = 'lose-writes'


@when(
    'the node "{vm}" joins, and again with the same mark once the store answers'
)
def join_twice(context: Context, vm: str) -> None:
    settings = node_settings(vm)
    mark = new_mark(vm)
    try:
        join(context.store, settings, mark)
    except PlatformUnreachableError:
        context.store.mode = 'up'
    context.joined = join(context.store, settings, mark)[0]


@then('it has incarnation {number:d}')
def check_incarnation(context: Context, number: int) -> None:
    assert context.joined.incarnation == number, context.joined


@when('the script is run')
def run_script(context: Context) -> None:
    context.world = World(Code())
    for line in context.script:
        context.world.run(line)


@then('no process runs on "{vm}"')
def check_process(context: Context, vm: str) -> None:
    assert not context.world.is_up(vm)


@then('the store says that "{name}" has ended, written once')
def check_ended(context: Context, name: str) -> None:
    ended = NodeName.parse(name)
    path = node_object(ended.node_id)
    history = [
        to_record(NodeRecord, stored).has_ended(ended.incarnation)
        for stored in context.world.store.history
        if stored.name == path
    ]
    assert history.count(True) == 1, history


@then('no node keeps a seal of "{name}"')
def check_no_seal(context: Context, name: str) -> None:
    holder = NodeName.parse(name)
    for node in context.world.nodes:
        assert holder not in node.view.seals.holders(), node.name


@then('the node on "{vm}" holds no lease')
def check_no_lease(context: Context, vm: str) -> None:
    assert not context.world.node(vm).lease.is_held()


@then('the node on "{vm}" holds a lease')
def check_lease(context: Context, vm: str) -> None:
    assert context.world.node(vm).lease.is_held()


@then('the shard {number:d} has no owner')
def check_no_owner(context: Context, number: int) -> None:
    assert context.world.owner(SHARDS[number]) is None


@when('the loss of "{first}", "{second}" and "{third}" is confirmed')
def confirm_losses(
    context: Context, first: str, second: str, third: str
) -> None:
    for vm in (first, second, third):
        context.world.run(f'confirm {vm}')
    context.world.run('tick 100')


@then('the shard {number:d} has an owner')
def check_owner(context: Context, number: int) -> None:
    assert context.world.owner(SHARDS[number]) is not None


class CountingStore(FakeStore):
    """Counts the calls that reach it."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0
        self.writes = 0

    def get(self, name: str) -> StoredObject | None:
        """Count and return an object."""
        self.reads += 1
        return super().get(name)

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Count and replace an object of a version."""
        self.writes += 1
        return super().update(name, value, version)


@given('a node whose record is known')
def make_known(context: Context) -> None:
    context.store = CountingStore()
    context.name = join(context.store, node_settings('a'))[0]
    directory = Directory()
    for stored in context.store.list()[0]:
        directory.apply(stored)
    context.known = KnownStore(context.store, directory)
    context.store.reads = 0


@given('the record was changed since')
def change_behind(context: Context) -> None:
    chosen = WitnessSet(1, (context.name,))
    record_witnesses(context.store, context.name, (chosen,))
    context.store.reads = 0
    context.store.writes = 0


@when('it records that it leaves')
def record_leaving(context: Context) -> None:
    announce_leaving(context.known, context.name)


@then('the store was read {reads:d} and written {writes:d} times')
def check_calls(context: Context, reads: int, writes: int) -> None:
    found = context.store.reads, context.store.writes
    assert found == (reads, writes), found


@then('its record says that it leaves')
def check_leaving(context: Context) -> None:
    stored = context.store.get(node_object('a'))
    assert to_record(NodeRecord, stored).leaving


REPORTED = {  # whether a worker serves, and whether it holds nothing
    'holds nothing': (True, True),
    'may hold keys': (True, False),
    'has not reported': (False, False),
}


@given('a node that has joined again beside a worker that {how}')
def join_again(context: Context, how: str) -> None:
    serves, is_clear = REPORTED[how]
    context.store = CountingStore()
    settings = node_settings('a').model_copy(
        update={'report_address': '127.0.0.1:1'}
    )
    join(context.store, settings)
    context.name = join(context.store, settings)[0]
    directory = Directory()
    for stored in context.store.list()[0]:
        directory.apply(stored)
    context.known = KnownStore(context.store, directory)
    context.serving = Serving(
        context.name,
        FleetView(directory, SealRegistry()),
        context.known,
        lambda: (serves, 6),
        lambda: is_clear,
    )
    context.store.reads = 0
    context.store.writes = 0


@when('it records its first witnesses')
def record_first(context: Context) -> None:
    chosen = WitnessSet(1, (context.name,))
    record_witnesses(
        context.known, context.name, (chosen,), context.serving.at_start
    )


@then('its record says that {serves} and that the incarnations {numbers} go on')
def check_record(context: Context, serves: str, numbers: str) -> None:
    stored = context.store.get(node_object('a'))
    record = to_record(NodeRecord, stored)
    assert record.serves == (serves == 'it serves'), record
    expected = tuple(int(each) for each in numbers.split())
    assert record.open_incarnations == expected, record


def _read(store: FakeStore, directory: Directory) -> None:
    for stored in store.list()[0]:
        directory.apply(stored)


class _Witnesses:
    """The links to witnesses that answer until they are told to end."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._witnesses: dict[NodeName, Witness] = {}

    def add(self, name: NodeName) -> Witness:
        """Begin to answer as a node."""
        witness = Witness(name, LeaseSettings(), self._clock)
        self._witnesses[name] = witness
        return witness

    def end(self, name: NodeName) -> None:
        """Answer no longer as a node."""
        self._witnesses.pop(name)

    def call(self, name: NodeName, request: Renew, _limit_ms: int) -> object:
        """Return the answer of a node."""
        if name not in self._witnesses:
            raise LinkRefusedError(str(name))
        return self._witnesses[name].renew(request, request.digest)

    def compare(self, *_heard: object) -> None:
        """Take no news in."""


def _join_other(context: Context, node_id: str) -> NodeName:
    name: NodeName = join(context.store, node_settings(node_id))[0]
    _read(context.store, context.view.directory)
    return name


@given('a node that renews its lease where {count:d} others are')
def make_renewing(context: Context, count: int) -> None:
    clock = FakeClock()  # it stands still, so that nothing ever takes long
    links: Any = _Witnesses(clock)
    context.store, context.links = FakeStore(), links
    context.view = FleetView(Directory(), SealRegistry())
    context.name = _join_other(context, 'a')
    for other in 'bcd'[:count]:
        links.add(_join_other(context, other))
    context.lease = Lease(context.name, LeaseSettings(), clock)
    renewer = Renewer(
        context.lease,
        links.add(context.name),
        links,
        links,
        context.view,
        context.store,
        LeaseSettings(),
        clock,
    )
    renewer.begin(frozenset())
    _read(context.store, context.view.directory)
    reviewing = eventlet.spawn(renewer.run)
    context.add_cleanup(reviewing.kill)


@when('it records that it leaves and reviews its witnesses')
def leave_and_review(context: Context) -> None:
    announce_leaving(context.store, context.name)
    _read(context.store, context.view.directory)
    eventlet.sleep(REVIEWED_S)


@then('it holds its lease by itself')
def check_held_alone(context: Context) -> None:
    assert context.lease.is_held()
    members = context.lease.witnesses.members
    assert members == (context.name,), members
    assert not context.lease.is_changing


def _end(context: Context, name: NodeName) -> None:
    leave(context.store, name)
    _read(context.store, context.view.directory)


def _wait_until(check: Callable[[], bool]) -> None:
    with eventlet.Timeout(LIMIT_S):
        while not check():
            eventlet.sleep(POLL_S)


@when('one of its witnesses ends and the one to follow does not answer')
def replace_witness(context: Context) -> None:
    _wait_until(context.lease.is_held)
    ended = NodeName('b', 1)
    assert ended in context.lease.witnesses.members
    context.links.end(ended)
    # In the same failure domain, it is the one to follow.
    context.silent = _join_other(context, 'e')
    _end(context, ended)
    _wait_until(lambda: context.silent in context.lease.renewal_targets)


@then('the change of its witnesses waits')
def check_waiting(context: Context) -> None:
    eventlet.sleep(REVIEWED_S)
    assert context.lease.is_changing


@when('that one ends too')
def end_silent(context: Context) -> None:
    _end(context, context.silent)


@then('the change of its witnesses is complete and it holds its lease')
def check_changed(context: Context) -> None:
    _wait_until(lambda: context.silent in context.lease.witnesses.members)
    assert context.lease.is_held()
