"""Steps about the indexes of a directory and a view of the fleet."""

from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from bench.spreading import record_of
from laburnumwood.membership.directory import Directory
from laburnumwood.records import (
    NodeName,
    NodeRecord,
    ShardName,
    ShardRecord,
    StoredObject,
)
from laburnumwood.store.objects import (
    node_object_name,
    shard_object_name,
    to_value,
)
from laburnumwood.store.versions import make_version
from tests.features.steps.counting_view import CountingView

SERVICE = 'service'


def _name(node_id: str) -> NodeName:
    return NodeName(node_id, 1)


def _put_shard(directory: Directory, number: int, nodes: list[str]) -> None:
    record = ShardRecord(1, tuple(map(_name, nodes)))
    _put(directory, number, to_value(record))


def _put(
    directory: Directory, number: int, value: dict[str, object] | None
) -> None:
    version = directory.change_count + 1
    name = shard_object_name(ShardName(SERVICE, number))
    directory.apply(StoredObject(name, value, version))


def _put_node(directory: Directory, record: NodeRecord, place: int) -> None:
    name, version = node_object_name(f'n{place}'), directory.change_count + 1
    directory.apply(StoredObject(name, to_value(record), version))


@given('a directory with the shards "{first}" and "{second}" and "{third}"')
def make_directory(
    context: Context, first: str, second: str, third: str
) -> None:
    context.directory = Directory()
    for text in (first, second, third):
        number, *nodes = text.split()
        _put_shard(context.directory, int(number), nodes)


@when('the record of shard {number:d} lists "{nodes}"')
def change_succession(context: Context, number: int, nodes: str) -> None:
    _put_shard(context.directory, number, nodes.split())


@when('the record of shard {number:d} is deleted')
def delete(context: Context, number: int) -> None:
    _put(context.directory, number, None)


@then('the shards that list "{node}" are "{numbers}"')
def check_listed(context: Context, node: str, numbers: str) -> None:
    found = context.directory.shards_listing(_name(node))
    wanted = tuple(ShardName(SERVICE, int(each)) for each in numbers.split())
    assert found == wanted, found


@given('a view of {count:d} nodes that has computed which are live')
def make_view_with_live_nodes(context: Context, count: int) -> None:
    context.view = CountingView(Directory())
    for place in range(count):
        _put_node(context.view.directory, record_of(place), place)
    assert len(tuple(context.view.live_nodes())) == count
    context.view.check_count = 0


@when('the records of {count:d} shards arrive')
def put_shards(context: Context, count: int) -> None:
    for number in range(count):
        _put_shard(context.view.directory, number, ['n0', 'n1'])


@then('its nodes were not checked again')
def check_not_checked(context: Context) -> None:
    assert tuple(context.view.live_nodes())
    assert not context.view.check_count, context.view.check_count


@when('a node has ended')
def end_node(context: Context) -> None:
    record = replace(record_of(0), open_incarnations=())
    _put_node(context.view.directory, record, 0)


@then('it lists {count:d} live nodes')
def check_live(context: Context, count: int) -> None:
    found = tuple(context.view.live_nodes())
    assert len(found) == count, found


def _shard_of_era(epoch: int, era: int) -> dict[str, object]:
    return to_value(ShardRecord(epoch, (_name('n1'),), era=era))


@given(
    'a directory that has listed shard {number:d} with epoch {epoch:d} in era 2'
)
def list_in_new_era(context: Context, number: int, epoch: int) -> None:
    context.directory = Directory()
    name = shard_object_name(ShardName(SERVICE, number))
    written, condition = make_version(1, 5), make_version(2, 5)
    stored = StoredObject(name, _shard_of_era(epoch, 1), written, condition)
    context.directory.apply_listing([stored], make_version(2, 9), '')
    assert not context.directory.forgotten


@when('a peer tells shard {number:d} with epoch {epoch:d} of era 1')
def tell_shard(context: Context, number: int, epoch: int) -> None:
    name = shard_object_name(ShardName(SERVICE, number))
    value = _shard_of_era(epoch, 1)
    assert context.directory.apply(
        StoredObject(name, value, make_version(1, 7))
    )


@then('shard {number:d} is one that the store has forgotten')
def check_forgotten(context: Context, number: int) -> None:
    name = shard_object_name(ShardName(SERVICE, number))
    assert context.directory.forgotten == {name}
    stored = context.directory.stored_object(name)
    assert stored.write_condition == make_version(2, 5), stored
