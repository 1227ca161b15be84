"""Steps about the fences of keys while a store comes back from a copy."""

import json
from collections.abc import Callable, Iterator
from functools import partial
from itertools import chain
from operator import itemgetter
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from bench.deployment import wait_for
from bench.reporting import ReportingDeployment, ReportingMember
from laburnumwood.clock import Clock
from tests.features.steps.platform_steps import TIMEOUT_S, check_all_keys
from tests.features.steps.store_put_back_steps import AWAY_S
from tests.fences import FenceHistory, Taking

DOMAINS = ('a', 'b', 'c')
NOT_BEFORE = 'no answer before it came back'
# n: each nth answer of the store names no era, 0: all name it.
UNNAMED_ERAS = {'each answer': 0, 'four of five answers': 5, NOT_BEFORE: 1}
TAKEN_PREFIX = '{"life":'


@given('a store that names its era in {answers}')
def start_store(context: Context, answers: str) -> None:
    context.fleet = ReportingDeployment({'portal': True})
    context.add_cleanup(context.fleet.close)
    context.fleet.declare()
    context.fleet.leave_out_eras(UNNAMED_ERAS[answers])
    context.is_named_later = answers == NOT_BEFORE


@given('{count:d} VMs with reporting workers of the sharded service "{name}"')
def start_vms(context: Context, count: int, name: str) -> None:
    for number in range(count):
        domain = DOMAINS[number % len(DOMAINS)]
        context.fleet.add(f'p{number + 1}', domain, name)
    context.fleet.wait_ready(TIMEOUT_S)
    check_served(context, TIMEOUT_S)


def _members(fleet: ReportingDeployment, names: str) -> list[ReportingMember]:
    if names == 'all':
        return list(fleet.members.values())
    return [fleet.members[names]]


def _stop(members: list[ReportingMember]) -> None:
    for member in members:
        member.node.kill()
        member.worker.kill()


def _start(fleet: ReportingDeployment, members: list[ReportingMember]) -> None:
    for member in members:
        fleet.restart_worker(member)
        member.node = fleet.start_node(member.path)


def _put_back(
    context: Context, names: str, come_back: Callable[[], None]
) -> None:
    """Let VMs lose power while the store is away, and start them after it."""
    fleet = context.fleet
    members = _members(fleet, names)
    fleet.set_store_faults(outage=True)
    _stop(members)
    eventlet.sleep(AWAY_S)
    come_back()
    if context.is_named_later:
        fleet.leave_out_eras(0)
    fleet.set_store_faults(outage=False)
    _start(fleet, members)


@when('{name} is without power while the store comes back without any {kind}')
def put_back_one(context: Context, name: str, kind: str) -> None:
    _put_back_before(context, name, kind)


@when('all are without power while the store comes back without any {kind}')
def put_back_all(context: Context, kind: str) -> None:
    _put_back_before(context, 'all', kind)


def _put_back_before(context: Context, names: str, kind: str) -> None:
    come_back = partial(context.fleet.put_store_back_before, f'{kind}.')
    _put_back(context, names, come_back)


@when('{name} is without power for a moment')
def restart_vm(context: Context, name: str) -> None:
    context.restarted_ms = Clock().now_ms()
    members = _members(context.fleet, name)
    _stop(members)
    _start(context.fleet, members)


@when('{name} is without power while the store comes back from before that')
def put_back_to_restart(context: Context, name: str) -> None:
    def come_back() -> None:
        span_ms = Clock().now_ms() - context.restarted_ms
        context.fleet.put_store_back(span_ms)

    _put_back(context, name, come_back)


def _logged_takings(fleet: ReportingDeployment) -> Iterator[dict[str, Any]]:
    """Yield what the workers have logged of the keys that they took."""
    for log in fleet.worker_logs():
        for line in log.read_text().splitlines(keepends=True):
            if line.startswith(TAKEN_PREFIX) and line.endswith('\n'):
                yield json.loads(line)


def _takings(fleet: ReportingDeployment) -> Iterator[Taking]:
    """Yield what was taken by all lives of the workers, in order of time."""
    found = _logged_takings(fleet)
    for logged in sorted(found, key=itemgetter('at_ms')):
        for first, last, token in logged['taken']:
            yield Taking(logged['life'], first, last, token)


def _all_lives_have_had_keys(fleet: ReportingDeployment) -> bool:
    lives = {taking.life for taking in _takings(fleet)}
    return len(lives) == len(fleet.worker_logs())


@then('every worker holds keys within {limit:d} s, and all keys are served')
def check_served(context: Context, limit: int) -> None:
    wait_for(
        'every life of a worker to have taken keys',
        partial(_all_lives_have_had_keys, context.fleet),
        limit,
    )
    check_all_keys(context, limit)


@then('no life of a worker took a key under a fence that is not new')
def check_fences(context: Context) -> None:
    history = FenceHistory()
    takings = _takings(context.fleet)
    violations = list(chain.from_iterable(map(history.take, takings)))
    assert not violations, (len(violations), violations[:3])
