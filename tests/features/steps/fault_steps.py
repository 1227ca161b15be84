"""Steps that inject faults into deployments and check the outcomes."""

import re
import time
from collections import Counter
from collections.abc import Iterator
from functools import partial
from itertools import count

from behave import given, then, when
from behave.runner import Context
from pydantic import TypeAdapter

from bench.caller import Callers, Load, Operation
from bench.calls import Call, Told
from bench.checker import judge
from bench.deployment import Member, wait_for
from bench.faults import Fleet
from standins.journal.entry import JournalEntry
from standins.worker.bodies import body_of

SERVICE = 'trader-portal'
LIMIT_S = 40
KEYS = 30
REPAIR_LIMIT_S = 60
PAUSE_S = 0.7
ENTRIES = TypeAdapter(list[JournalEntry])
PROBLEM = re.compile(b'problem:[a-z-]+')
STREAM_BYTES = 400_000
STREAM_QUERY = f'bytes={STREAM_BYTES}&chunk_ms=150&chunk_bytes=16384'

_fleets: dict[str, Fleet] = {}
_labels: Iterator[int] = count()


def _close_fleets() -> None:
    for fleet in _fleets.values():
        fleet.close()
    _fleets.clear()


@given('a shared deployment of {nodes:d} nodes')
def share_fleet(context: Context, nodes: int) -> None:
    name = context.feature.name
    if name in _fleets and not _fleets[name].is_trusted:
        _close_fleets()
    if name not in _fleets:
        _fleets[name] = Fleet(SERVICE, nodes)
        context.add_cleanup(_close_fleets, layer='feature')
    context.fleet = _fleets[name]
    context.fleet.is_trusted = False
    context.fleet.repair(REPAIR_LIMIT_S)


@given('callers that send requests until they are stopped')
def start_callers(context: Context) -> None:
    fleet = context.fleet
    load = Load(SERVICE, 'Kiosk', operations=6_000, pause_ms=30)
    label = f'case{next(_labels)}'
    context.callers = Callers(load, fleet.doors, label)
    context.callers.start()
    context.add_cleanup(context.callers.finish, early=True)
    time.sleep(PAUSE_S)


@when('the owner of a key is {event}')
def inject_fault_at_owner(context: Context, event: str) -> None:
    struck_member = context.fleet.owner_of('kiosk-0')
    context.struck_member = struck_member
    context.fleet.strike(event, struck_member)


@when('another node is {event}')
def inject_fault_at_another(context: Context, event: str) -> None:
    fleet = context.fleet
    other = next(
        node for node in fleet.reachable() if node != context.struck_member
    )
    fleet.strike(event, other)


@when('the failure domain of the owner of a key is lost')
def kill_failure_domain(context: Context) -> None:
    fleet = context.fleet
    domain = fleet.owner_of('kiosk-0').place.failure_domain
    for member in fleet.members:
        if member.place.failure_domain == domain:
            fleet.strike('killed', member)


@when('all nodes are cut from each other')
def cut_all(context: Context) -> None:
    fleet = context.fleet
    context.incarnations = {
        member.place.node_id: fleet.incarnation(member)
        for member in fleet.members
    }
    for member in fleet.members:
        fleet.strike('out of reach of all others', member)


@then('every node joined again under a new incarnation')
def check_all_rejoined(context: Context) -> None:
    fleet = context.fleet
    for member in fleet.members:
        before = context.incarnations[member.place.node_id]
        wait_for(
            f'a new incarnation of {member.place.node_id}',
            partial(_has_rejoined, fleet, member, before),
            LIMIT_S,
        )


def _has_rejoined(fleet: Fleet, member: Member, before: int) -> bool:
    return fleet.incarnation(member) > before


@when('the store is {state}')
def set_store(context: Context, state: str) -> None:
    context.fleet.set_store(state)


@when('{seconds:g} s pass')
def wait_seconds(context: Context, seconds: float) -> None:
    time.sleep(seconds)


@when('all faults are repaired')
def repair_faults(context: Context) -> None:
    context.fleet.repair(REPAIR_LIMIT_S)


@when('every node is restarted in turn')
def restart_in_turn(context: Context) -> None:
    for member in context.fleet.members:
        status = context.fleet.restart(member, LIMIT_S)
        assert status == 0, (member.place.node_id, status)


@then('every key is served')
def check_served(context: Context) -> None:
    context.fleet.wait_served(LIMIT_S)


@then('every key is served at the doors of the other nodes')
def check_served_by_others(context: Context) -> None:
    context.fleet.hide(context.struck_member)
    context.fleet.wait_served(LIMIT_S)


@then('a payment for every key is answered')
def check_payments(context: Context) -> None:
    door = context.fleet.doors()[0]
    for number in range(KEYS):
        pay = partial(_pay, context, f'kiosk-{number}', door)
        wait_for(f'a payment for kiosk-{number}', pay, LIMIT_S)


def _pay(context: Context, key: str, door: str) -> bool:
    operation = Operation(
        f'payment-{next(_labels)}', key, 'POST', f'/{SERVICE}/x'
    )
    return context.callers.attempt(operation, 0, door).told is Told.answered


def _count_outcomes(calls: list[Call]) -> dict[str, int]:
    """Count the calls by outcome, status and kind of problem."""
    found = (PROBLEM.search(call.body) for call in calls)
    kinds = (match.group().decode() if match else '' for match in found)
    pairs = zip(calls, kinds, strict=True)
    return Counter(f'{call.told} {call.status} {kind}' for call, kind in pairs)


@then('the callers and the journals agree')
def check_agreement(context: Context) -> None:
    time.sleep(PAUSE_S)
    calls = context.callers.finish(early=True)
    entries = context.fleet.deployment.entries()
    # The journals also hold the entries of earlier scenarios.
    context.fleet.calls.extend(calls)
    verdict = judge(context.fleet.calls, ENTRIES.validate_python(entries))
    assert not verdict.faults, str(verdict)
    answered = sum(call.told is Told.answered for call in calls)
    summary = f'{answered} of {len(calls)} answered: {_count_outcomes(calls)}'
    assert answered > len(calls) / 4, summary
    context.fleet.is_trusted = True


@then('the node of the owner joined again under a new incarnation')
def check_rejoined(context: Context) -> None:
    fleet, struck_member = context.fleet, context.struck_member
    wait_for(
        'a new incarnation',
        lambda: fleet.incarnation(struck_member) > fleet.struck_incarnation,
        LIMIT_S,
    )


@when('{what} is under way at its owner')
def begin_request(context: Context, what: str) -> None:
    context.struck_member = context.fleet.owner_of('kiosk-0')
    query, method = {
        'a long stream': (STREAM_QUERY, 'GET'),
        'a slow payment': ('work_ms=1500', 'POST'),
    }[what]
    context.operation = Operation(
        f'{what}-{next(_labels)}'.replace(' ', '-'),
        'kiosk-0',
        method,
        f'/{SERVICE}/x?{query}',
        STREAM_BYTES if method == 'GET' else None,
    )
    door = context.fleet.other_door(context.struck_member)
    context.background = context.callers.background(
        partial(context.callers.attempt, context.operation, 0, door)
    )
    time.sleep(PAUSE_S)


@when('that owner is {event}')
def inject_fault_at_same_owner(context: Context, event: str) -> None:
    context.fleet.strike(event, context.struck_member)


@when('the payment is sent again until its outcome is final')
def resend(context: Context) -> None:
    context.background.result()
    for number in range(1, 30):
        door = context.fleet.other_door(context.struck_member)
        call = context.callers.attempt(context.operation, number, door)
        if call.told in {Told.answered, Told.unknown}:
            return
        time.sleep(PAUSE_S)
    raise AssertionError('no final outcome')


@then('the caller received the whole stream')
def check_stream(context: Context) -> None:
    call = context.background.result()
    expected = body_of(call.request, STREAM_BYTES)
    assert call.status == 200, call.status
    assert call.body == expected, (len(call.body), STREAM_BYTES)


@then('the stopped node ended with status {status:d}')
def check_stopped(context: Context, status: int) -> None:
    ended = context.struck_member.node.wait(LIMIT_S)
    assert ended == status, ended


@when('a request that crashes workers is sent {times:d} times')
def send_crashing_request(context: Context, times: int) -> None:
    target = f'/{SERVICE}/x?crash=1'
    operation = Operation('poison', 'kiosk-0', 'GET', target)
    for number in range(times):
        door = context.fleet.doors()[0]
        context.callers.attempt(operation, number, door)
        time.sleep(PAUSE_S)


@then('at most {most:d} workers were lost')
def check_lost_workers(context: Context, most: int) -> None:
    lost = [
        member.place.node_id
        for member in context.fleet.members
        if not member.worker.is_running
    ]
    assert len(lost) <= most, lost
