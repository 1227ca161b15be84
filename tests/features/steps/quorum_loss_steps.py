"""Steps about the end of incarnations whose witnesses are gone."""

from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from laburnumwood.errors import PlatformConflictError
from laburnumwood.leases.quorum_loss import Candidate, QuorumLossDetector
from laburnumwood.membership.node_records import (
    join,
    record_end_if_unchanged,
    record_witness_sets,
)
from laburnumwood.records import NodeName, NodeRecord, WitnessSet
from laburnumwood.settings import LeaseSettings
from laburnumwood.store.objects import node_object_name, to_record
from tests.features.steps.fake_clock import FakeClock
from tests.ownership.store import FakeStore
from tests.ownership.world import node_settings


def _names(text: str) -> tuple[NodeName, ...]:
    return tuple(NodeName(each, 1) for each in text.split())


def _is_due(context: Context) -> bool:
    replaced = context.replaced
    expired = context.detector.expired(
        (context.candidate,), replaced.__contains__
    )
    return bool(expired)


@given('a node on record with the witnesses "{names}"')
def make_node(context: Context, names: str) -> None:
    context.clock = FakeClock()
    context.detector = QuorumLossDetector(LeaseSettings(), context.clock)
    context.replaced = frozenset()
    context.store = FakeStore()
    name, _ = join(context.store, node_settings('a'))
    sets = (WitnessSet(1, _names(names)),)
    record_witness_sets(context.store, name, sets)
    stored = context.store.get(node_object_name('a'))
    record = to_record(NodeRecord, stored)
    context.candidate = Candidate(name, record, stored.version)


@given('it begins to change to the witnesses "{names}"')
def change_witnesses(context: Context, names: str) -> None:
    record = context.candidate.record
    sets = (*record.witness_sets, WitnessSet(2, _names(names)))
    context.candidate = replace(
        context.candidate, record=replace(record, witness_sets=sets)
    )


@when('the processes of "{names}" are replaced by new ones')
def replace_processes(context: Context, names: str) -> None:
    context.replaced = frozenset(_names(names))


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
    # Earlier steps have already advanced the clock since the wait began.
    context.clock.pass_ms(span - context.waited_ms)
    assert _is_due(context)


@when('its end is written over a version that is not the newest')
def write_end(context: Context) -> None:
    candidate = context.candidate
    sets = (WitnessSet(2, _names('e f g')),)
    record_witness_sets(context.store, candidate.name, sets)
    context.conflict = False
    try:
        record_end_if_unchanged(
            context.store,
            candidate.name,
            candidate.record,
            candidate.version,
        )
    except PlatformConflictError:
        context.conflict = True


@then('the write fails with a conflict and the node has not ended')
def check_conflict(context: Context) -> None:
    assert context.conflict
    stored = context.store.get(node_object_name('a'))
    assert not to_record(NodeRecord, stored).has_ended(1)
