"""Steps about the relay, which has a journal as its target."""

import socket
import time
from urllib.parse import urlsplit

import urllib3
from behave import given, then, when
from behave.runner import Context

from standins.relay.pair import RESET_ON_CLOSE
from tests.features.steps.processes import Process

SILENCE_S = 0.5
LIMIT_S = 30
REQUEST = b'GET /journal HTTP/1.1\r\nHost: journal\r\n\r\n'
ROUTE = '/routes/journal'


@given('a running relay in front of a running journal')
def start_relay(context: Context) -> None:
    journal = Process(('standins.journal',))
    context.add_cleanup(journal.stop)
    relay = Process(('standins.relay',))
    context.add_cleanup(relay.stop)
    context.route = f'{relay.url}{ROUTE}'
    target = {'target_port': urlsplit(journal.url).port}
    answer = urllib3.request('PUT', context.route, json=target)
    context.port = answer.json()['port']


@when("the relay is set to '{switches}'")
def set_switches(context: Context, switches: str) -> None:
    answer = urllib3.request('POST', context.route, body=switches)
    assert answer.status == 200, answer.data


def _connect(context: Context) -> socket.socket:
    connection = socket.create_connection(('127.0.0.1', context.port), LIMIT_S)
    context.add_cleanup(connection.close)
    return connection


def _send_request(connection: socket.socket | None, limit_s: float) -> str:
    if connection is None:
        return 'reset'  # before the connection was established
    connection.settimeout(limit_s)
    try:
        connection.sendall(REQUEST)
        # Leaves the rest of the answer unread.
        return 'answer' if connection.recv(1) else 'end'
    except TimeoutError:
        return 'silence'
    except ConnectionError:
        return 'reset'


@given('an open connection through the relay')
def open_connection(context: Context) -> None:
    context.connection = _connect(context)
    assert _send_request(context.connection, LIMIT_S) == 'answer'


@then('the open connection gets no answer')
def check_silence(context: Context) -> None:
    received = b''
    while not received.endswith(b'[]'):
        received += context.connection.recv(65_536)
    assert _send_request(context.connection, SILENCE_S) == 'silence'


@when('a caller asks through the relay')
def connect_caller(context: Context) -> None:
    try:
        context.connection = _connect(context)
    except ConnectionResetError:
        context.connection = None


@then('the caller got an answer')
def check_answer(context: Context) -> None:
    got = _send_request(context.connection, LIMIT_S)
    assert got == 'answer', got


@then('the caller got no answer, by {how}')
def check_no_answer(context: Context, how: str) -> None:
    got = _send_request(
        context.connection, SILENCE_S if how == 'silence' else LIMIT_S
    )
    assert got == how, got


@then('the relay has counted bytes in both directions')
def check_counts(context: Context) -> None:
    counted = urllib3.request('GET', context.route).json()['bytes']
    assert counted['to_target'] == len(REQUEST), counted
    assert counted['to_client'] > 0, counted


@when('the caller resets its connection')
def reset_connection(context: Context) -> None:
    linger_option = socket.SOL_SOCKET, socket.SO_LINGER
    context.connection.setsockopt(*linger_option, RESET_ON_CLOSE)
    context.connection.close()


@then('the relay keeps its connection to the target open')
def check_open(context: Context) -> None:
    time.sleep(SILENCE_S)
    report = urllib3.request('GET', context.route).json()
    assert report['open'] == 1, report
