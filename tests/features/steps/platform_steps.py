"""Steps about the platform's borders, with real processes."""

from collections import defaultdict
from contextlib import suppress
from functools import partial
from itertools import count
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from urllib3.exceptions import HTTPError

from bench.deployment import wait_for
from bench.reporting import ReportingDeployment, ReportingMember

LIMIT_S = 60
OK = 200
MANY = tuple(range(0, 65_536, 2_011))
NUMBERS = count(1)


def _attempt() -> str:
    return f'attempt-{next(NUMBERS)}'


def _ask_key(context: Context, member: ReportingMember, key: int) -> Any:
    return context.fleet.ask(
        member, '/portal/safe/x', _attempt(), Shard_Key=str(key)
    )


def _serves_all(context: Context, node: str, keys: tuple[int, ...]) -> bool:
    member = context.fleet.members[node]
    return all(_ask_key(context, member, key).status == OK for key in keys)


@given('workers that report, with the keyed service "{keyed}" and "{plain}"')
def start_fleet(context: Context, keyed: str, plain: str) -> None:
    context.fleet = ReportingDeployment({keyed: True, plain: False})
    context.add_cleanup(context.fleet.close)
    context.fleet.declare()
    for row in context.table:
        context.fleet.add(*row.cells)
    for member in context.fleet.members.values():
        ready = partial(context.fleet.is_ready, member)
        wait_for(f'{member.name} to be ready', ready, LIMIT_S)
    wait_for('all keys', partial(_serves_all, context, 'p1', MANY), LIMIT_S)


@when('the keys "{keys}" of "portal" are asked for at each door')
def ask_keys(context: Context, keys: str) -> None:
    context.workers = defaultdict(set)
    for member in context.fleet.members.values():
        for key in keys.split():
            answer = _ask_key(context, member, int(key))
            assert answer.status == OK, (key, answer.status, answer.data)
            assert answer.headers['Response-Stamp'].endswith('.stamp')
            context.workers[key].add(answer.json()['worker'])


@then('every one is answered by the worker of one node')
def check_one_owner(context: Context) -> None:
    # The load may move a shard once between two answers.
    assert all(len(found) <= 2 for found in context.workers.values())
    assert len(context.workers) == 5, context.workers


@then('each worker was told the service beside the door and the time left')
def check_told(context: Context) -> None:
    seen = [
        each
        for member in context.fleet.members.values()
        for each in _seen(context, member)
    ]
    assert {each['origin'] for each in seen} == {'portal', 'docs'}
    assert all(0 < int(each['time_left_ms']) <= 2_000 for each in seen)
    assert {each['host'] for each in seen} == {'a.example'}


@then('the requests of each worker came over one connection')
def check_connections(context: Context) -> None:
    # They were sent one after the other.
    for member in context.fleet.members.values():
        used = {each['connection'] for each in _seen(context, member)}
        assert len(used) <= 1, (member.name, used)


def _report(context: Context, member: ReportingMember) -> dict[str, Any]:
    answer = context.fleet.http.request('GET', member.seen)
    found: dict[str, Any] = answer.json()
    return found


def _seen(context: Context, member: ReportingMember) -> list[dict[str, Any]]:
    return list(_report(context, member)['seen'])


@when('"{path}" is asked for at "{node}"')
def ask_path(context: Context, path: str, node: str) -> None:
    member = context.fleet.members[node]
    context.answer = context.fleet.ask(member, path, _attempt())


@then('that answer has status {status:d}')
def check_status(context: Context, status: int) -> None:
    assert context.answer.status == status, context.answer.data


@when('the worker of "{node}" says that it drains')
def drain(context: Context, node: str) -> None:
    url = context.fleet.members[node].seen.replace('/seen', '/drain')
    context.fleet.http.request('POST', url)


def _served_by_others(context: Context) -> bool:
    member = context.fleet.members['p3']
    answers = [_ask_key(context, member, key) for key in MANY]
    workers = {
        answer.json()['worker'] for answer in answers if answer.status == OK
    }
    whole = all(answer.status == OK for answer in answers)
    return whole and 'worker-p1' not in workers


@then('all keys of "portal" are served by others within {limit:d} s')
def check_others(context: Context, limit: int) -> None:
    wait_for('others', partial(_served_by_others, context), limit)


@then('some keys came with what the last worker left')
def check_warm(context: Context) -> None:
    warm = sum(
        _report(context, member)['came_warm']
        for member in context.fleet.members.values()
    )
    assert warm, 'no key came with a handover'


@then('the worker of "{node}" gets no request after that')
def check_nothing_more(context: Context, node: str) -> None:
    member = context.fleet.members[node]
    before = len(_seen(context, member))
    assert _served_by_others(context)
    assert len(_seen(context, member)) == before


@when('the worker of "{node}" is killed and started again')
def replace_worker(context: Context, node: str) -> None:
    member = context.fleet.members[node]
    member.worker.kill()
    context.fleet.restart_worker(member)


@then('every key of "portal" is served within {limit:d} s')
def check_all_keys(context: Context, limit: int) -> None:
    check_all_at(context, 'p1', limit)


@then('every key of "portal" is served at "{node}" within {limit:d} s')
def check_all_at(context: Context, node: str, limit: int) -> None:
    wait_for('all keys', partial(_serves_all, context, node, MANY), limit)


@when('the process of node "{node}" is killed')
def kill_one(context: Context, node: str) -> None:
    context.fleet.members[node].node.kill()


def _keys_of(context: Context, worker: str) -> set[int]:
    member = context.fleet.members['p1']
    answers = {key: _ask_key(context, member, key) for key in MANY}
    return {
        key
        for key, answer in answers.items()
        if answer.status == OK and answer.json()['worker'] == worker
    }


@when('the process of node "{node}" is killed and started again')
def restart_one(context: Context, node: str) -> None:
    member = context.fleet.members[node]
    context.worker = f'worker-{node}'
    context.keys = _keys_of(context, context.worker)
    assert context.keys
    member.node.kill()
    member.node = context.fleet.start_node(member.path)


def _has_keys_back(context: Context) -> bool:
    return context.keys <= _keys_of(context, context.worker)


@then('the keys that were served by its worker are so again within {limit:d} s')
def check_back(context: Context, limit: int) -> None:
    wait_for('its keys', partial(_has_keys_back, context), limit)


@when('all nodes are killed and started again')
def restart_all(context: Context) -> None:
    members = context.fleet.members.values()
    for member in members:
        member.node.kill()
    for member in members:
        member.node = context.fleet.start_node(member.path)


@when('the node "{node}" is told to stop while keys are asked for at it')
def stop_under_load(context: Context, node: str) -> None:
    member = context.fleet.members[node]
    context.member = member
    context.unanswered = []
    callers = [
        eventlet.spawn(_keep_asking, context, member, key) for key in MANY[:8]
    ]
    eventlet.sleep(0.2)
    member.node.terminate()
    context.was_ready = _is_ready(context, member)
    for caller in callers:
        caller.wait()


def _is_ready(context: Context, member: ReportingMember) -> bool:
    with suppress(HTTPError):
        return bool(context.fleet.is_ready(member))
    return False


def _keep_asking(context: Context, member: ReportingMember, key: int) -> None:
    while member.node.is_running:
        try:
            _ask_key(context, member, key)
        except HTTPError as cut:
            if 'NewConnectionError' in repr(cut):
                return  # it takes no connections any more
            context.unanswered.append(repr(cut))
        eventlet.sleep(0)


@then('it tells that it is not ready')
def check_not_ready(context: Context) -> None:
    assert not context.was_ready


@then('no request that it read was left without an answer')
def check_answered(context: Context) -> None:
    # A request that crosses the end of a kept connection is not read.
    cut = [
        each for each in context.unanswered if 'without response' not in each
    ]
    assert not cut, cut[:5]


@then('its process ends with status {status:d}')
def check_exit(context: Context, status: int) -> None:
    assert context.member.node.wait(LIMIT_S) == status
