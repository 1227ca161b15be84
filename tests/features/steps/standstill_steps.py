"""Steps about keys that are served again after a standstill."""

import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from functools import partial
from itertools import cycle, islice

from behave import given, then, when
from behave.runner import Context

from bench.deployment import Process
from bench.reporting import ReportingDeployment, ReportingMember
from laburnumwood.clock import MS_PER_SECOND, Clock
from tests.features.steps.held_steps import (
    DOMAINS,
    FORMS,
    SERVICE,
    door_port,
    keys_of,
    manifest_with_timeout,
    request_elapsed_ms,
)
from tests.features.steps.platform_steps import (
    OK,
    SAMPLE_KEYS,
    TIMEOUT_S,
    check_all_keys,
    request_key,
)

PLAIN = 'docs'
DOOR = 'p1'
REQUESTS = 12  # sent during each standstill
# By how much a standstill may be longer than asked for: a longer one may exceed
# the lease, and is another case, so it is played again.
MAX_LATE_MS = 200
REST_S = 3  # between the check after a standstill and the next one


@given(
    '{count:d} VMs of "portal" and 2 of "docs" with a route timeout of '
    '{span_ms:d} ms'
)
def start_vms(context: Context, count: int, span_ms: int) -> None:
    context.fleet = ReportingDeployment({SERVICE: True, PLAIN: False})
    context.add_cleanup(context.fleet.close)
    context.fleet.declare()
    context.fleet.write_manifest(
        manifest_with_timeout(2, span_ms, **{PLAIN: False})
    )
    for number, domain in zip(range(count), cycle(DOMAINS), strict=False):
        context.fleet.add(f'p{number + 1}', domain, SERVICE)
    for number, domain in enumerate(DOMAINS[:2], 1):
        context.fleet.add(f'd{number}', domain, PLAIN)
    context.fleet.wait_ready(TIMEOUT_S)
    check_all_keys(context, TIMEOUT_S)
    context.unserved = []


def _owner_of_most(context: Context) -> tuple[ReportingMember, list[int]]:
    """Return the node with the most sample keys, not the door, and these."""
    owned = {
        name: keys_of(context, name)
        for name, member in context.fleet.members.items()
        if member.service == SERVICE and name != DOOR
    }
    name = max(owned, key=lambda each: len(owned[each]))
    return context.fleet.members[name], owned[name]


def _processes(member: ReportingMember, what: str) -> tuple[Process, ...]:
    choices = {
        'node': (member.node,),
        'worker': (member.worker,),
        'node and worker': (member.node, member.worker),
    }
    return choices[what]


@contextmanager
def _paused(processes: tuple[Process, ...]) -> Iterator[Callable[[], int]]:
    """Pause processes; yield what returns the time since then in ms."""
    clock = Clock()
    for process in processes:
        process.pause()
    paused_ms = clock.now_ms()
    try:
        yield lambda: clock.now_ms() - paused_ms
    finally:
        for process in processes:
            process.resume()


def _send_all(
    context: Context, pool: ThreadPoolExecutor, kind: str, keys: list[int]
) -> list[Future[int]]:
    call = partial(request_elapsed_ms, door_port(context, DOOR), FORMS[kind])
    return [pool.submit(call, key) for key in islice(cycle(keys), REQUESTS)]


def _not_answered(
    context: Context, pool: ThreadPoolExecutor, keys: Sequence[int]
) -> list[int]:
    door = context.fleet.members[DOOR]
    answers = pool.map(partial(request_key, context, door), keys)
    return [
        key
        for key, answer in zip(keys, answers, strict=True)
        if answer.status != OK
    ]


def _unserved(context: Context, pool: ThreadPoolExecutor) -> list[int]:
    """Return the keys that are not served, also not when asked again.

    On a busy machine the door may stand still while it is asked.
    """
    return _not_answered(
        context, pool, _not_answered(context, pool, SAMPLE_KEYS)
    )


@when(
    "an owner's {what} stands still {times:d} times for {span_ms:d} ms while "
    '{kind} come, and all keys are requested {after_ms:d} ms after each'
)
def stand_still(
    context: Context,
    what: str,
    times: int,
    span_ms: int,
    kind: str,
    after_ms: int,
) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S + times * TIMEOUT_S
    while len(context.unserved) < times:
        assert time.monotonic() < deadline_s, context.unserved
        member, keys = _owner_of_most(context)
        with ThreadPoolExecutor(REQUESTS) as pool:
            with _paused(_processes(member, what)) as elapsed_ms:
                _send_all(context, pool, kind, keys)
                time.sleep(span_ms / MS_PER_SECOND)
                late_ms = elapsed_ms() - span_ms
            time.sleep(after_ms / MS_PER_SECOND)
            if late_ms <= MAX_LATE_MS:
                context.unserved.append(_unserved(context, pool))
            else:
                check_all_keys(context, TIMEOUT_S)
        time.sleep(REST_S)


@then('every key was served')
def check_served(context: Context) -> None:
    assert not any(context.unserved), context.unserved
