"""Steps about the adapter to the users' platform, with real processes."""

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
from laburnumwood.clock import MS_PER_SECOND

TIMEOUT_S = 60
OK = 200
SAMPLE_KEYS = tuple(range(0, 65_536, 2_011))
ATTEMPT_NUMBERS = count(1)


def next_attempt_id() -> str:
    return f'attempt-{next(ATTEMPT_NUMBERS)}'


def request_key(context: Context, member: ReportingMember, key: int) -> Any:
    return context.fleet.ask(
        member, '/portal/safe/x', next_attempt_id(), Shard_Key=str(key)
    )


def _serves_all_keys(
    context: Context, node: str, keys: tuple[int, ...]
) -> bool:
    member = context.fleet.members[node]
    return all(request_key(context, member, key).status == OK for key in keys)


@given(
    'reporting workers of the sharded service "{keyed}" and of the service '
    '"{plain}"'
)
def start_fleet(context: Context, keyed: str, plain: str) -> None:
    context.fleet = ReportingDeployment({keyed: True, plain: False})
    context.add_cleanup(context.fleet.close)
    context.fleet.declare()
    for row in context.table:
        context.fleet.add(*row.cells)
    context.fleet.wait_ready(TIMEOUT_S)
    wait_for(
        'all keys to be served',
        partial(_serves_all_keys, context, 'p1', SAMPLE_KEYS),
        TIMEOUT_S,
    )


@when('the keys "{keys}" of "portal" are requested at each node')
def request_keys(context: Context, keys: str) -> None:
    context.workers = defaultdict(set)
    for member in context.fleet.members.values():
        for key in keys.split():
            answer = request_key(context, member, int(key))
            assert answer.status == OK, (key, answer.status, answer.data)
            assert answer.headers['Response-Stamp'].endswith('.stamp')
            context.workers[key].add(answer.json()['worker'])


@then('each key is served by the worker of one node')
def check_one_owner(context: Context) -> None:
    # The balancer may move a shard once between two answers.
    assert all(len(workers) <= 2 for workers in context.workers.values())
    assert len(context.workers) == 5, context.workers


@then('each worker received the calling service and the time left')
def check_headers(context: Context) -> None:
    requests = [
        each
        for member in context.fleet.members.values()
        for each in _seen_requests(context, member)
    ]
    assert {each['origin'] for each in requests} == {'portal', 'docs'}
    assert all(0 < int(each['time_left_ms']) <= 2_000 for each in requests)
    assert {each['host'] for each in requests} == {'a.example'}


@then('each worker received its requests over one connection')
def check_connections(context: Context) -> None:
    # The requests were sent one after the other.
    for member in context.fleet.members.values():
        used = {each['connection'] for each in _seen_requests(context, member)}
        assert len(used) <= 1, (member.name, used)


def _worker_report(context: Context, member: ReportingMember) -> dict[str, Any]:
    answer = context.fleet.http.request('GET', member.seen)
    report: dict[str, Any] = answer.json()
    return report


def _seen_requests(
    context: Context, member: ReportingMember
) -> list[dict[str, Any]]:
    return list(_worker_report(context, member)['seen'])


@when('"{path}" is requested at "{node}"')
def request_path(context: Context, path: str, node: str) -> None:
    member = context.fleet.members[node]
    context.answer = context.fleet.ask(member, path, next_attempt_id())


@when(
    '{versions:d} manifests add a route each, {span_ms:d} ms apart, requested '
    'at each node at once'
)
def add_routes(context: Context, versions: int, span_ms: int) -> None:
    context.statuses = []
    for version in range(2, versions + 2):
        # A node asks the store again once its last answer is a second old.
        eventlet.sleep(span_ms / MS_PER_SECOND)
        prefix = f'/added-{version}/'
        context.fleet.add_route(version, 'docs', prefix)
        for member in context.fleet.members.values():
            answer = context.fleet.ask(member, prefix, next_attempt_id())
            context.statuses.append(answer.status)


@then('all those answers have status {status:d}')
def check_statuses(context: Context, status: int) -> None:
    assert set(context.statuses) == {status}, context.statuses


@when('the process of the store has been gone for {span_ms:d} ms')
def kill_store(context: Context, span_ms: int) -> None:
    context.fleet.store.kill()
    # What the store has confirmed until then counts for a second.
    eventlet.sleep(span_ms / MS_PER_SECOND)


@when(
    '"{path}" is requested at "{node}" with {count:d} headers of {size:d} bytes'
)
def request_with_headers(
    context: Context, path: str, node: str, count: int, size: int
) -> None:
    member = context.fleet.members[node]
    headers = {f'X_{each}': 'x' * (size - 7) for each in range(count)}
    context.answer = context.fleet.ask(
        member, path, next_attempt_id(), **headers
    )


@then('that answer has status {status:d}')
def check_status(context: Context, status: int) -> None:
    assert context.answer.status == status, context.answer.data


@when('the worker of "{node}" reports that it is draining')
def drain(context: Context, node: str) -> None:
    url = context.fleet.members[node].seen.replace('/seen', '/drain')
    context.fleet.http.request('POST', url)


def _served_by_others(context: Context) -> bool:
    member = context.fleet.members['p3']
    answers = [request_key(context, member, key) for key in SAMPLE_KEYS]
    workers = {
        answer.json()['worker'] for answer in answers if answer.status == OK
    }
    are_all_served = all(answer.status == OK for answer in answers)
    return are_all_served and 'worker-p1' not in workers


@then('all keys of "portal" are served by other workers within {limit:d} s')
def check_served_by_others(context: Context, limit: int) -> None:
    wait_for(
        'other workers to serve all keys',
        partial(_served_by_others, context),
        limit,
    )


@then('some keys were granted with a handover')
def check_handovers(context: Context) -> None:
    with_handover = sum(
        _worker_report(context, member)['came_warm']
        for member in context.fleet.members.values()
    )
    assert with_handover, 'no key came with a handover'


@then('the worker of "{node}" receives no more requests')
def check_no_more_requests(context: Context, node: str) -> None:
    member = context.fleet.members[node]
    before = len(_seen_requests(context, member))
    assert _served_by_others(context)
    assert len(_seen_requests(context, member)) == before


@when('the worker of "{node}" is killed and restarted')
def restart_worker(context: Context, node: str) -> None:
    member = context.fleet.members[node]
    member.worker.kill()
    context.fleet.restart_worker(member)


@then('every key of "portal" is served within {limit:d} s')
def check_all_keys(context: Context, limit: int) -> None:
    check_all_keys_at(context, 'p1', limit)


@then('every key of "portal" is served at "{node}" within {limit:d} s')
def check_all_keys_at(context: Context, node: str, limit: int) -> None:
    wait_for(
        'all keys to be served',
        partial(_serves_all_keys, context, node, SAMPLE_KEYS),
        limit,
    )


@when('the process of node "{node}" is killed')
def kill_node(context: Context, node: str) -> None:
    context.fleet.members[node].node.kill()


def _keys_served_by(context: Context, worker: str) -> set[int]:
    member = context.fleet.members['p1']
    answers = {key: request_key(context, member, key) for key in SAMPLE_KEYS}
    return {
        key
        for key, answer in answers.items()
        if answer.status == OK and answer.json()['worker'] == worker
    }


@when('the process of node "{node}" is killed and restarted')
def restart_node(context: Context, node: str) -> None:
    member = context.fleet.members[node]
    context.worker = f'worker-{node}'
    context.keys = _keys_served_by(context, context.worker)
    assert context.keys
    member.node.kill()
    member.node = context.fleet.start_node(member.path)


def _has_keys_back(context: Context) -> bool:
    return context.keys <= _keys_served_by(context, context.worker)


@then('its worker serves the same keys again within {limit:d} s')
def check_has_keys_back(context: Context, limit: int) -> None:
    wait_for(
        'its worker to serve its keys', partial(_has_keys_back, context), limit
    )


@when('all nodes are killed and restarted')
def restart_all_nodes(context: Context) -> None:
    members = context.fleet.members.values()
    for member in members:
        member.node.kill()
    for member in members:
        member.node = context.fleet.start_node(member.path)


@when('node "{node}" is stopped while keys are requested at it')
def stop_under_load(context: Context, node: str) -> None:
    member = context.fleet.members[node]
    context.member = member
    context.unanswered = []
    callers = [
        eventlet.spawn(_keep_requesting, context, member, key)
        for key in SAMPLE_KEYS[:8]
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


def _keep_requesting(
    context: Context, member: ReportingMember, key: int
) -> None:
    while member.node.is_running:
        try:
            request_key(context, member, key)
        except HTTPError as error:
            if 'NewConnectionError' in repr(error):
                return  # the node accepts no connections any more
            context.unanswered.append(repr(error))
        eventlet.sleep(0)


@then('it reports that it is not ready')
def check_not_ready(context: Context) -> None:
    assert not context.was_ready


@then('every request that it read was answered')
def check_answered(context: Context) -> None:
    # A request that is sent while the node closes an idle connection is not
    # read by the node.
    unanswered = [
        each for each in context.unanswered if 'without response' not in each
    ]
    assert not unanswered, unanswered[:5]


@then('its process exits with status {status:d}')
def check_exit(context: Context, status: int) -> None:
    assert context.member.node.wait(TIMEOUT_S) == status
