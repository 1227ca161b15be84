"""Steps about a cold worker, as decisions on a fake clock."""

from bisect import bisect_left
from unittest.mock import patch

import eventlet
from behave import given, then, when
from behave.runner import Context

from laburnumwood.config.declarations import WarmUp
from laburnumwood.config.merge import merge_record
from laburnumwood.errors import WorkerBusyError, WorkerError
from laburnumwood.placement.worker_notices import WorkerNotices
from laburnumwood.platform.bodies import encode
from laburnumwood.platform.headers import WARMING_HEADER
from laburnumwood.platform.manifest import read_manifest
from laburnumwood.platform.reports import decode_report
from laburnumwood.platform.workers import PlatformWorkerInterface
from laburnumwood.records import ConfigRecord, NodeName, StoredObject
from laburnumwood.store.objects import CONFIG_NAME, to_record
from laburnumwood.upstream.worker import WorkerClient, WorkerRequest
from tests.features.steps.limited_gate import SLOTS, WORK_MS, LimitedGate

NODE = NodeName('a', 1)
SECOND_MS = 1_000
CONNECT_S = 0.02


class SlowPool:
    """Connections that take time to open and lose each request sent."""

    def __init__(self, *_settings: object) -> None:
        self.sent = 0

    def acquire(self, *_limits: object) -> 'SlowPool':
        """Open a connection; other requests go on meanwhile."""
        eventlet.sleep(CONNECT_S)
        return self

    def release(self, _connection: object) -> None:
        """Keep a connection."""

    def close(self) -> None:
        """Close the connection."""

    def send_request(self, *_parts: object) -> None:
        """Lose a request."""
        self.sent += 1
        raise ConnectionResetError


def _report(context: Context, left_ms: int) -> None:
    context.number = getattr(context, 'number', 1) + 1
    context.since_ms = context.gate.clock.now_ms()
    report = {
        'service': 's',
        'slots': SLOTS,
        'state': 'ready',
        'seq': context.number,
        'born': getattr(context, 'born', 1),
        'warmup_left_ms': left_ms,
    }
    context.gate.worker.handle_report(decode_report('worker', encode(report)))


@given(
    'the workers of its service take {limit:d} requests a second for '
    '{span_ms:d} ms when cold'
)
def declare(context: Context, limit: int, span_ms: int) -> None:
    context.terms = WarmUp(duration_ms=span_ms, per_second=float(limit))
    context.gate.signals.warm_up.period.terms = lambda: context.terms


@given('the process of the node restarts')
def restart(context: Context) -> None:
    context.gate = LimitedGate(has_reported=False)
    context.gate.signals.warm_up.period.terms = lambda: context.terms


@when('the worker reports that it is cold for {left_ms:d} ms')
def report_cold(context: Context, left_ms: int) -> None:
    _report(context, left_ms)


@when('the worker starts anew and reports to be cold for {left_ms:d} ms')
def start_anew(context: Context, left_ms: int) -> None:
    context.born = 2
    _report(context, left_ms)


@when('the worker counts its reports anew and is cold for {left_ms:d} ms')
def count_anew(context: Context, left_ms: int) -> None:
    context.number = 0
    _report(context, left_ms)


@when('the worker reports {count:d} times that it is warm')
def report_warm(context: Context, count: int) -> None:
    for _ in range(count):
        _report(context, 0)


@when('the worker cannot be reached')
def lose(context: Context) -> None:
    context.since_ms = context.gate.clock.now_ms()
    context.gate.signals.warm_up.period.record_loss()


@when('the worker says in a health check that it is cold for {left_ms:d} ms')
def answer_check(context: Context, left_ms: int) -> None:
    context.since_ms = context.gate.clock.now_ms()
    interface = PlatformWorkerInterface(context.gate.worker)
    interface.record_health({WARMING_HEADER: str(left_ms)})


@when('{span_ms:d} ms pass without requests')
def pass_without_requests(context: Context, span_ms: int) -> None:
    for _ in range(span_ms):
        context.gate.pass_ms()


@when('{count:d} requests are sent to it at once on new connections')
def send_at_once(context: Context, count: int) -> None:
    signals, clock = context.gate.signals, context.gate.clock
    context.pool = SlowPool()
    with patch(
        'laburnumwood.upstream.worker.ConnectionPool', return_value=context.pool
    ):
        client = WorkerClient('http://worker', 1, clock, signals.warm_up)
    request = WorkerRequest('GET', '/', (), b'', SECOND_MS)
    pool = eventlet.GreenPool()
    context.refused = sum(
        pool.imap(lambda _: _is_refused(client, request), range(count))
    )


def _is_refused(client: WorkerClient, request: WorkerRequest) -> bool:
    try:
        client.send(request)
    except WorkerError as error:
        return isinstance(error, WorkerBusyError)
    return False


@then('{sent:d} of them reach it and {refused:d} are refused unsent')
def check_reached(context: Context, sent: int, refused: int) -> None:
    assert (context.pool.sent, context.refused) == (sent, refused)


@then(
    'within any second since, at most {most:d} requests started, and {least:d} '
    'in all'
)
def check_seconds(context: Context, most: int, least: int) -> None:
    starts = context.gate.starts(context.since_ms)
    counts = [
        bisect_left(starts, begin_ms + SECOND_MS) - number
        for number, begin_ms in enumerate(starts)
    ]
    assert max(counts) <= most, max(counts)
    assert len(starts) >= least, len(starts)


def _started(context: Context) -> int:
    return len(context.gate.starts(1))


@then('at least {least:d} requests started')
def check_least_started(context: Context, least: int) -> None:
    assert _started(context) >= least, _started(context)


@then('at most {most:d} requests started')
def check_most_started(context: Context, most: int) -> None:
    assert _started(context) <= most, _started(context)


@then('no request started within {span_ms:d} ms')
def check_none_started(context: Context, span_ms: int) -> None:
    begin_ms = context.gate.tickets[0][0]
    assert min(context.gate.starts(1)) >= begin_ms + span_ms


@then('no request started until {span_ms:d} ms after that')
def check_none_started_since(context: Context, span_ms: int) -> None:
    assert min(context.gate.starts(context.since_ms + 1)) >= (
        context.since_ms + span_ms
    )


@then('{span_ms:d} ms later they count {usable:d} usable slots of {slots:d}')
def check_usable_later(
    context: Context, span_ms: int, usable: int, slots: int
) -> None:
    notices = WorkerNotices(context.gate.clock)
    notices.record(NODE, context.gate.signals.notice(WORK_MS))
    assert notices.usable_slots(NODE, slots) < usable
    context.gate.clock.pass_ms(span_ms)
    assert notices.usable_slots(NODE, slots) == usable


@when(
    'a manifest declares that workers of "{name}" are cold for {span_s:g} s '
    'and take {limit:d} a second'
)
def write_manifest(
    context: Context, name: str, span_s: float, limit: int
) -> None:
    service = {'name': name, 'warmup_s': span_s, 'warmup_per_s': limit}
    context.value = read_manifest(
        {'version': 1, 'routes': [], 'services': [service, {'name': 'other'}]}
    )


@when('a later version declares "{section}" beside it')
def declare_later(context: Context, section: str) -> None:
    for content in context.value['optional_files'].values():
        content[section] = {'a': 1}


@then(
    'cold workers of "{name}" take {limit:d} requests a second for '
    '{span_ms:d} ms'
)
def check_declared(
    context: Context, name: str, limit: int, span_ms: int
) -> None:
    stored = StoredObject(CONFIG_NAME, context.value, 1)
    declared = merge_record(to_record(ConfigRecord, stored)).warm_ups
    assert declared == {name: WarmUp(duration_ms=span_ms, per_second=limit)}
