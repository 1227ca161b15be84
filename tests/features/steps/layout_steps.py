"""Steps about keys, shards and splits."""

from collections import Counter
from collections.abc import Set
from dataclasses import replace
from itertools import chain
from random import Random

from behave import given, then, when
from behave.runner import Context

from laburnumwood.placement.layout import (
    key_ranges,
    locate,
    locate_text_key,
    split_shard_number,
)
from laburnumwood.placement.move_policy import PlacementSnapshot
from laburnumwood.placement.sharding import KEY_SPACE, initial_shard
from laburnumwood.placement.splitting import Splitter, hot_parts
from laburnumwood.records import KeyRange, NodeName, ShardRecord
from tests.features.steps.fake_clock import FakeClock
from tests.features.steps.report_steps import SERVICE

SLOTS = 10
ONE, TWO = NodeName('a', 1), NodeName('b', 1)


def _records(context: Context) -> dict[int, ShardRecord]:
    if not hasattr(context, 'records'):
        context.records = {
            number: ShardRecord(1, (ONE,)) for number in range(SERVICE.shards)
        }
    found: dict[int, ShardRecord] = context.records
    return found


def _split(context: Context, parent: int, keys: KeyRange) -> None:
    records = _records(context)
    before = records[parent]
    records[parent] = ShardRecord(
        2, (ONE,), keys=before.keys, split_off=(*before.split_off, keys)
    )
    records[split_shard_number(keys)] = ShardRecord(2, (TWO,), keys=keys)


@when('the keys {first:d} to {last:d} are split off shard {number:d}')
def split_base(context: Context, first: int, last: int, number: int) -> None:
    _split(context, number, KeyRange(first, last))


@when('the keys {first:d} to {last:d} are split off the shard of {key:d}')
def split_again(context: Context, first: int, last: int, key: int) -> None:
    parent = _shard_of(context, key)
    _split(context, parent, KeyRange(first, last))


def _shard_of(context: Context, key: int) -> int:
    base = initial_shard(str(key), SERVICE)
    return locate_text_key(str(key), base, _records(context))


@then('each key is only in the ranges of the shard that it is mapped to')
def check_partition(context: Context) -> None:
    seen: dict[int, int] = {}
    for number, record in _records(context).items():
        for keys in key_ranges(number, record, SERVICE):
            for key in range(keys.first, keys.last + 1):
                assert key not in seen, (key, number, seen[key])
                seen[key] = number
    assert len(seen) == KEY_SPACE
    for key in range(0, KEY_SPACE, 7):
        assert _shard_of(context, key) == seen[key], key


@then(
    'the keys {first:d} to {last:d} are in shard {number:d}, '
    'the keys {second:d} to {end:d} in shard {other:d}'
)
def check_neighbours(context: Context, **found: int) -> None:
    for key in range(found['first'], found['last'] + 1):
        assert _shard_of(context, key) == found['number']
    for key in range(found['second'], found['end'] + 1):
        assert _shard_of(context, key) == found['other']


@then(
    'the keys {first:d} to {last:d} have a shard of their own, '
    'and {second:d} to {end:d} another one'
)
def check_split(context: Context, **found: int) -> None:
    own = {
        _shard_of(context, key)
        for key in range(found['first'], found['last'] + 1)
    }
    other = {
        _shard_of(context, key)
        for key in range(found['second'], found['end'] + 1)
    }
    assert len(own) == 1 and len(other) == 1 and own != other
    assert min(own | other) >= SERVICE.shards
    assert locate(found['first'], 1, _records(context)) in own


@when('keys are requested as often as {counts}')
def set_counts(context: Context, counts: str) -> None:
    pairs = (each.split(':') for each in counts.split())
    context.counts = {int(key): float(count) for key, count in pairs}


@then('{wanted} is to be split off shard {number:d}')
def check_half(context: Context, wanted: str, number: int) -> None:
    found = hot_parts(key_ranges(number, None, SERVICE), context.counts, 2)
    found_ranges = [f'{keys.first} to {keys.last}' for keys in found] or [
        'nothing'
    ]
    assert found_ranges == [wanted], found_ranges


@then('of {pieces:d} pieces {wanted} are to be split off shard {number:d}')
def check_parts(
    context: Context, pieces: int, wanted: str, number: int
) -> None:
    ranges = key_ranges(number, None, SERVICE)
    found = hot_parts(ranges, context.counts, pieces)
    found_ranges = [f'{keys.first} to {keys.last}' for keys in found]
    assert found_ranges == wanted.split(', '), found_ranges


@given('nodes "a" and "b" whose slots are busy by {own:g} and {other:g}')
def set_utilizations(context: Context, own: float, other: float) -> None:
    context.utilizations = own, other


@given('a shard of "a" that keeps {heaviest:g} of its slots busy')
def set_heaviest(context: Context, heaviest: float) -> None:
    own, other = context.utilizations
    context.snapshot = PlacementSnapshot(
        own=ONE,
        shards_by_node={ONE: (7, 10, 11, 12, 13), TWO: (9,)},
        slots={ONE: SLOTS, TWO: SLOTS},
        loads={
            7: heaviest * SLOTS,
            **dict.fromkeys(range(10, 14), (own - heaviest) / 4 * SLOTS),
            9: other * SLOTS,
        },
    )


@when('"a" can use a fifth of its slots, with a fifth of the load')
def limit_owner(context: Context) -> None:
    loads = context.snapshot.loads
    context.snapshot = replace(
        context.snapshot,
        slots={ONE: SLOTS / 5, TWO: SLOTS},
        loads={
            shard: load if shard == 9 else load / 5
            for shard, load in loads.items()
        },
    )


@then('the shard to split off is {number:d}')
def check_choice(context: Context, number: int) -> None:
    splitter = Splitter(FakeClock())
    found, targets = splitter.choose_shard(context.snapshot, 0)
    assert found == number, found
    assert targets == (TWO,) * (number >= 0), targets
    splitter.record_split()
    assert splitter.choose_shard(context.snapshot, 0)[0] == -1


def _overloaded_snapshot(
    own: int, count: int, empty: int, peers: Set[NodeName] | None
) -> PlacementSnapshot:
    """Return the snapshot of a node; the last `empty` have no shards."""
    names = [NodeName(f'node-{number}', 1) for number in range(count)]
    busy = count - empty
    return PlacementSnapshot(
        own=names[own],
        shards_by_node={
            name: (number,) if number < busy else ()
            for number, name in enumerate(names)
        },
        reporting_peers=peers,
        slots=dict.fromkeys(names, SLOTS),
        loads=dict.fromkeys(range(busy), 1.2 * SLOTS),
    )


@given(
    '{count:d} nodes that are overloaded by one shard each, '
    'but {empty:d} without a shard'
)
def set_overload(context: Context, count: int, empty: int) -> None:
    context.count, context.empty = count, empty


@given('each of them knows the load of {known:d} others')
def set_known(context: Context, known: int) -> None:
    chance = Random(1)
    context.snapshots = []
    for own in range(context.count - context.empty):
        others = [other for other in range(context.count) if other != own]
        peers = {
            NodeName(f'node-{other}', 1)
            for other in chance.sample(others, known)
        }
        context.snapshots.append(
            _overloaded_snapshot(own, context.count, context.empty, peers)
        )


@when('all of them choose at once what to split off and the target nodes')
def choose_all(context: Context) -> None:
    context.chosen = [
        Splitter(FakeClock()).choose_shard(snapshot, 0)[1]
        for snapshot in context.snapshots
    ]


@then('no node is chosen by more than {most:d} of them')
def check_choosers(context: Context, most: int) -> None:
    choosers = Counter(chain.from_iterable(map(set, context.chosen)))
    assert choosers, context.chosen
    assert max(choosers.values()) <= most, choosers


@then('parts go only to nodes whose load the owner knows')
def check_known(context: Context) -> None:
    for snapshot, targets in zip(
        context.snapshots, context.chosen, strict=True
    ):
        assert set(targets) <= snapshot.reporting_peers, targets


@given('a service of {count:d} nodes of which one is overloaded')
def set_one_overloaded(context: Context, count: int) -> None:
    context.snapshot = _overloaded_snapshot(0, count, count - 1, None)


@then('it splits while {most:d} ranges are split off, but not with more')
def check_most(context: Context, most: int) -> None:
    splitter = Splitter(FakeClock())
    assert splitter.choose_shard(context.snapshot, most)[1]
    assert not splitter.choose_shard(context.snapshot, most + 1)[1]
