"""Steps about ends of nodes whose witnesses are gone."""

from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from laburnumwood.errors import PlatformConflictError
from laburnumwood.leases.backless import Candidate, QuorumLossDetector
from laburnumwood.membership.joining import end_seen, join, record_witnesses
from laburnumwood.records import NodeName, NodeRecord, WitnessSet
from laburnumwood.settings import LeaseSettings
from laburnumwood.store.objects import node_object, to_record
from tests.features.steps.fake_clock import FakeClock
from tests.ownership.store import FakeStore
from tests.ownership.world import node_settings


def _names(text: str) -> tuple[NodeName, ...]:
    return tuple(NodeName(each, 1) for each in text.split())


def _is_due(context: Context) -> bool:
    gone = context.gone
    over = context.backless.expired((context.candidate,), gone.__contains__)
    return bool(over)


@given('a node on record with the witnesses "{names}"')
def make_node(context: Context, names: str) -> None:
    context.clock = FakeClock()
    context.backless = QuorumLossDetector(LeaseSettings(), context.clock)
    context.gone = frozenset()
    context.store = FakeStore()
    name, _ = join(context.store, node_settings('a'))
    sets = (WitnessSet(1, _names(names)),)
    record_witnesses(context.store, name, sets)
    stored = context.store.get(node_object('a'))
    record = to_record(NodeRecord, stored)
    context.candidate = Candidate(name, record, stored.version)


@given('it begins to change to the witnesses "{names}"')
def change_witnesses(context: Context, names: str) -> None:
    record = context.candidate.record
    sets = (*record.witness_sets, WitnessSet(2, _names(names)))
    context.candidate = replace(
        context.candidate, record=replace(record, witness_sets=sets)
    )


@when('the processes of "{names}" are followed by others')
def follow(context: Context, names: str) -> None:
    context.gone = frozenset(_names(names))


@when('its record is written again')
def write_again(context: Context) -> None:
    version = context.candidate.version + 1
    context.candidate = replace(context.candidate, version=version)


@then('its end is not due after {span:d} ms')
def check_not_due(context: Context, span: int) -> None:
    assert not _is_due(context)
    context.clock.pass_ms(span)
    context.waited_ms = span
    assert not _is_due(context)


@then('its end is due after {span:d} ms')
def check_due(context: Context, span: int) -> None:
    # The steps before have let time pass since the wait began.
    context.clock.pass_ms(span - context.waited_ms)
    assert _is_due(context)


@when('its end is written over a version that is not the newest')
def write_end(context: Context) -> None:
    found = context.candidate
    sets = (WitnessSet(2, _names('e f g')),)
    record_witnesses(context.store, found.name, sets)
    context.conflict = False
    try:
        end_seen(context.store, found.name, found.record, found.version)
    except PlatformConflictError:
        context.conflict = True


@then('that write meets a conflict and the node goes on')
def check_conflict(context: Context) -> None:
    assert context.conflict
    stored = context.store.get(node_object('a'))
    assert not to_record(NodeRecord, stored).has_ended(1)
