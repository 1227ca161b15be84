"""Steps about joining, ending and losing nodes."""

from collections.abc import Callable
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from laburnumwood.clock import Clock
from laburnumwood.errors import LinkRefusedError, PlatformUnavailableError
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.cached_store import CachedStore
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.node_records import (
    announce_leaving,
    join,
    record_end,
    record_witness_sets,
)
from laburnumwood.membership.renewal import LeaseRenewer
from laburnumwood.membership.view import FleetView
from laburnumwood.membership.worker_announcer import WorkerAnnouncer
from laburnumwood.protocol.messages import Renew
from laburnumwood.records import NodeName, NodeRecord, StoredObject, WitnessSet
from laburnumwood.settings import LeaseSettings
from laburnumwood.store.objects import node_object_name, to_record
from laburnumwood.store.writes import new_mark
from laburnumwood.upstream.departures import Departures
from tests.features.steps.fake_clock import FakeClock
from tests.ownership.keys import SHARDS
from tests.ownership.node import Components
from tests.ownership.store import FakeStore
from tests.ownership.world import Simulation, node_settings

REVIEW_S = 1.2
LIMIT_S = 20
POLL_S = 0.02


@given('a store that loses the response to a write')
def make_response_losing_store(context: Context) -> None:
    context.store = FakeStore()
    context.store.mode = 'lose-write-answers'


@when(
    'the node "{vm}" joins, and again with the same mark once the store answers'
)
def join_twice(context: Context, vm: str) -> None:
    settings = node_settings(vm)
    mark = new_mark(vm)
    try:
        join(context.store, settings, mark)
    except PlatformUnavailableError:
        context.store.mode = 'up'
    context.joined = join(context.store, settings, mark)[0]


@then('it has incarnation {number:d}')
def check_incarnation(context: Context, number: int) -> None:
    assert context.joined.incarnation == number, context.joined


@when('the script is run')
def run_script(context: Context) -> None:
    context.simulation = Simulation(Components())
    for line in context.script:
        context.simulation.run(line)


@then('no process runs on "{vm}"')
def check_process(context: Context, vm: str) -> None:
    assert not context.simulation.is_running(vm)


@then('the end of "{name}" was recorded once in the store')
def check_end_recorded(context: Context, name: str) -> None:
    ended = NodeName.parse(name)
    path = node_object_name(ended.node_id)
    history = [
        to_record(NodeRecord, stored).has_ended(ended.incarnation)
        for stored in context.simulation.store.history
        if stored.name == path
    ]
    assert history.count(True) == 1, history


@then('no node keeps a seal of "{name}"')
def check_no_seal(context: Context, name: str) -> None:
    holder = NodeName.parse(name)
    for node in context.simulation.nodes:
        assert holder not in node.view.seals.holders(), node.name


@then('the node on "{vm}" holds no lease')
def check_no_lease(context: Context, vm: str) -> None:
    assert not context.simulation.node(vm).lease.is_held()


@then('the node on "{vm}" holds a lease')
def check_lease(context: Context, vm: str) -> None:
    assert context.simulation.node(vm).lease.is_held()


@then('the shard {number:d} has no owner')
def check_no_owner(context: Context, number: int) -> None:
    assert context.simulation.owner(SHARDS[number]) is None


@when('the loss of "{first}", "{second}" and "{third}" is confirmed')
def confirm_losses(
    context: Context, first: str, second: str, third: str
) -> None:
    for vm in (first, second, third):
        context.simulation.run(f'confirm-lost {vm}')
    context.simulation.run('tick 100')


@then('the shard {number:d} has an owner')
def check_owner(context: Context, number: int) -> None:
    assert context.simulation.owner(SHARDS[number]) is not None


class CountingStore(FakeStore):
    """A store that counts the reads and updates that reach it."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0
        self.writes = 0

    def get(self, name: str) -> StoredObject | None:
        """Count the read and return an object."""
        self.reads += 1
        return super().get(name)

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Count the write and replace a version of an object."""
        self.writes += 1
        return super().update(name, value, version)


@given('a node that has cached its record')
def make_caching_node(context: Context) -> None:
    context.store = CountingStore()
    context.name = join(context.store, node_settings('a'))[0]
    directory = Directory()
    for stored in context.store.list()[0]:
        directory.apply(stored)
    context.cached_store = CachedStore(context.store, directory)
    context.store.reads = 0


@given('another writer has changed the record since')
def change_record_elsewhere(context: Context) -> None:
    chosen = WitnessSet(1, (context.name,))
    record_witness_sets(context.store, context.name, (chosen,))
    context.store.reads = 0
    context.store.writes = 0


@when('it records that it is leaving')
def record_leaving(context: Context) -> None:
    announce_leaving(context.cached_store, context.name)


@then('the store was read {reads:d} and written {writes:d} times')
def check_calls(context: Context, reads: int, writes: int) -> None:
    found = context.store.reads, context.store.writes
    assert found == (reads, writes), found


@then('its record says that it is leaving')
def check_leaving(context: Context) -> None:
    stored = context.store.get(node_object_name('a'))
    assert to_record(NodeRecord, stored).leaving


WORKER_STATES = {  # whether the worker serves, and whether it holds nothing
    'holds nothing': (True, True),
    'may hold keys': (True, False),
    'has not reported': (False, False),
}


@given('a node that has rejoined beside a worker that {state}')
def rejoin(context: Context, state: str) -> None:
    serves, holds_nothing = WORKER_STATES[state]
    context.store = CountingStore()
    settings = node_settings('a').model_copy(
        update={'report_address': '127.0.0.1:1'}
    )
    join(context.store, settings)
    context.name = join(context.store, settings)[0]
    directory = Directory()
    for stored in context.store.list()[0]:
        directory.apply(stored)
    context.cached_store = CachedStore(context.store, directory)
    context.announcer = WorkerAnnouncer(
        context.name,
        FleetView(directory, SealRegistry()),
        context.cached_store,
        lambda: (serves, 6),
        Departures(Clock()),
        lambda: holds_nothing,
    )
    context.store.reads = 0
    context.store.writes = 0


@when('it records its first witnesses')
def record_first_witnesses(context: Context) -> None:
    chosen = WitnessSet(1, (context.name,))
    record_witness_sets(
        context.cached_store,
        context.name,
        (chosen,),
        context.announcer.with_initial_worker_state,
    )


@then('its record says that {serves} and lists the open incarnations {numbers}')
def check_record(context: Context, serves: str, numbers: str) -> None:
    stored = context.store.get(node_object_name('a'))
    record = to_record(NodeRecord, stored)
    assert record.serves == (serves == 'it serves'), record
    expected = tuple(int(each) for each in numbers.split())
    assert record.open_incarnations == expected, record


def _apply_all(store: FakeStore, directory: Directory) -> None:
    for stored in store.list()[0]:
        directory.apply(stored)


class _WitnessLinks:
    """In place of links: calls witnesses directly until they have ended."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._witnesses: dict[NodeName, Witness] = {}

    def add(self, name: NodeName) -> Witness:
        """Add a witness that answers under a name, and return it."""
        witness = Witness(name, LeaseSettings(), self._clock)
        self._witnesses[name] = witness
        return witness

    def end(self, name: NodeName) -> None:
        """Remove a witness; calls of it fail from now on."""
        self._witnesses.pop(name)

    def call(self, name: NodeName, request: Renew, _limit_ms: int) -> object:
        """Return the answer of a witness to a renewal."""
        if name not in self._witnesses:
            raise LinkRefusedError(str(name))
        return self._witnesses[name].renew(request, request.digest)

    def pull_if_newer(self, *_digest: object) -> None:
        """Pull nothing: the steps apply all changes themselves."""


def _join_other(context: Context, node_id: str) -> NodeName:
    name: NodeName = join(context.store, node_settings(node_id))[0]
    _apply_all(context.store, context.view.directory)
    return name


@given('a node that renews its lease beside {count:d} other nodes')
def make_renewing(context: Context, count: int) -> None:
    clock = FakeClock()  # not advanced, so no call appears to take time
    links: Any = _WitnessLinks(clock)
    context.store, context.links = FakeStore(), links
    context.view = FleetView(Directory(), SealRegistry())
    context.name = _join_other(context, 'a')
    for other in 'bcd'[:count]:
        links.add(_join_other(context, other))
    context.lease = Lease(context.name, LeaseSettings(), clock)
    renewer = LeaseRenewer(
        context.lease,
        links.add(context.name),
        links,
        links,
        context.view,
        context.store,
        LeaseSettings(),
        clock,
    )
    renewer.start(frozenset())
    _apply_all(context.store, context.view.directory)
    reviewing = eventlet.spawn(renewer.run)
    context.add_cleanup(reviewing.kill)


@when('it records that it is leaving and reviews its witnesses')
def leave_and_review(context: Context) -> None:
    announce_leaving(context.store, context.name)
    _apply_all(context.store, context.view.directory)
    eventlet.sleep(REVIEW_S)


@then('it holds its lease as its only witness')
def check_only_witness(context: Context) -> None:
    assert context.lease.is_held()
    members = context.lease.witnesses.members
    assert members == (context.name,), members
    assert not context.lease.is_changing


def _end(context: Context, name: NodeName) -> None:
    record_end(context.store, name)
    _apply_all(context.store, context.view.directory)


def _wait_until(check: Callable[[], bool]) -> None:
    with eventlet.Timeout(LIMIT_S):
        while not check():
            eventlet.sleep(POLL_S)


@when('one of its witnesses ends and the replacement does not answer')
def replace_witness(context: Context) -> None:
    _wait_until(context.lease.is_held)
    ended = NodeName('b', 1)
    assert ended in context.lease.witnesses.members
    context.links.end(ended)
    # It replaces the ended witness, since it is in the same failure domain.
    context.replacement = _join_other(context, 'e')
    _end(context, ended)
    _wait_until(lambda: context.replacement in context.lease.renewal_targets)


@then('the change of its witnesses is pending')
def check_pending(context: Context) -> None:
    eventlet.sleep(REVIEW_S)
    assert context.lease.is_changing


@when('the replacement ends too')
def end_replacement(context: Context) -> None:
    _end(context, context.replacement)


@then('the change of its witnesses is complete and it holds its lease')
def check_changed(context: Context) -> None:
    _wait_until(lambda: context.replacement in context.lease.witnesses.members)
    assert context.lease.is_held()
