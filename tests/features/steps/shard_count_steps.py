"""Steps about the number of shards that the first nodes decide on."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from bench.spreading import record_of
from laburnumwood.config.declarations import Service
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.balancer import Balancer
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.layout import key_ranges
from laburnumwood.placement.load_reports import LoadReports
from laburnumwood.placement.meter import LoadMeter
from laburnumwood.placement.move_policy import Move
from laburnumwood.placement.ownership_tracker import OwnershipTracker
from laburnumwood.placement.shard_write import WriteProgress
from laburnumwood.placement.sharding import KEY_SPACE, initial_shard
from laburnumwood.records import (
    ConfigRecord,
    KeyRange,
    NodeName,
    Seal,
    ShardName,
    ShardRecord,
    StoredObject,
    WitnessSet,
)
from laburnumwood.settings import (
    LeaseSettings,
    PlacementSettings,
    ReportSettings,
)
from laburnumwood.store.objects import (
    CONFIG_NAME,
    SHARD_PREFIX,
    node_object_name,
    shard_object_name,
    to_record,
    to_value,
)
from tests.features.steps.fake_clock import FakeClock

SERVICE = 'service'
_TURN_MS = 200
_KEY_STEP = 7  # between the first keys of the ranges that are checked
_RANGE_BYTES = 11  # size of a range in an answer to a worker
_DECLARED = {
    'services': {
        SERVICE: {
            'key': {'source': 'header', 'name': 'Key'},
            'shards': 64,
            'shards_per_node': 3,
            'stripe_width': 64,
        }
    }
}


class _HeldLease(Lease):
    """A lease that is always held."""

    def is_held(self) -> bool:
        """Return True."""
        return True


class _Node:
    """A node of the service that writes the records that are due."""

    def __init__(self, name: NodeName, clock: FakeClock) -> None:
        self.view = FleetView(Directory(), SealRegistry())
        lease = _HeldLease(name, LeaseSettings(), clock)
        self.ownership = OwnershipTracker(
            SERVICE, self.view, lease, HeldShards(), clock
        )

    def receive(self, objects: dict[str, StoredObject]) -> None:
        """Apply stored objects to the node's directory."""
        for stored in objects.values():
            self.view.directory.apply(stored)


class _Fleet:
    """Nodes that write to one store and receive each other's writes."""

    def __init__(self, delay_ms: int) -> None:
        self.clock = FakeClock()
        self.objects: dict[str, StoredObject] = {}
        self.nodes: list[_Node] = []
        self._received_from_ms = self.clock.now_ms() + delay_ms
        config = to_value(ConfigRecord(1, {'team': _DECLARED}))
        self._put(CONFIG_NAME, config)

    def add(self, count: int) -> None:
        """Add nodes to the service."""
        for _ in range(count):
            place = len(self.nodes)
            name = NodeName(f'n{place}', 1)
            record = replace(record_of(place), service=SERVICE, witness_as=1)
            self._put(node_object_name(name.node_id), to_value(record))
            node = _Node(name, self.clock)
            node.receive({CONFIG_NAME: self.objects[CONFIG_NAME]})
            own = node_object_name(name.node_id)
            node.receive({own: self.objects[own]})
            self.nodes.append(node)

    def run_turn(self) -> None:
        """Let each node receive all objects and write the records due."""
        self.clock.pass_ms(_TURN_MS)
        if self.clock.now_ms() >= self._received_from_ms:
            known = dict(self.objects)
            for node in self.nodes:
                node.receive(known)
        for node in self.nodes:
            for shard in node.ownership.shards_to_write():
                self._write(node, shard)

    def put_record(self, shard: ShardName, record: ShardRecord) -> None:
        """Put an earlier record into the store."""
        self._put(shard_object_name(shard), to_value(record))

    def records(self) -> dict[int, ShardRecord]:
        """Return the records of the service's shards."""
        return {
            ShardName.parse(name.removeprefix(SHARD_PREFIX)).number: to_record(
                ShardRecord, stored
            )
            for name, stored in self.objects.items()
            if name.startswith(SHARD_PREFIX)
        }

    def _write(self, node: _Node, shard: ShardName) -> None:
        write = node.ownership.begin_write(shard)
        name = shard_object_name(shard)
        if name in self.objects and write.version is None:
            node.ownership.finish(write, WriteProgress.CONFLICT)
            node.receive({name: self.objects[name]})
            return
        write.stored = self._put(name, to_value(write.record))
        node.ownership.finish(write, WriteProgress.WRITTEN)

    def _put(self, name: str, value: dict[str, object]) -> StoredObject:
        stored = StoredObject(name, value, len(self.objects) + 1)
        self.objects[name] = stored
        return stored


def _service(context: Context) -> Service:
    directory = context.fleet.nodes[-1].view.directory
    found: Service = directory.declarations.services[SERVICE]
    return found


def _all_keys(keys: KeyRange) -> range:
    return range(keys.first, keys.last + 1)


def _owners_by_key(
    context: Context, owner_of: Callable[[int, ShardRecord], object]
) -> list[object]:
    service = _service(context)
    owners: dict[int, object] = {}
    for number, record in context.fleet.records().items():
        for keys in key_ranges(number, record, service):
            owner = owner_of(number, record)
            owners.update(dict.fromkeys(_all_keys(keys), owner))
    return [owners[key] for key in range(KEY_SPACE)]


@given('{count:d} nodes that start together')
def start(context: Context, count: int) -> None:
    context.fleet = _Fleet(0)
    context.fleet.add(count)


@given(
    '{count:d} nodes that start together and learn of each other after '
    '{span_ms:d} ms'
)
def start_separately(context: Context, count: int, span_ms: int) -> None:
    context.fleet = _Fleet(span_ms)
    context.fleet.add(count)


@when('{span_s:d} s pass for the nodes')
def let_pass(context: Context, span_s: int) -> None:
    for _ in range(span_s * 1_000 // _TURN_MS):
        context.fleet.run_turn()


@when('{count:d} more nodes join')
def add_nodes(context: Context, count: int) -> None:
    context.fleet.add(count)


@then('the service has {count:d} shards')
def check_count(context: Context, count: int) -> None:
    found = sorted(context.fleet.records())
    assert found == list(range(count)), found


@then('each node owns {least:d} of them at least and {most:d} at the most')
def check_shares(context: Context, least: int, most: int) -> None:
    records = context.fleet.records()
    owned = Counter(record.succession[0] for record in records.values())
    counts = [owned[node.ownership.own] for node in context.fleet.nodes]
    assert least <= min(counts) and max(counts) <= most, counts


@then('all records have the same number of shards')
def check_same_number(context: Context) -> None:
    records = context.fleet.records()
    numbers = {record.shards for record in records.values()}
    assert len(numbers) == 1, numbers
    assert sorted(records) == list(range(numbers.pop())), len(records)


@given(
    '{count:d} nodes whose service has {shards:d} recorded shards with '
    'stripes of {width:d} keys'
)
def start_with_records(
    context: Context, count: int, shards: int, width: int
) -> None:
    start(context, count)
    # Early versions of the program recorded no stripe width.
    assert _DECLARED['services'][SERVICE]['stripe_width'] == width
    first = ShardRecord(1, (NodeName('n0', 1),), shards=shards)
    context.fleet.put_record(ShardName(SERVICE, 0), first)


@then('the keys 0 to {last:d} are in one shard and the next key in another')
def check_stripes(context: Context, last: int) -> None:
    shards = _owners_by_key(context, lambda number, _record: number)
    first, other = set(shards[: last + 1]), shards[last + 1]
    assert len(first) == 1, first
    assert other not in first, other


@then('any {count:d} neighbouring keys belong to {least:d} nodes at least')
def check_owners(context: Context, count: int, least: int) -> None:
    owners = _owners_by_key(
        context, lambda _number, record: record.succession[0]
    )
    for first in range(0, KEY_SPACE - count, _KEY_STEP):
        found = set(owners[first : first + count])
        assert len(found) >= least, (first, found)


@then('the answers to {few:d} workers have room for all keys')
def check_room(context: Context, few: int) -> None:
    service = _service(context)
    ranges = sum(
        len(key_ranges(number, record, service))
        for number, record in context.fleet.records().items()
    )
    room = few * ReportSettings().most_bytes
    assert ranges * _RANGE_BYTES <= room, ranges


@then('each key of the service is mapped to the shard that has it')
def check_keys(context: Context) -> None:
    service = _service(context)
    seen: dict[int, int] = {}
    for number, record in context.fleet.records().items():
        for keys in key_ranges(number, record, service):
            seen.update(dict.fromkeys(range(keys.first, keys.last + 1), number))
    assert len(seen) == KEY_SPACE, len(seen)
    wrong = [
        key for key in seen if seen[key] != initial_shard(str(key), service)
    ]
    assert not wrong, wrong


def _make_balancer(node: _Node, clock: FakeClock) -> Balancer:
    return Balancer(
        SERVICE,
        node.ownership.own,
        node.view,
        LoadMeter(1_000, clock),
        LoadReports(clock),
        PlacementSettings(),
        clock,
    )


@when('a node that owns {own:d} shards knows {known:d} of the {count:d}')
def receive_some(context: Context, own: int, known: int, count: int) -> None:
    fleet: _Fleet = context.fleet
    name = fleet.nodes[0].ownership.own
    records = fleet.records()
    assert len(records) == count, len(records)
    mine = [each for each in records if records[each].succession[0] == name]
    assert len(mine) == own, mine
    others = [each for each in records if each not in mine]
    received = {
        shard_object_name(ShardName(SERVICE, number))
        for number in (mine + others)[:known]
    }
    context.node = _Node(name, fleet.clock)
    context.node.receive(
        {
            object_name: stored
            for object_name, stored in fleet.objects.items()
            if not object_name.startswith(SHARD_PREFIX)
            or object_name in received
        }
    )


def _moves(context: Context) -> tuple[Move, ...]:
    """Return the planned moves at once and after all nodes have settled."""
    clock: FakeClock = context.fleet.clock
    balancer = _make_balancer(context.node, clock)
    early = balancer.plan_moves({})
    clock.pass_ms(5_000)
    return early + balancer.plan_moves({})


@then('it moves nothing')
def check_none(context: Context) -> None:
    moves = _moves(context)
    assert not moves, moves


@then('it moves some')
def check_some(context: Context) -> None:
    assert _moves(context)


@when(
    'an owner is lost and one node takes over at least {least:d} of its shards'
)
def lose_owner(context: Context, least: int) -> None:
    fleet: _Fleet = context.fleet
    pairs = Counter(
        record.succession[:2] for record in fleet.records().values()
    )
    (lost, successor), _ = pairs.most_common(1)[0]
    context.node = _Node(successor, fleet.clock)
    context.node.receive(fleet.objects)
    witness = NodeName('witness', 1)
    sealed = (WitnessSet(1, (witness,)),)
    assert context.node.view.add_seal(Seal(lost, witness, sealed, {}))
    context.reclaimable = {
        number
        for number, record in fleet.records().items()
        if record.succession[:2] == (lost, successor)
    }
    assert len(context.reclaimable) >= least, context.reclaimable


def _moved(context: Context) -> set[int]:
    return {move.shard for move in _moves(context)}


@then('it moves none of these')
def check_kept(context: Context) -> None:
    moved = _moved(context).intersection(context.reclaimable)
    assert not moved, moved


@when('it has written records that name it as first owner')
def write_itself(context: Context) -> None:
    own = context.node.ownership.own
    for number in context.reclaimable:
        name = shard_object_name(ShardName(SERVICE, number))
        before = context.fleet.objects[name]
        record = to_record(ShardRecord, before)
        after = replace(record, epoch=record.epoch + 1, succession=(own,))
        stored = StoredObject(name, to_value(after), before.version + 1_000)
        context.node.receive({name: stored})


@then('it moves one of these')
def check_moved(context: Context) -> None:
    assert _moved(context).intersection(context.reclaimable)
