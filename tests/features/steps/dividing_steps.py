"""Steps about the division of a service into shards by its first nodes."""

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
from laburnumwood.placement.balance import Move
from laburnumwood.placement.balancer import Balancer
from laburnumwood.placement.holdings import HeldShards
from laburnumwood.placement.layout import key_ranges
from laburnumwood.placement.loads import LoadReports
from laburnumwood.placement.meter import LoadMeter
from laburnumwood.placement.shard_write import WriteProgress
from laburnumwood.placement.sharding import KEY_SPACE, initial_shard
from laburnumwood.placement.tenure import OwnershipTracker
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
    CONFIG,
    SHARDS,
    node_object,
    shard_object,
    to_record,
    to_value,
)
from tests.features.steps.fake_clock import FakeClock

SERVICE = 'service'
_TURN_MS = 200
_SOME_KEYS = 7  # between the ranges that are looked at
_RANGE_BYTES = 11  # of a range in an answer to a worker
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
    """A lease that holds from the start."""

    def is_held(self) -> bool:
        """Tell that it holds."""
        return True


class _Beginner:
    """A node of the service that writes the records it finds wanted."""

    def __init__(self, name: NodeName, clock: FakeClock) -> None:
        self.view = FleetView(Directory(), SealRegistry())
        lease = _HeldLease(name, LeaseSettings(), clock)
        self.ownership = OwnershipTracker(
            SERVICE, self.view, lease, HeldShards(), clock
        )

    def hear(self, objects: dict[str, StoredObject]) -> None:
        """Take in what the store holds."""
        for stored in objects.values():
            self.view.directory.apply(stored)


class _Fleet:
    """Nodes that write to one store and hear of each other's writes."""

    def __init__(self, deaf_ms: int) -> None:
        self.clock = FakeClock()
        self.objects: dict[str, StoredObject] = {}
        self.nodes: list[_Beginner] = []
        self._hears_from_ms = self.clock.now_ms() + deaf_ms
        config = to_value(ConfigRecord(1, {'team': _DECLARED}))
        self._put(CONFIG, config)

    def add(self, count: int) -> None:
        """Let nodes join."""
        for _ in range(count):
            place = len(self.nodes)
            name = NodeName(f'n{place}', 1)
            record = replace(record_of(place), service=SERVICE, witness_as=1)
            self._put(node_object(name.node_id), to_value(record))
            node = _Beginner(name, self.clock)
            node.hear({CONFIG: self.objects[CONFIG]})
            own = node_object(name.node_id)
            node.hear({own: self.objects[own]})
            self.nodes.append(node)

    def turn(self) -> None:
        """Let each node hear the news and write what it wants."""
        self.clock.pass_ms(_TURN_MS)
        if self.clock.now_ms() >= self._hears_from_ms:
            known = dict(self.objects)
            for node in self.nodes:
                node.hear(known)
        for node in self.nodes:
            for shard in node.ownership.shards_to_write():
                self._write(node, shard)

    def bring(self, shard: ShardName, record: ShardRecord) -> None:
        """Let the store hold a record from before."""
        self._put(shard_object(shard), to_value(record))

    def records(self) -> dict[int, ShardRecord]:
        """Return the records of the service's shards."""
        return {
            ShardName.parse(name.removeprefix(SHARDS)).number: to_record(
                ShardRecord, stored
            )
            for name, stored in self.objects.items()
            if name.startswith(SHARDS)
        }

    def _write(self, node: _Beginner, shard: ShardName) -> None:
        write = node.ownership.begin_write(shard)
        name = shard_object(shard)
        if name in self.objects and write.version is None:
            node.ownership.finish(write, WriteProgress.CONFLICT)
            node.hear({name: self.objects[name]})
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


@given('{count:d} nodes that begin together')
def begin(context: Context, count: int) -> None:
    context.fleet = _Fleet(0)
    context.fleet.add(count)


@given(
    '{count:d} nodes that begin together and hear of each other after '
    '{span_ms:d} ms'
)
def begin_deaf(context: Context, count: int, span_ms: int) -> None:
    context.fleet = _Fleet(span_ms)
    context.fleet.add(count)


@when('{span_s:d} s pass for them')
def let_pass(context: Context, span_s: int) -> None:
    for _ in range(span_s * 1_000 // _TURN_MS):
        context.fleet.turn()


@when('{count:d} more nodes come')
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


@then('all records are of one division')
def check_one(context: Context) -> None:
    records = context.fleet.records()
    divisions = {record.shards for record in records.values()}
    assert len(divisions) == 1, divisions
    assert sorted(records) == list(range(divisions.pop())), len(records)


@given(
    '{count:d} nodes whose service was divided into {shards:d} shards of '
    '{width:d} keys a stripe'
)
def begin_divided(
    context: Context, count: int, shards: int, width: int
) -> None:
    begin(context, count)
    # The first programs that divided a service put no width on record.
    assert _DECLARED['services'][SERVICE]['stripe_width'] == width
    first = ShardRecord(1, (NodeName('n0', 1),), shards=shards)
    context.fleet.bring(ShardName(SERVICE, 0), first)


@then('the keys 0 to {last:d} are of one shard and the next of another')
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
    for first in range(0, KEY_SPACE - count, _SOME_KEYS):
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


@then('each key of the service is placed in the shard that has it')
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


def _make_balancer(node: _Beginner, clock: FakeClock) -> Balancer:
    return Balancer(
        SERVICE,
        node.ownership.own,
        node.view,
        LoadMeter(1_000, clock),
        LoadReports(clock),
        PlacementSettings(),
        clock,
    )


@when('a node that owns {own:d} shards hears of {heard:d} of the {count:d}')
def hear_some(context: Context, own: int, heard: int, count: int) -> None:
    fleet: _Fleet = context.fleet
    name = fleet.nodes[0].ownership.own
    records = fleet.records()
    assert len(records) == count, len(records)
    mine = [each for each in records if records[each].succession[0] == name]
    assert len(mine) == own, mine
    others = [each for each in records if each not in mine]
    told = {
        shard_object(ShardName(SERVICE, number))
        for number in (mine + others)[:heard]
    }
    context.node = _Beginner(name, fleet.clock)
    context.node.hear(
        {
            known: stored
            for known, stored in fleet.objects.items()
            if not known.startswith(SHARDS) or known in told
        }
    )


def _moves(context: Context) -> tuple[Move, ...]:
    """Return the moves of the node once all nodes have been there a while."""
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


@when('an owner is lost and one node follows it in {least:d} shards at least')
def lose_owner(context: Context, least: int) -> None:
    fleet: _Fleet = context.fleet
    pairs = Counter(
        record.succession[:2] for record in fleet.records().values()
    )
    (lost, heir), _ = pairs.most_common(1)[0]
    context.node = _Beginner(heir, fleet.clock)
    context.node.hear(fleet.objects)
    witness = NodeName('witness', 1)
    sealed = (WitnessSet(1, (witness,)),)
    assert context.node.view.add_seal(Seal(lost, witness, sealed, {}))
    context.lent = {
        number
        for number, record in fleet.records().items()
        if record.succession[:2] == (lost, heir)
    }
    assert len(context.lent) >= least, context.lent


def _moved(context: Context) -> set[int]:
    return {move.shard for move in _moves(context)}


@then('it moves none of these')
def check_kept(context: Context) -> None:
    moved = _moved(context).intersection(context.lent)
    assert not moved, moved


@when('it has written itself first into their records')
def write_itself(context: Context) -> None:
    own = context.node.ownership.own
    for number in context.lent:
        name = shard_object(ShardName(SERVICE, number))
        before = context.fleet.objects[name]
        record = to_record(ShardRecord, before)
        after = replace(record, epoch=record.epoch + 1, succession=(own,))
        stored = StoredObject(name, to_value(after), before.version + 1_000)
        context.node.hear({name: stored})


@then('it moves one of these')
def check_given(context: Context) -> None:
    assert _moved(context).intersection(context.lent)
