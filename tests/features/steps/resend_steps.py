"""Steps for payments that are sent more than once."""

import time
from collections import Counter
from functools import partial
from threading import Thread

from behave import given, then, when
from behave.runner import Context
from urllib3.response import BaseHTTPResponse

from bench.deployment import Member, wait_for

LIMIT_S = 120
OK = 200
CONFLICT = 409
SLOW = 'long'


def _pay(context: Context, member: Member, number: int) -> BaseHTTPResponse:
    answer: BaseHTTPResponse = context.deployment.http.request(
        'POST',
        f'{member.door}/trader-portal/pay',
        headers={'Kiosk': f'kiosk-{number}', 'Idempotency-Key': str(number)},
        body=b'fee',
    )
    return answer


def _running_members(context: Context) -> list[Member]:
    members = context.deployment.members.values()
    return [member for member in members if member.node.is_running]


def _is_paid(context: Context, member: Member, number: int) -> bool:
    answer = _pay(context, member, number)
    context.answers[number] = answer
    return answer.status == OK


@when('{count:d} payments are made, and each is sent again to another node')
def pay_all(context: Context, count: int) -> None:
    context.answers = {}
    first, second = _running_members(context)[:2]
    for number in range(count):
        for member in (first, second):
            paid = partial(_is_paid, context, member, number)
            wait_for(f'payment {number}', paid, LIMIT_S)


@given('the node "{node_id}" is killed')
def kill_owner(context: Context, node_id: str) -> None:
    context.deployment.members[node_id].node.kill()


@when('every payment is sent again until it has a final answer')
def pay_again(context: Context) -> None:
    for number in context.answers:
        for member in _running_members(context):
            paid = partial(_is_paid, context, member, number)
            wait_for(f'payment {number}', paid, LIMIT_S)


@then('every payment ran once and each resend got its answer')
def check_payments(context: Context) -> None:
    entries = context.deployment.entries()
    ran = [entry for entry in entries if entry['outcome'] != 'refused']
    runs = Counter(entry['key'] for entry in ran)
    expected = {f'kiosk-{number}': 1 for number in context.answers}
    assert dict(runs) == expected, runs
    for number, answer in context.answers.items():
        assert answer.json()['key'] == f'kiosk-{number}', answer.data


def _pay_slowly(context: Context, member: Member) -> BaseHTTPResponse:
    answer: BaseHTTPResponse = context.deployment.http.request(
        'POST',
        f'{member.door}/trader-portal/pay?work_ms=3000',
        headers={'Kiosk': SLOW, 'Idempotency-Key': SLOW},
    )
    return answer


def _runs_of(context: Context, key: str) -> list[str]:
    entries = context.deployment.entries()
    ran = [entry for entry in entries if entry['outcome'] != 'refused']
    return [entry['worker'] for entry in ran if entry['key'] == key]


@when('the owner of its key is killed while a payment runs')
def kill_while_paying(context: Context) -> None:
    Thread(
        target=_pay_slowly, args=(context, _running_members(context)[0])
    ).start()
    wait_for('the run', lambda: bool(_runs_of(context, SLOW)), LIMIT_S)
    owner = _runs_of(context, SLOW)[0]
    context.deployment.members[owner].node.kill()


def _is_final(context: Context) -> bool:
    context.answer = _pay_slowly(context, _running_members(context)[0])
    return bool(context.answer.status == CONFLICT)


@when('it is sent again until its key has an owner')
def pay_slowly_again(context: Context) -> None:
    wait_for('a final answer', partial(_is_final, context), LIMIT_S)


@then('it ran once and the resend was answered that it may have run')
def check_slow_payment(context: Context) -> None:
    assert len(_runs_of(context, SLOW)) == 1, _runs_of(context, SLOW)
    outcome = context.answer.headers['Laburnumwood-Outcome']
    assert outcome == 'unknown', context.answer.data
    assert b'ran-before' in context.answer.data, context.answer.data


def _has_joined(context: Context, member: Member) -> bool:
    return bool(context.deployment.page(member, 'status')['node'])


def _start_workers_late(
    context: Context, members: list[Member], span_s: int
) -> None:
    for member in members:
        member.worker.kill()
    for member in members:
        joined = partial(_has_joined, context, member)
        wait_for('the node to join', joined, LIMIT_S)
    time.sleep(span_s)
    for member in members:
        context.deployment.restart_worker(member)


@when('all workers listen {span_s:d} s after their nodes have joined')
def start_workers_late(context: Context, span_s: int) -> None:
    _start_workers_late(context, _running_members(context), span_s)


@when(
    'the worker of "{node_id}" listens {span_s:d} s after its node has joined'
)
def start_worker_late(context: Context, node_id: str, span_s: int) -> None:
    _start_workers_late(context, [context.deployment.members[node_id]], span_s)


def _check_paid(context: Context, number: int, limit_s: int) -> None:
    member = _running_members(context)[0]
    paid = partial(_is_paid, context, member, number)
    try:
        wait_for('a payment', paid, limit_s)
    except TimeoutError as error:
        last = context.answers.get(number)
        raise AssertionError(last and last.data) from error


@then('a payment is answered with success within {limit_s:d} s')
def check_paid(context: Context, limit_s: int) -> None:
    context.answers = {}
    _check_paid(context, 0, limit_s)


@then('{count:d} payments are answered with success within {limit_s:d} s')
def check_all_paid(context: Context, count: int, limit_s: int) -> None:
    context.answers = {}
    for number in range(count):
        _check_paid(context, number, limit_s)
