"""Steps about the limit that a worker names, as decisions on a fake clock."""

from bisect import bisect_left, bisect_right
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from logbook import TestHandler

from laburnumwood.admission.tickets import Ticket, TicketState, TrafficClass
from laburnumwood.header_index import HeaderIndex
from laburnumwood.placement.load_exchange import LoadExchange
from laburnumwood.placement.load_reports import LoadReports
from laburnumwood.placement.meter import LoadMeter
from laburnumwood.placement.worker_notices import WorkerNotices
from laburnumwood.platform.headers import LIMIT_HEADER
from laburnumwood.platform.workers import decode_signals
from laburnumwood.protocol.messages import LoadReport, LoadRequest
from laburnumwood.records import NodeName, WorkerNotice
from laburnumwood.upstream.worker_signals import AnswerSignals
from tests.features.steps.limited_gate import WORK_MS, LimitedGate

ROUND_S = 1.1  # more than a round of load reports
NODE = NodeName('a', 1)
WINDOW_MS = 4_000
LOOK_UP = TrafficClass('rank-2', 1)
PAYMENT = TrafficClass('rank-1', 4)


def _parse(text: str) -> float | None:
    return None if text == 'none' else float(text)


@given('a gate whose worker may name a limit')
def make_gate(context: Context) -> None:
    context.gate = LimitedGate()
    context.sent_ms = context.gate.clock.now_ms()
    context.log = TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)


@when('the worker names the limit {limit:g}')
def name_limit(context: Context, limit: float) -> None:
    context.gate.limit = limit
    context.gate.changed_ms = None


@when('the worker names no limit')
def name_none(context: Context) -> None:
    context.gate.limit = None
    context.gate.changed_ms = None


def _arrive(
    context: Context, span: int, *rates: tuple[int, TrafficClass]
) -> None:
    context.phase_ms = context.gate.clock.now_ms()
    for number in range(span * 1_000):
        for per_second, traffic_class in rates:
            if number * per_second % 1_000 < per_second:
                context.gate.offer(traffic_class)
        context.gate.pass_ms()


@when('{count:d} requests a second arrive for {span:d} s')
def arrive(context: Context, count: int, span: int) -> None:
    _arrive(context, span, (count, LOOK_UP))


@when(
    '{look_ups:d} look-ups and {payments:d} payments a second arrive for '
    '{span:d} s'
)
def arrive_mixed(
    context: Context, look_ups: int, payments: int, span: int
) -> None:
    _arrive(context, span, (look_ups, LOOK_UP), (payments, PAYMENT))


def _windows(context: Context, since_ms: int, span_ms: int) -> list[int]:
    starts = context.gate.starts(since_ms)
    end_ms = context.gate.clock.now_ms()
    return [
        bisect_right(starts, begin + span_ms) - bisect_left(starts, begin)
        for begin in range(since_ms, end_ms - span_ms + 1, 20)
    ]


@then(
    'in no 4 s from the first answer with it on more than {most:d} requests '
    'started'
)
def check_most(context: Context, most: int) -> None:
    found = max(_windows(context, context.gate.changed_ms, WINDOW_MS))
    assert found <= most, found


@then('in each 4 s of the end at least {least:d} requests started')
def check_least(context: Context, least: int) -> None:
    since_ms = max(context.phase_ms, context.gate.clock.now_ms() - 8_000)
    found = min(_windows(context, since_ms, WINDOW_MS))
    assert found >= least, found


def _shed(context: Context) -> list[tuple[int, Ticket]]:
    return [
        each
        for each in context.gate.tickets
        if each[1].state is TicketState.SHED
    ]


@then('each rejected request was rejected within {span_ms:d} ms')
def check_rejected(context: Context, span_ms: int) -> None:
    now_ms = context.gate.clock.now_ms()
    waiting = [
        now_ms - arrived_ms
        for arrived_ms, ticket in context.gate.tickets
        if ticket.state is TicketState.WAITING
    ]
    assert _shed(context)
    assert max(waiting, default=0) <= span_ms, max(waiting)


@then(
    'the last of them was told the limit {limit:g} and to return within '
    '{span_ms:d} ms'
)
def check_told(context: Context, limit: float, span_ms: int) -> None:
    ticket = _shed(context)[-1][1]
    assert ticket.shed_by_limit == limit, ticket
    assert 0 < ticket.retry_after_ms <= span_ms, ticket


def _started(context: Context, traffic_class: TrafficClass) -> float:
    found = [
        bool(ticket.started_ms)
        for _, ticket in context.gate.tickets
        if ticket.traffic_class is traffic_class
    ]
    return sum(found) / len(found)


@then('at least {least:d} of 100 payments started')
def check_payments(context: Context, least: int) -> None:
    assert _started(context, PAYMENT) * 100 >= least, _started(context, PAYMENT)


@then('some look-ups started')
def check_look_ups(context: Context) -> None:
    assert _started(context, LOOK_UP)


@when('a request is answered with the limit {limit}')
def answer_with(context: Context, limit: str) -> None:
    context.gate.clock.pass_ms(WORK_MS)
    sent_ms = context.gate.clock.now_ms()
    context.gate.clock.pass_ms(WORK_MS)
    context.gate.signals.record(AnswerSignals(_parse(limit)), sent_ms)


@when('a request that was sent before that is answered with the limit {limit}')
def answer_earlier(context: Context, limit: str) -> None:
    context.gate.clock.pass_ms(1)
    context.gate.signals.record(AnswerSignals(_parse(limit)), context.sent_ms)


@when('{count:d} requests are answered with the headers {text}')
def answer_with_headers(context: Context, count: int, text: str) -> None:
    limit, _, twice = text.partition(' ')
    headers = [(LIMIT_HEADER, limit)]
    if twice:
        headers.append((LIMIT_HEADER, limit))
    for _ in range(count):
        context.gate.clock.pass_ms(WORK_MS)
        signals = decode_signals(HeaderIndex(headers))
        context.gate.signals.record(signals, context.gate.clock.now_ms())


@when('another instance of the worker reports')
def report_other(context: Context) -> None:
    context.gate.clock.pass_ms(WORK_MS)
    context.gate.report(2)


@when('another node has heard the limit {limit:g} of "{worker}"')
def hear_from_node(context: Context, limit: float, worker: str) -> None:
    _hear(context, worker, limit)


@then('the limit is {limit} a second')
def check_limit(context: Context, limit: str) -> None:
    found = context.gate.signals.limit.per_second
    assert found == _parse(limit), found


def _logged(context: Context, event: str) -> int:
    return sum(record.extra['event'] == event for record in context.log.records)


@then('"{event}" was logged once')
def check_logged_once(context: Context, event: str) -> None:
    assert _logged(context, event) == 1, _logged(context, event)


@then('"{event}" was logged at most {most:d} times')
def check_logged(context: Context, event: str, most: int) -> None:
    assert 1 <= _logged(context, event) <= most, _logged(context, event)


@when('the worker names another limit in each answer for {span:d} s')
def name_many(context: Context, span: int) -> None:
    for number in range(span * 100):
        context.gate.clock.pass_ms(10)
        limit = 20 + number % 3
        now_ms = context.gate.clock.now_ms()
        context.gate.signals.record(AnswerSignals(limit), now_ms)


@when('{span_ms:d} ms pass without a request')
def pass_idle(context: Context, span_ms: int) -> None:
    context.gate.clock.pass_ms(span_ms)


@then(
    'other nodes count between {least:d} and {most:d} usable slots of {slots:d}'
)
def check_usable(context: Context, least: int, most: int, slots: int) -> None:
    gate = context.gate
    notices = WorkerNotices(gate.clock)
    notices.record(NODE, gate.signals.notice(gate.policy.mean_slot_ms))
    found = notices.usable_slots(NODE, slots)
    assert least <= found <= most, found


def _hear(context: Context, worker: str, limit: float | None) -> None:
    worker_id, _, started_ms = worker.partition('#')
    context.gate.signals.record_notice(
        WorkerNotice(worker_id, int(started_ms), limit is None, limit)
    )


@when('another node has heard "{worker}" say that it leaves')
def hear_leaving(context: Context, worker: str) -> None:
    _hear(context, worker, None)


@when('the worker says in an answer that it leaves')
def say_leaving(context: Context) -> None:
    now_ms = context.gate.clock.now_ms()
    context.gate.signals.record(AnswerSignals(is_leaving=True), now_ms)


@when('another node hears that the worker leaves, {span_ms:d} ms before')
def hear_leaving_before(context: Context, span_ms: int) -> None:
    context.notices = WorkerNotices(context.gate.clock)
    heard = WorkerNotice('worker', 1, True, leaving_for_ms=0)
    context.notices.record(NODE, heard)
    context.gate.clock.pass_ms(span_ms)


@when('that other node sends a request')
def send_notice(context: Context) -> None:
    context.gate.signals.record_notice(context.notices.latest(NODE))


@then('the worker is sent {what}')
def check_sent(context: Context, what: str) -> None:
    accepts = context.gate.presence.accepts_requests()
    assert accepts == (what == 'requests'), accepts


class ReportingPeer:
    """The peer whose load is asked for: the node of the gate."""

    def __init__(self, gate: LimitedGate) -> None:
        self._gate = gate

    def call(
        self, _peer: NodeName, _request: LoadRequest, _timeout_ms: int
    ) -> LoadReport:
        """Return the load report of the node."""
        notice = self._gate.signals.known_notice(WORK_MS)
        return LoadReport(0, {}, notice)


class OneNodeView:
    """A view of one node that serves."""

    def serving_nodes(self, _service: str) -> dict[NodeName, None]:
        """Return the node."""
        return {NODE: None}


@given(
    'another node has heard that the worker accepts {limit:g} requests a second'
)
def make_other(context: Context, limit: float) -> None:
    context.reports = LoadReports(context.gate.clock)
    context.reports.notices.record(
        NODE, WorkerNotice('worker', 1, False, limit)
    )


@when('its node reports its load')
def report_load(context: Context) -> None:
    view: Any = OneNodeView()
    peers: Any = ReportingPeer(context.gate)
    meter = LoadMeter(WORK_MS, context.gate.clock)
    own = NodeName('other', 1)
    exchange = LoadExchange('s', own, view, peers, meter, context.reports)
    running = eventlet.spawn(exchange.run)
    eventlet.sleep(ROUND_S)
    running.kill()


@then('the other node still knows the limit {limit}')
def check_known(context: Context, limit: str) -> None:
    notice = context.reports.notices.latest(NODE)
    found = notice.limit_per_second if notice else None
    assert found == _parse(limit), found
