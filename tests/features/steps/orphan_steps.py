"""Steps about shards that belong to nobody."""

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


def _heirs(context: Context) -> Counter[NodeName]:
    return Counter(
        choose_claimant(ShardName('s', number), record, context.nodes)
        for number, record in context.records.items()
    )


@then('each of them goes to "{name}" first')
def check_back(context: Context, name: str) -> None:
    heirs = _heirs(context)
    assert set(heirs) == {NodeName.parse(name)}, heirs


@then('each node is first for {count:d} of them')
def check_even(context: Context, count: int) -> None:
    heirs = _heirs(context)
    assert heirs == dict.fromkeys(context.nodes, count), heirs


@given('the process of "{name}" is the one that "{before}" had')
def keep_process(context: Context, name: str, before: str) -> None:
    known = NodeName.parse(name)
    first = NodeName.parse(before).incarnation
    record = replace(context.nodes[known], witness_as=first)
    context.nodes[known] = record


@then('it goes home to "{home}"')
def check_home(context: Context, home: str) -> None:
    found = find_restarted_owner(context.records[0], context.nodes)
    assert str(found).lower() == home, found
