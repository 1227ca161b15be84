"""Steps about what a worker says about itself, with real processes."""

from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from itertools import count
from threading import Thread
from time import monotonic, sleep
from typing import Any

from behave import given, then, when
from behave.runner import Context
from urllib3.exceptions import HTTPError

from bench.reporting import ReportingMember
from standins.clock import MS_PER_SECOND

WINDOW_MS = 4_000
EXCESS = 1.5  # ratio to the limit that is allowed in a window
ALLOWANCE = 5  # requests that are allowed in a window besides
HEARD_MS = 500  # after the first answer with a limit
LEAVING_MS = 2_000
PAUSE_S = 0.03
WORKER_KEYS = tuple(range(0, 65_536, 401))
THREADS_PER_NODE = 2
ATTEMPTS = count(1)


def _ask(context: Context, member: ReportingMember, key: int) -> Any:
    attempt = f'signal-{next(ATTEMPTS)}'
    return context.fleet.ask(
        member, '/portal/safe/x', attempt, Shard_Key=str(key)
    )


def _worker_of(context: Context, key: int) -> str:
    answer = _ask(context, context.fleet.members['p2'], key)
    return str(answer.json().get('worker', ''))


def _request_until(
    context: Context, member: ReportingMember, until_s: float
) -> None:
    while monotonic() < until_s:
        for key in context.worker_keys:
            with suppress(HTTPError):
                answer = _ask(context, member, key)
                context.statuses.append(answer.status)
            sleep(PAUSE_S)
            if monotonic() >= until_s:
                return


@given('the store is reachable')
def keep_store(_context: Context) -> None:
    """Do nothing: the store runs."""


@given('the store is away')
def stop_store(context: Context) -> None:
    context.stops_store = True


@when('all nodes request keys of the worker of "{node}" for {span:d} s')
def begin_requests(context: Context, node: str, span: int) -> None:
    member = context.fleet.members[node]
    context.member = member
    context.statuses = []
    context.worker_keys = [
        key
        for key in WORKER_KEYS
        if _worker_of(context, key) == f'worker-{node}'
    ]
    assert context.worker_keys
    if getattr(context, 'stops_store', False):
        context.fleet.store.kill()
    context.began_s = monotonic()
    until_s = context.began_s + span
    pool = ThreadPoolExecutor()
    for each in list(context.fleet.members.values()) * THREADS_PER_NODE:
        pool.submit(_request_until, context, each, until_s)
    context.pool = pool


def _signal(context: Context, delay_s: float, query: str) -> None:
    sleep(delay_s)
    url = context.member.seen.replace('/seen', f'/signals?{query}')
    context.fleet.http.request('POST', url)


def _start(context: Context, *call: Any) -> None:
    thread = Thread(target=call[0], args=(context, *call[1:]))
    thread.start()
    context.add_cleanup(thread.join)


def _sleep_until(time_s: float) -> None:
    """Sleep until a monotonic time, which may have passed on a busy machine."""
    sleep(max(0, time_s - monotonic()))


@when(
    'its answers name a limit of {limit:g} requests a second after {delay:d} s'
)
def name_limit(context: Context, limit: float, delay: int) -> None:
    context.limit = limit
    _start(context, _signal, delay, f'limit={limit}')


@when('its answers say that it leaves after {delay:d} s')
def leave(context: Context, delay: int) -> None:
    _start(context, _signal, delay, 'leaving=1')


@when('the process of its node is killed and restarted after {delay:d} s')
def restart_its_node(context: Context, delay: int) -> None:
    _sleep_until(context.began_s + delay)
    context.member.node.kill()
    context.member.node = context.fleet.start_node(context.member.path)


@when('the answers of the worker of "{node}" name that limit, too')
def name_limit_too(context: Context, node: str) -> None:
    # All keys are requested, so that each worker gets more than the limit.
    context.worker_keys.clear()
    context.worker_keys.extend(WORKER_KEYS)
    url = context.fleet.members[node].seen.replace('/seen', '/signals')
    context.fleet.http.request('POST', f'{url}?limit={context.limit}')


@when('the process of node "{node}" is {ended} after {delay:d} s')
def end_node(context: Context, node: str, ended: str, delay: int) -> None:
    _sleep_until(context.began_s + delay)
    process = context.fleet.members[node].node
    if ended == 'killed':
        process.kill()
    else:
        process.terminate()


def _finish(context: Context, member: ReportingMember) -> dict[str, Any]:
    """Wait for the requests to end; return what a worker saw."""
    context.pool.shutdown()
    answer = context.fleet.http.request('GET', member.seen)
    seen: dict[str, Any] = answer.json()
    assert seen['signalled_ms'] is not None, 'no answer had the signal'
    return seen


@then('within any 4 s it got no more requests than the limit allows')
def check_windows(context: Context) -> None:
    _check_windows(context, context.member)


@then('within any 4 s the worker of "{node}" got no more than that')
def check_windows_of(context: Context, node: str) -> None:
    _check_windows(context, context.fleet.members[node])


def _check_windows(context: Context, member: ReportingMember) -> None:
    seen = _finish(context, member)
    from_ms = seen['signalled_ms'] + HEARD_MS
    arrivals = [each for each in seen['arrivals_ms'] if each >= from_ms]
    most = max(
        sum(start <= each <= start + WINDOW_MS for each in arrivals)
        for start in arrivals
    )
    allowed = context.limit * EXCESS * WINDOW_MS / MS_PER_SECOND + ALLOWANCE
    assert most <= allowed, f'{most} requests in 4 s; allowed {allowed}'


@then('every request was answered')
def check_answered(context: Context) -> None:
    assert set(context.statuses) <= {200, 503}, set(context.statuses)


@then('it got no requests that were sent 2 s later')
def check_none_after(context: Context) -> None:
    seen = _finish(context, context.member)
    from_ms = seen['signalled_ms'] + LEAVING_MS
    late = [each - from_ms for each in seen['arrivals_ms'] if each > from_ms]
    assert not late, f'{len(late)} requests, the last {late[-1]:.0f} ms later'
