"""Steps about payments that are sent more than once."""

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
LONG = 'long'


def _pay(context: Context, member: Member, number: int) -> BaseHTTPResponse:
    answer: BaseHTTPResponse = context.deployment.http.request(
        'POST',
        f'{member.door}/trader-portal/pay',
        headers={'Kiosk': f'kiosk-{number}', 'Idempotency-Key': str(number)},
        body=b'fee',
    )
    return answer


def _doors(context: Context) -> list[Member]:
    members = context.deployment.members.values()
    return [member for member in members if member.node.is_running]


def _is_paid(context: Context, member: Member, number: int) -> bool:
    answer = _pay(context, member, number)
    context.answers[number] = answer
    return answer.status == OK


@when('{count:d} payments are made and paid again at another door')
def pay_all(context: Context, count: int) -> None:
    context.answers = {}
    first, second = _doors(context)[:2]
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
        for member in _doors(context):
            paid = partial(_is_paid, context, member, number)
            wait_for(f'payment {number}', paid, LIMIT_S)


@then('every payment ran once and each resend told so')
def check_payments(context: Context) -> None:
    entries = context.deployment.entries()
    ran = [entry for entry in entries if entry['outcome'] != 'refused']
    runs = Counter(entry['key'] for entry in ran)
    expected = {f'kiosk-{number}': 1 for number in context.answers}
    assert dict(runs) == expected, runs
    for number, answer in context.answers.items():
        assert answer.json()['key'] == f'kiosk-{number}', answer.data


def _pay_long(context: Context, member: Member) -> BaseHTTPResponse:
    answer: BaseHTTPResponse = context.deployment.http.request(
        'POST',
        f'{member.door}/trader-portal/pay?work_ms=3000',
        headers={'Kiosk': LONG, 'Idempotency-Key': LONG},
    )
    return answer


def _runs_of(context: Context, key: str) -> list[str]:
    entries = context.deployment.entries()
    ran = [entry for entry in entries if entry['outcome'] != 'refused']
    return [entry['worker'] for entry in ran if entry['key'] == key]


@when('a payment is running and the node of its owner is killed')
def kill_while_paying(context: Context) -> None:
    Thread(target=_pay_long, args=(context, _doors(context)[0])).start()
    wait_for('the run', lambda: bool(_runs_of(context, LONG)), LIMIT_S)
    owner = _runs_of(context, LONG)[0]
    context.deployment.members[owner].node.kill()


def _is_final(context: Context) -> bool:
    context.answer = _pay_long(context, _doors(context)[0])
    return bool(context.answer.status == CONFLICT)


@when('it is sent again until no owner is missing')
def pay_long_again(context: Context) -> None:
    wait_for('a final answer', partial(_is_final, context), LIMIT_S)


@then('it ran once and the resend told that it may have run')
def check_long(context: Context) -> None:
    assert len(_runs_of(context, LONG)) == 1, _runs_of(context, LONG)
    told = context.answer.headers['Laburnumwood-Outcome']
    assert told == 'unknown', context.answer.data
    assert b'ran-before' in context.answer.data, context.answer.data


def _has_joined(context: Context, member: Member) -> bool:
    return bool(context.deployment.page(member, 'status')['node'])


def _start_late(context: Context, members: list[Member], span: int) -> None:
    for early in members:
        early.worker.kill()
    for member in members:
        joined = partial(_has_joined, context, member)
        wait_for('the node to join', joined, LIMIT_S)
    time.sleep(span)
    for late in members:
        context.deployment.restart_worker(late)


@when('all workers listen {span:d} s after their nodes have joined')
def start_workers_late(context: Context, span: int) -> None:
    _start_late(context, _doors(context), span)


@when('the worker of "{node_id}" listens {span:d} s after its node has joined')
def start_worker_late(context: Context, node_id: str, span: int) -> None:
    _start_late(context, [context.deployment.members[node_id]], span)


def _check_paid(context: Context, number: int, limit: int) -> None:
    member = _doors(context)[0]
    paid = partial(_is_paid, context, member, number)
    try:
        wait_for('a payment', paid, limit)
    except TimeoutError as late:
        last = context.answers.get(number)
        raise AssertionError(last and last.data) from late


@then('a payment is answered with success within {limit:d} s')
def check_paid(context: Context, limit: int) -> None:
    context.answers = {}
    _check_paid(context, 0, limit)


@then('{count:d} payments are answered with success within {limit:d} s')
def check_all_paid(context: Context, count: int, limit: int) -> None:
    context.answers = {}
    for number in range(count):
        _check_paid(context, number, limit)
