"""Steps about the rights of operators, secured links and capacity."""

import json
import socket
import ssl
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Any
from unittest.mock import MagicMock

import eventlet
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from urllib3 import request

from bench.deployment import (
    HOST,
    OPERATOR_TOKEN,
    SHARED_KEY,
    Deployment,
    Place,
    wait_for,
)
from laburnumwood.cli.fleet import FleetClient
from laburnumwood.cli.idle_capacity import sum_by_group
from laburnumwood.cli.options import read_options
from laburnumwood.cli.pages import IdlePage
from laburnumwood.clock import Clock
from laburnumwood.config.acceptance import replace_configuration
from laburnumwood.config.declarations import Declarations
from laburnumwood.daemon.planned_stop import PlannedStop
from laburnumwood.operators.capacity import CapacityAccount
from laburnumwood.settings import DaemonSettings
from laburnumwood.store.client import HttpStore
from tests.features.steps.certificates import write_certificates
from tests.features.steps.fake_clock import FakeClock

TICK_MS = 50
TICK_S = 0.001

LIMIT_S = 120
SHARDS = 6
ROUNDING_MS = 20  # one millisecond for each of the 20 requests
IDLE_PAGE_SINCE_START = '/idle?window_ms=3600000'
HANDSHAKE = (
    b'GET / HTTP/1.1\r\nHost: peer\r\nUpgrade: websocket\r\n'
    b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
    b'Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n'
    b'Authorization: certificate\r\nLaburnumwood-Node: x#1\r\n\r\n'
)
DOMAINS = ('caerdydd', 'abertawe', 'wrecsam')


@when('the node "{node_id}" is restarted with the operators')
def restart(context: Context, node_id: str) -> None:
    member = context.deployment.members[node_id]
    member.node.kill()
    context.operators = json.loads(context.text)
    member.settings['operators'] = context.operators
    member.path.write_text(json.dumps(member.settings))
    context.deployment.restart_node(member)
    wait_for('the operator port', lambda: bool(_call(member, '')), LIMIT_S)


def _call(member: Any, token: str, call: str = 'GET /status') -> int:
    method, path = call.split(' ')
    headers = {'Authorization': f'Bearer {token}'} if token else {}
    url = f'{member.operators}{path}'
    return int(request(method, url, headers=headers, retries=False).status)


@then('the operator port of "{node_id}" answers')
def check_answers(context: Context, node_id: str) -> None:
    member = context.deployment.members[node_id]
    token = next(iter(context.operators.values()))['token']
    wait_for('joining', lambda: _call(member, token) == 200, LIMIT_S)
    for call, given_token, status in context.table:
        found = _call(member, given_token, call)
        assert found == int(status), (call, given_token, found)


@then('the node "{node_id}" ends with status {status:d}')
def check_exit_status(context: Context, node_id: str, status: int) -> None:
    context.node = context.deployment.members[node_id].node
    wait_for('end', lambda: not context.node.is_running, LIMIT_S)
    assert context.node.stop() == status


@then('its log has the event "{event}" with "{field}"')
def check_log(context: Context, event: str, field: str) -> None:
    number, name = event.split()
    key, _, value = field.partition('=')
    text = context.node.log.read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    assert any(
        (line['number'], line['event'], str(line.get(key)))
        == (number, name, value)
        for line in lines
    ), lines


@then('its log contains no token and no shared key')
def check_log_secrets(context: Context) -> None:
    text = context.node.log.read_text()
    tokens = [each['token'] for each in context.operators.values()]
    for secret in (SHARED_KEY, 'not a token of anyone', *tokens):
        assert secret not in text, secret


@given('three nodes of "{service}" whose links are secured by certificates')
def start_secured(context: Context, service: str) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.deployment = Deployment()
    context.add_cleanup(context.deployment.close)
    tls = write_certificates(context.folder, 'fleet')
    for number, domain in enumerate(DOMAINS, 1):
        place = Place(f'{service}-{number}', domain, service)
        context.deployment.add(place, shared_key=None, tls=tls)
    key = {'source': 'header', 'name': 'Kiosk'}
    declared = {'services': {service: {'key': key, 'shards': SHARDS}}}
    platform = HttpStore(context.deployment.platform_url)
    replace_configuration(platform, {'a.json': declared}, 'scenario', Clock())


@then('each of them owns some of its shards')
def check_owners(context: Context) -> None:
    def do_all_own_shards() -> bool:
        pages = [
            context.deployment.page(member, 'owners')
            for member in context.deployment.members.values()
        ]
        owners = [set(page.get('portal', {}).values()) for page in pages]
        return all(len(each - {None}) == len(DOMAINS) for each in owners)

    wait_for('owners', do_all_own_shards, LIMIT_S)


@then(
    'a peer with a certificate of another authority is refused by "{node_id}"'
)
def check_foreign_certificate(context: Context, node_id: str) -> None:
    port = context.deployment.members[node_id].settings['peer_port']
    files = write_certificates(context.folder, 'stranger')
    client = ssl.create_default_context()
    client.check_hostname = False
    client.verify_mode = ssl.CERT_NONE
    client.load_cert_chain(files['certificate'], files['key'])
    with socket.create_connection((HOST, port)) as plain:
        try:
            with client.wrap_socket(plain) as sock:
                sock.sendall(HANDSHAKE)
                answer = sock.recv(1)
        except (ssl.SSLError, ConnectionError):
            return
    assert not answer, 'the foreign peer got an answer'


def _settings(**more: Any) -> dict[str, Any]:
    return {
        'node_id': 'n',
        'failure_domain': 'd',
        'peer_port': 1,
        'door_port': 2,
        'operator_port': 3,
        'platform_url': 'http://p',
        'worker_url': 'http://w',
        'service': 's',
        'capacity_owner': 'o',
        'shared_key': SHARED_KEY,
        **more,
    }


@given('settings with {changes}')
def set_settings(context: Context, changes: str) -> None:
    given_settings = _settings(**json.loads(changes))
    context.settings = DaemonSettings.model_validate(given_settings)


@then('a planned stop may take {limit:d} ms')
def check_stop_limit(context: Context, limit: int) -> None:
    assert context.settings.stop_limit_ms == limit


class SlowAnswer:
    """An answer on its way to a caller while the listener closes."""

    def __init__(self, takes_ms: int, clock: FakeClock) -> None:
        self._clock = clock
        self._ends_ms = clock.now_ms() + takes_ms
        self.is_whole = False

    def close(self, patience_ms: int) -> None:
        """Wait for the end of the answer, as the listener does."""
        until_ms = min(self._clock.now_ms() + patience_ms, self._ends_ms)
        while self._clock.now_ms() < until_ms:
            eventlet.sleep(0)
        self.is_whole = until_ms == self._ends_ms


def _pass_time(clock: FakeClock) -> None:
    while True:
        clock.pass_ms(TICK_MS)
        eventlet.sleep(TICK_S)


def _stop_during(context: Context, takes_ms: int) -> bool:
    """Stop a node during an answer; return whether it was whole."""
    clock = FakeClock()
    answer: Any = SlowAnswer(takes_ms, clock)
    incarnation: Any = MagicMock(is_busy=False, has_finished=True)
    whole_at_end: list[bool] = []
    incarnation.close = lambda: whole_at_end.append(answer.is_whole)
    stop = PlannedStop(context.settings, clock)
    stop.begin()
    passing = eventlet.spawn(_pass_time, clock)
    stop.run(incarnation, MagicMock(), answer)
    passing.kill()
    return whole_at_end == [True]


@then('answers that are on their way may take {limit_ms:d} ms in it')
def check_last_answer(context: Context, limit_ms: int) -> None:
    assert _stop_during(context, limit_ms - 2 * TICK_MS)
    assert not _stop_during(context, limit_ms + 2 * TICK_MS)


@then('a daemon with {changes} ends with status {status:d} and "{message}"')
def check_refused_settings(
    context: Context, changes: str, status: int, message: str
) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.json'
        path.write_text(json.dumps(_settings(**json.loads(changes))))
        module = 'laburnumwood.daemon.main'
        ended = subprocess.run(
            (sys.executable, '-m', module, '--settings', str(path)),
            capture_output=True,
            text=True,
            check=False,
        )
    assert ended.returncode == status, ended
    assert message in ended.stderr, ended.stderr


@then('in any window, used and idle slot-milliseconds add up to the capacity')
def check_capacity_sums(context: Context) -> None:
    steps = st.tuples(st.integers(0, 3), st.integers(0, 5_000))

    @settings(derandomize=True, database=None)
    @for_all(st.lists(steps, min_size=1), st.integers(0, 20_000))
    def check_sum(phases: list[tuple[int, int]], window_ms: int) -> None:
        clock = FakeClock()
        declared = Declarations.model_validate(
            {'services': {'s0': {'owner': 'traders'}}}
        )
        own = DaemonSettings.model_validate(_settings(slots=3))
        account = CapacityAccount(own, lambda: declared, clock)
        busy_ms = 0
        for running, span_ms in phases:
            with ExitStack() as busy:
                for number in range(running):
                    busy.enter_context(account.occupy_slot(f's{number}'))
                clock.pass_ms(span_ms)
                busy_ms += running * span_ms
        usage = account.usage(window_ms)
        used_ms = sum(usage.used.values())
        assert used_ms + usage.idle == usage.slots * usage.window_ms
        assert 0 <= used_ms <= usage.slots * usage.window_ms
        whole = account.usage(10**9)
        assert sum(whole.used.values()) == busy_ms
        owners = {served.service: served.owner for served in whole.used}
        assert owners.get('s0', 'traders') == 'traders'
        assert owners.get('s1', 'o') == 'o'

    check_sum()


@when('{count:d} requests of {work_ms:d} ms of work are made one after another')
def make_requests(context: Context, count: int, work_ms: int) -> None:
    member = context.deployment.members['portal-1']
    started = time.monotonic()
    for number in range(count):
        url = f'{member.door}/portal/x?work_ms={work_ms}'
        headers = {'Kiosk': f'kiosk-{number}'}
        answer = context.deployment.get(url, headers=headers)
        assert answer.status == 200, answer.data
    fleet = FleetClient(
        read_options(
            context.deployment.platform_url, '', OPERATOR_TOKEN, as_json=True
        )
    )
    rows = [
        fleet.fetch(row, IDLE_PAGE_SINCE_START, IdlePage)
        for row in fleet.nodes()
    ]
    context.elapsed_ms = (time.monotonic() - started) * 1_000
    context.idle = sum_by_group(rows)


@then('others used the capacity of "{owner}", and "{user}" its own')
def check_users(context: Context, owner: str, user: str) -> None:
    for row in context.idle:
        if row.capacity_owner == owner:
            assert row.others and not row.own, row
        else:
            assert row.own and not row.others, row
            assert row.capacity_owner == user, row


@then('the used capacity agrees with the journals of the workers')
def check_worker_journals(context: Context) -> None:
    rows = context.idle
    used_ms = sum(row.own + row.others for row in rows)
    worked_ms = sum(
        entry['finished_ms'] - entry['started_ms']
        for entry in context.deployment.entries()
    )
    assert worked_ms <= used_ms + ROUNDING_MS, (worked_ms, used_ms)
    assert used_ms <= context.elapsed_ms + ROUNDING_MS, context.elapsed_ms
    for row in rows:
        assert row.own + row.others + row.idle == row.capacity, row
