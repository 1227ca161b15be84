"""Steps about configurations that nodes tell each other."""

from functools import partial
from types import SimpleNamespace
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet import Timeout

from bench.config_news import LOADS, Fleet, slowest_times_ms
from bench.spreading import record_of
from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import PlatformUnavailableError
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.membership.configuration.freshness import ConfigFreshness
from laburnumwood.membership.configuration.renewal import TREES
from laburnumwood.membership.configuration.status import FROM_STORE
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.member import Member
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.peers import Dispatcher
from laburnumwood.records import ConfigRecord, NodeName, StoredObject
from laburnumwood.settings import LeaseSettings
from laburnumwood.store.objects import (
    CONFIG_NAME,
    node_object_name,
    to_value,
)

LIMIT_S = 10
LIMIT_MS = 2_000  # of the age of a proof
_DOOR_PAUSE_S = 0.05
_STORE_TIMEOUT_S = 1.5
PEER = NodeName('b', 1)


def _config(generation: int) -> StoredObject:
    record = to_value(ConfigRecord(generation))
    return StoredObject(CONFIG_NAME, record, 1_000 + generation)


class _Answer:
    """A stream that keeps the last message that is sent on it."""

    def __init__(self) -> None:
        self.message: Any = None

    def send(self, message: Any) -> None:
        """Keep a message."""
        self.message = message

    def close(self) -> None:
        """Do nothing."""


class _Link:
    """A link, of which only the peer matters."""

    def __init__(self, peer: NodeName) -> None:
        self.peer = peer


class _Links:
    """The links of a node to the others, in one process."""

    def __init__(self, own: NodeName, fleet: '_Fleet') -> None:
        self._own = own
        self._fleet = fleet

    def call(self, peer: NodeName, message: Any, _timeout_ms: int) -> Any:
        """Return the answer of a peer to a message."""
        self._fleet.call_count += 1
        eventlet.sleep(0)
        link: Any = _Link(self._own)
        stream: Any = _Answer()
        self._fleet.dispatchers[peer].handle(link, stream, message)
        return stream.message


class _Fleet:
    """Members whose tasks do not run, so that none renews its lease."""

    def __init__(self, size: int) -> None:
        self.call_count = 0
        names = [NodeName(f'n{place}', 1) for place in range(size)]
        self.dispatchers = {name: Dispatcher() for name in names}
        self.directories = {name: Directory() for name in names}
        clock, settings, unused = Clock(), LeaseSettings(), None
        store: Any = unused
        for name in names:
            links: Any = _Links(name, self)
            Member(
                Lease(name, settings, clock),
                Witness(name, settings, clock),
                FleetView(self.directories[name], SealRegistry()),
                links,
                self.dispatchers[name],
                store,
                settings,
                clock,
            )
        for directory in self.directories.values():
            _fill(directory, names)

    def is_in_force(self, generation: int) -> bool:
        """Return whether all nodes have a configuration in force."""
        return all(
            directory.config.generation == generation
            for directory in self.directories.values()
        )


class _Store:
    """A store of one configuration that counts the calls of each node."""

    def __init__(self) -> None:
        self.stored = _config(1)
        self.call_count = 0
        self.rejected: set[NodeName] = set()
        self.is_silent = False  # to those that it rejects

    def view_of(self, name: NodeName) -> Any:
        """Return the store as a node sees it."""
        view: Any = SimpleNamespace(get=partial(self._get, name))
        return view

    def _get(self, name: NodeName, _object: str) -> StoredObject:
        self.call_count += 1
        eventlet.sleep(0)
        if name in self.rejected:
            eventlet.sleep(_STORE_TIMEOUT_S if self.is_silent else 0)
            raise PlatformUnavailableError('status 503')
        return self.stored


def _fill(directory: Directory, names: list[NodeName]) -> None:
    for place, name in enumerate(names):
        value = to_value(record_of(place))
        stored = node_object_name(name.node_id)
        directory.apply(StoredObject(stored, value, place + 1))
    directory.apply(_config(1))
    directory.revision = len(names)


@given('a configuration is in force on "b" only')
def apply_at_far(context: Context) -> None:
    context.far.view.directory.apply(_config(1))
    context.far.peer = context.near


@when('"b" asks "a" for what is newer')
def ask(context: Context) -> None:
    context.far.gossip.exchange({NodeName('a', 1)})
    eventlet.sleep(0)
    eventlet.sleep(0)


@then('the configuration is in force on "a" too')
def check_pulled(context: Context) -> None:
    assert context.near.view.directory.config.generation == 1


@given('{size:d} nodes without renewals, with a configuration in force')
def make_fleet(context: Context, size: int) -> None:
    context.fleet = _Fleet(size)
    eventlet.sleep(0)
    assert not context.fleet.call_count, context.fleet.call_count


@when('one of them reads the next configuration from the store')
def read_next(context: Context) -> None:
    directory = next(iter(context.fleet.directories.values()))
    directory.apply(_config(2))


@then('it is in force on all of them after {count:d} calls at most')
def check_spread(context: Context, count: int) -> None:
    with Timeout(LIMIT_S, AssertionError('some nodes do not have it')):
        while not context.fleet.is_in_force(2):
            eventlet.sleep(0)
    before = -1
    while before != context.fleet.call_count:
        before = context.fleet.call_count
        eventlet.sleep(0)
    assert before <= count, before


@given('{size:d} nodes whose watches of the store have fallen silent')
def make_blind_fleet(context: Context, size: int) -> None:
    make_fleet(context, size)
    context.store = _Store()
    context.doors = {}
    fleet, clock = context.fleet, Clock()
    for name, directory in fleet.directories.items():
        directory.config_monitor.record_confirmed(FROM_STORE, clock.now_ms())
        links: Any = _Links(name, fleet)
        context.doors[name] = ConfigFreshness(
            name,
            FleetView(directory, SealRegistry()),
            context.store.view_of(name),
            links,
            fleet.dispatchers[name],
            clock,
            LIMIT_MS,
        )


@given('the store {deed} the calls of {trouble}')
def reject_some(context: Context, deed: str, trouble: str) -> None:
    context.store.is_silent = deed == 'is silent to'
    names = list(context.doors)
    roots = [rendezvous_order(tree, names)[0] for tree in TREES]
    context.store.rejected = {
        'nobody': set(),
        'the first root': {roots[0]},
        'both roots': set(roots),
        'a third': set(names[::3]),
        'six, with both roots': {*roots, *names[:4]},
    }[trouble]


def _ask_door(context: Context, name: NodeName, until_ms: int) -> None:
    directory, clock = context.fleet.directories[name], Clock()
    while clock.now_ms() < until_ms:
        context.doors[name].ensure_recent(LIMIT_MS)
        decided = clock.now_ms(), directory.config.generation
        context.decisions.append(decided)
        context.ages_ms.append(directory.config_monitor.confirmed_age_ms)
        eventlet.sleep(_DOOR_PAUSE_S)


@when(
    'callers ask all doors for {span_ms:d} ms, and the configuration is '
    'replaced after {after_ms:d} ms'
)
def ask_and_replace(context: Context, span_ms: int, after_ms: int) -> None:
    clock = Clock()
    context.decisions, context.ages_ms = [], []
    pool = eventlet.GreenPool()
    for name in context.doors:
        pool.spawn_n(_ask_door, context, name, clock.now_ms() + span_ms)
    eventlet.sleep(after_ms / MS_PER_SECOND)
    context.store.stored = _config(2)
    context.replaced_ms = clock.now_ms()
    pool.waitall()


@then('from {since_ms:d} ms after that on each door has decided by the new one')
def check_decisions(context: Context, since_ms: int) -> None:
    late = [
        at_ms - context.replaced_ms
        for at_ms, generation in context.decisions
        if generation == 1 and at_ms - context.replaced_ms > since_ms
    ]
    assert not late, (len(late), max(late))


@then('no proof was older than {limit_ms:d} ms')
def check_ages(context: Context, limit_ms: int) -> None:
    assert min(context.ages_ms) >= 0, min(context.ages_ms)
    assert max(context.ages_ms) <= limit_ms, max(context.ages_ms)


@then('the store was asked at most {count:d} times')
def check_store_calls(context: Context, count: int) -> None:
    assert 1 <= context.store.call_count <= count, context.store.call_count


@given('a simulated fleet of {size:d} nodes that is "{load}"')
def simulate_fleet(context: Context, size: int, load: str) -> None:
    context.load = next(each for each in LOADS if each.name == load)
    context.fleet = Fleet(size)


@when('{count:d} configurations are spread in it')
def spread(context: Context, count: int) -> None:
    context.times_ms = slowest_times_ms(
        context.fleet, context.load, is_passed_on=True, seeds=count
    )


@then('the slowest node has each of them within {limit_ms:d} ms')
def check_slowest(context: Context, limit_ms: int) -> None:
    assert context.times_ms[-1] <= limit_ms, context.times_ms
