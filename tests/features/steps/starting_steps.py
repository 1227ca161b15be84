"""Steps about a node that listens before it is ready, and about its start."""

import json
import signal
import tempfile
from contextlib import suppress
from http.client import HTTPConnection
from pathlib import Path

import eventlet
from behave import given, then, when
from behave.runner import Context

from bench.deployment import Process, free_port, wait_for
from laburnumwood import listening
from laburnumwood.events import NOT_ACCEPTED
from laburnumwood.listening import listen, open_early

HOST = '127.0.0.1'
LIMIT_S = 10
START_S = 20


def _write(context: Context, content: str) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / 'settings.json'
    context.path.write_text(content)


def _free_address() -> tuple[str, int]:
    probe = eventlet.listen((HOST, 0))
    address = probe.getsockname()
    probe.close()
    return HOST, int(address[1])


@given('a settings file with addresses for callers and reports')
def write_settings(context: Context) -> None:
    context.addresses = [_free_address(), _free_address()]
    names = 'door_address', 'report_address'
    texts = [f'{host}:{port}' for host, port in context.addresses]
    _write(context, json.dumps(dict(zip(names, texts, strict=True))))


@given('a settings file that contains {content}')
def write_content(context: Context, content: str) -> None:
    _write(context, content)


@when('the addresses are opened early')
def open_addresses(context: Context) -> None:
    open_early(context.path)


@when('a caller connects to each of them')
def connect(context: Context) -> None:
    context.callers = [eventlet.connect(each) for each in context.addresses]


@when('the node listens at them')
def open_listeners(context: Context) -> None:
    context.listeners = [
        listen(each, NOT_ACCEPTED.report) for each in context.addresses
    ]


@then('it accepts the earlier connections')
def check_accepted(context: Context) -> None:
    for listener, caller in zip(
        context.listeners, context.callers, strict=True
    ):
        listener.settimeout(LIMIT_S)
        accepted, _ = listener.accept()
        assert accepted.getpeername() == caller.getsockname()


@then('no address was opened')
def check_none_opened(_context: Context) -> None:
    assert not listening._opened


@given('a node whose store does not answer')
def start_node(context: Context) -> None:
    nowhere = f'http://{HOST}:{free_port()}'
    context.door = f'{HOST}:{free_port()}'
    settings = {
        'node_id': 'a',
        'failure_domain': 'x',
        'peer_port': free_port(),
        'door_address': context.door,
        'platform_url': nowhere,
        'worker_url': nowhere,
        'service': 's',
        'capacity_owner': 's',
        'shared_key': 'a key of the tests only',
    }
    _write(context, json.dumps(settings))
    arguments = '--settings', str(context.path)
    log = context.path.with_name('node.log')
    context.node = Process('laburnumwood.daemon.main', *arguments, log=log)
    context.add_cleanup(context.node.kill)


@when('it is stopped while it joins')
def stop_node(context: Context) -> None:
    log = context.node.log
    wait_for('start', lambda: 'store-unreach' in log.read_text(), LIMIT_S)
    context.node.terminate()


@when('it gets {name} while it is imported')
def send_early(context: Context, name: str) -> None:
    node = context.node
    maps = Path(f'/proc/{node.pid}/maps')
    wait_for('imports', lambda: 'greenlet' in maps.read_text(), LIMIT_S)
    node.signal(signal.Signals[name])


@when('a caller sends a request, and it gets SIGTERM while it is imported')
def send_request_early(context: Context) -> None:
    address = context.door.rsplit(':', 1)
    context.caller = HTTPConnection(address[0], int(address[1]), LIMIT_S)
    context.add_cleanup(context.caller.close)

    def is_connected() -> bool:
        with suppress(OSError):
            context.caller.connect()
        return context.caller.sock is not None

    wait_for('the door', is_connected, LIMIT_S)
    context.caller.request('GET', '/s/x')
    context.node.terminate()


@then('the caller is answered with status {status:d}')
def check_answered(context: Context, status: int) -> None:
    assert context.caller.getresponse().status == status


@then('it goes on and reads its settings')
def check_settings_read(context: Context) -> None:
    log = context.node.log
    wait_for('settings', lambda: 'settings-read' in log.read_text(), START_S)


@then('it exits with status {status:d} within {limit_s:d} s')
def check_exit(context: Context, status: int, limit_s: int) -> None:
    assert context.node.wait(limit_s) == status
