"""Steps about shards without an owner."""

from collections import Counter
from dataclasses import replace

from behave import given, then
from behave.runner import Context

from bench.spreading import record_of
from laburnumwood.placement.succession import (
    choose_claimant,
    find_restarted_owner,
)
from laburnumwood.records import (
    NodeName,
    NodeRecord,
    ShardName,
    ShardRecord,
)


def _record(incarnation: int) -> NodeRecord:
    return replace(
        record_of(0),
        incarnation=incarnation,
        open_incarnations=(incarnation,),
        witness_as=incarnation,
    )


@given('the nodes "{first}", "{second}" and "{third}" serve')
def set_nodes(context: Context, first: str, second: str, third: str) -> None:
    names = [NodeName.parse(each) for each in (first, second, third)]
    context.nodes = {name: _record(name.incarnation) for name in names}


@given(
    'every shard of {count:d} was owned by "{owner}" with the successors '
    '"{second}" and "{third}"'
)
def set_owner(
    context: Context, count: int, owner: str, second: str, third: str
) -> None:
    names = [NodeName.parse(each) for each in (owner, second, third)]
    record = ShardRecord(1, tuple(names))
    context.records = dict.fromkeys(range(count), record)


@given('{count:d} shards without a record')
def set_none(context: Context, count: int) -> None:
    context.records = dict.fromkeys(range(count))


def _claimants(context: Context) -> Counter[NodeName]:
    return Counter(
        choose_claimant(ShardName('s', number), record, context.nodes)
        for number, record in context.records.items()
    )


@then('each of them is to be claimed by "{name}"')
def check_back(context: Context, name: str) -> None:
    claimants = _claimants(context)
    assert set(claimants) == {NodeName.parse(name)}, claimants


@then('each node is to claim {count:d} of them')
def check_even(context: Context, count: int) -> None:
    claimants = _claimants(context)
    assert claimants == dict.fromkeys(context.nodes, count), claimants


@given('"{name}" runs in the same process as "{before}" did')
def keep_process(context: Context, name: str, before: str) -> None:
    known = NodeName.parse(name)
    first = NodeName.parse(before).incarnation
    record = replace(context.nodes[known], witness_as=first)
    context.nodes[known] = record


@then('it is given back to "{owner}"')
def check_given_back(context: Context, owner: str) -> None:
    found = find_restarted_owner(context.records[0], context.nodes)
    assert str(found).lower() == owner, found
