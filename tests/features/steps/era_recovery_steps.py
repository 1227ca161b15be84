"""Steps about fleets that write back what a store has forgotten."""

from contextlib import suppress
from dataclasses import replace
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from bench.spreading import record_of
from laburnumwood.errors import PlatformConflictError, PlatformError
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.cached_store import CachedStore
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.eras.proxy import EraProxy
from laburnumwood.membership.eras.recovery import EraRecovery
from laburnumwood.membership.memory_exchange import MemoryExchange
from laburnumwood.membership.node_records import join, record_witness_sets
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.ownership_tracker import OwnershipTracker
from laburnumwood.protocol.codec import decode, encode
from laburnumwood.protocol.peers import Dispatcher
from laburnumwood.records import (
    NodeName,
    ShardName,
    ShardRecord,
    StoredObject,
    WitnessSet,
)
from laburnumwood.settings import DaemonSettings, LeaseSettings
from laburnumwood.store.objects import (
    node_object_name,
    shard_object_name,
    to_value,
)
from laburnumwood.store.versions import first_number, make_version
from laburnumwood.store.writes import write
from tests.features.steps.fake_clock import FakeClock
from tests.ownership.store import FakeStore, StoreContents
from tests.ownership.world import node_settings

SERVICE = 'service'
SHARDS_PER_NODE = 3
REVIEW_MS = 200


class _CountingStore(FakeStore):
    """A client whose calls are counted together with those of others."""

    def __init__(self, backing: StoreContents, calls: list[str]) -> None:
        super().__init__(backing)
        self._made_calls = calls

    def get(self, name: str) -> StoredObject | None:
        """Count the call and return an object."""
        self._made_calls.append(f'get {name}')
        return super().get(name)

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Count the call and return all objects."""
        self._made_calls.append('list')
        return super().list(prefix)

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Count the call and create an object."""
        self._made_calls.append(f'create {name}')
        return super().create(name, value)

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Count the call and replace an object."""
        self._made_calls.append(f'update {name}')
        return super().update(name, value, version)


class _HeldLease:
    """A lease that is held."""

    def __init__(self, holder: NodeName) -> None:
        self.holder = holder

    active_sets = ()

    def is_held(self) -> bool:
        """Return that it is held."""
        return True


class _Node:
    """What a node keeps of the store, and its recovery."""

    def __init__(self, store: FakeStore, settings: DaemonSettings) -> None:
        self.store = store
        self.name = join(store, settings)[0]
        self.directory = Directory()
        self.cached_store = CachedStore(store, self.directory)
        self.read()
        chosen = WitnessSet(1, (self.name,))
        record_witness_sets(self.cached_store, self.name, (chosen,))

    def read(self) -> None:
        """Read all objects of the store."""
        objects, version = self.cached_store.list()
        self.directory.apply_listing(objects, version, '')
        self.directory.revision = version

    def start_recovery(self, clock: FakeClock, peers: '_DirectPeers') -> None:
        """Begin to review eras, alone and with other nodes."""
        lease: Any = _HeldLease(self.name)
        parts = (
            lease,
            Witness(self.name, LeaseSettings(), clock),
            FleetView(self.directory, SealRegistry()),
            self.cached_store,
            clock,
        )
        self._recovery = EraRecovery(*parts)
        untyped_peers: Any = peers
        self._exchange = MemoryExchange(
            EraProxy(*parts),
            lambda: self.directory.era,
            untyped_peers,
            peers.dispatchers.setdefault(self.name, Dispatcher()),
        )

    def hear(self, backing: StoreContents) -> None:
        """Apply what the watch of the store, or another node, has told."""
        if self.directory.era == backing.era:
            for stored in backing.all_objects():
                self.directory.apply(stored)

    def review(self) -> None:
        """Do what is due, as the tasks of the node would."""
        with suppress(PlatformError):
            self._recovery.review()
        self._exchange.review()


class _RecordedAnswer:
    """A stream on which an answer was sent."""

    def __init__(self) -> None:
        self.message: Any = None

    def send(self, message: Any) -> None:
        """Record the answer."""
        self.message = message

    def close(self) -> None:
        """Do nothing: there is no connection."""


class _DirectPeers:
    """Calls the handlers of other nodes without links."""

    def __init__(self) -> None:
        self.dispatchers: dict[NodeName, Dispatcher] = {}

    def call(self, name: NodeName, message: Any, _timeout_ms: int) -> Any:
        """Return the answer of a node to a message, as it is sent."""
        stream: Any = _RecordedAnswer()
        link: Any = None
        request = decode(encode(1, message))[1]
        self.dispatchers[name].handle(link, stream, request)
        return decode(encode(1, stream.message))[1]


def _settings(place: int) -> DaemonSettings:
    return node_settings('a').model_copy(update={'node_id': f'n{place}'})


def _create_shards(node: _Node, place: int) -> None:
    for number in range(SHARDS_PER_NODE):
        shard = ShardName('s', place * SHARDS_PER_NODE + number)
        record = ShardRecord(1, (node.name,))
        write(node.cached_store, shard_object_name(shard), record, None)


def _read_all(nodes: list[_Node]) -> None:
    for node in nodes:
        node.read()


@given('{size:d} simulated nodes that have joined and own 3 shards each')
def start_nodes(context: Context, size: int) -> None:
    context.clock, context.calls = FakeClock(), []
    context.backing = StoreContents()
    context.nodes = [
        _Node(_CountingStore(context.backing, context.calls), _settings(place))
        for place in range(size)
    ]
    for place, node in enumerate(context.nodes):
        _create_shards(node, place)
    context.start_calls = len(context.calls)
    _read_all(context.nodes)  # as their watches would have told them
    peers = _DirectPeers()
    for node in context.nodes:
        node.start_recovery(context.clock, peers)
        node.review()


@given('the store turns node {place:d} away')
def turn_away(context: Context, place: int) -> None:
    context.nodes[place].store.is_refused = True


@when('the store comes back without the last {count:d} writes')
def forget(context: Context, count: int) -> None:
    context.before = {
        each.name: each.value for each in context.backing.all_objects()
    }
    context.backing.put_back(count)
    for node in context.nodes:
        node.cached_store.learn_era(context.backing.era)
    context.calls.clear()


@when('the nodes review the new era for {span_ms:d} ms')
def review(context: Context, span_ms: int) -> None:
    for _ in range(span_ms // REVIEW_MS):
        context.clock.pass_ms(REVIEW_MS)
        for node in context.nodes:
            node.review()
        eventlet.sleep(0)  # runs the tasks that ask other nodes


@when('the nodes watch the store and review the new era for {span_ms:d} ms')
def watch_and_review(context: Context, span_ms: int) -> None:
    for _ in range(span_ms // REVIEW_MS):
        for node in context.nodes:
            node.hear(context.backing)
        review(context, REVIEW_MS)


@then('all of them have confirmed the era, and the store has all records again')
def check_restored(context: Context) -> None:
    found = {each.name: each.value for each in context.backing.all_objects()}
    assert found.keys() == context.before.keys()
    for node in context.nodes:
        record = found[f'nodes/{node.name.node_id}']
        assert record['confirmed_era'] == context.backing.era, record
        assert record['incarnation'] == node.name.incarnation, record
    epochs = {name: each.get('epoch') for name, each in found.items()}
    wanted = {name: each.get('epoch') for name, each in context.before.items()}
    assert epochs == wanted


@then('that took at most {ratio:d} times the calls of their start')
def check_calls(context: Context, ratio: int) -> None:
    print(f'{len(context.calls)} calls, {context.start_calls} at the start')
    assert len(context.calls) <= ratio * context.start_calls


@given('a node of era {era:d} of the store, and a shard whose owner has ended')
def make_heir(context: Context, era: int) -> None:
    directory, context.clock = Directory(), FakeClock()
    own = NodeName('n0', 2)
    record = replace(
        record_of(0),
        service=SERVICE,
        incarnation=own.incarnation,
        open_incarnations=(own.incarnation,),
        witness_as=own.incarnation,
        era=era,
        confirmed_era=era,
    )
    ended = NodeName(own.node_id, own.incarnation - 1)
    shard = ShardRecord(1, (ended,), shards=1, epoch_era=era - 1)
    values = {
        node_object_name(own.node_id): to_value(record),
        shard_object_name(ShardName(SERVICE, 0)): to_value(shard),
    }
    for revision, (name, value) in enumerate(values.items(), start=1):
        version = make_version(era, revision)
        directory.apply(StoredObject(name, value, version))
    directory.learn_era(era)
    lease: Any = _HeldLease(own)
    view = FleetView(directory, SealRegistry())
    context.ownership = OwnershipTracker(
        SERVICE, view, lease, HeldShards(), context.clock
    )
    assert not context.ownership.shards_to_write()
    assert context.ownership.is_settled
    context.version = context.ownership.version


@when('{passed_ms:d} ms pass in which nothing is told')
def pass_in_silence(context: Context, passed_ms: int) -> None:
    context.clock.pass_ms(passed_ms)


@then('the node is told to look at its shards again, and writes that shard')
def check_looks_again(context: Context) -> None:
    ownership = context.ownership
    assert ownership.version != context.version
    assert ownership.shards_to_write() == [ShardName(SERVICE, 0)]


@when('the record of node {place:d} is replaced by one of unknown form')
def corrupt_record(context: Context, place: int) -> None:
    node_id = context.nodes[place].name.node_id
    context.backing.corrupt(node_object_name(node_id))
    context.calls.clear()


@then(
    'a change of its record by node {place:d} is refused after at most '
    '{count:d} calls'
)
def check_refused(context: Context, place: int, count: int) -> None:
    node = context.nodes[place]
    chosen = WitnessSet(2, (node.name,))
    try:
        record_witness_sets(node.cached_store, node.name, (chosen,))
    except PlatformConflictError:
        assert len(context.calls) <= count, len(context.calls)
        return
    raise AssertionError('the record was written')


class _LateEraStore(FakeStore):
    """A client that learns the era from the answers to its writes only."""

    def get(self, name: str) -> StoredObject | None:
        """Return an object, and learn no era."""
        return self.backing.found(name)


@given('a store in era {era:d} that names its era only in answers to writes')
def make_late_era_store(context: Context, era: int) -> None:
    backing = StoreContents()
    backing.era = era
    context.store = _LateEraStore(backing)


@when('a node joins')
def join_node(context: Context) -> None:
    context.joined = join(context.store, node_settings('a'))[0]


@then('its incarnation is one of era {era:d}')
def check_incarnation(context: Context, era: int) -> None:
    assert context.joined.incarnation >= first_number(era), context.joined
