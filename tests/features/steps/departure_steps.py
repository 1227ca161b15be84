"""Steps about workers that leave, and later processes of their nodes."""

import time
from http import HTTPStatus

import eventlet
import logbook
from behave import given, then, when
from behave.runner import Context
from cbor2 import dumps
from eventlet.green.http.client import HTTPConnection

from bench.deployment import HOST, free_port
from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.platform.reports import ReportEndpoint
from laburnumwood.records import NodeRecord
from laburnumwood.routing.server import HttpListener
from laburnumwood.store.objects import node_object_name, to_record
from tests.features.steps.joining_steps import join
from tests.ownership.keys import SERVICE
from tests.ownership.world import node_settings

WORKER = 'i-7f3a91c2'
DEREGISTERED = 'deregistered'
UNHEARD = 'deregistered before its first report'
DRAINING = 'reported that it is draining'
ANNOUNCED_S = 0.5  # within which a node's record follows the worker


def _post(context: Context, call: str, content: bytes = b'') -> None:
    port = free_port()
    endpoint = ReportEndpoint(node_settings('a'), context.node.worker, Clock())
    listener = HttpListener((HOST, port), endpoint, Clock())
    link = HTTPConnection(HOST, port)
    link.request('POST', f'/Instances.{call}/{WORKER}', content)
    answer = link.getresponse()
    answer.read()
    link.close()
    listener.close(0)
    assert answer.status == HTTPStatus.OK, answer.status


def _report(context: Context, number: int, state: str = 'ready') -> None:
    content = {
        'service': SERVICE,
        'slots': 18,
        'state': state,
        'seq': number,
        'born': context.born_ms,
    }
    _post(context, 'Heartbeat', dumps(content))


@given('its worker has {left}, which was answered')
@when('its worker has {left}, which was answered')
def leave(context: Context, left: str) -> None:
    context.born_ms = Clock().wall_ms() - MS_PER_SECOND
    if left != UNHEARD:
        _report(context, 1)
    began_s = time.monotonic()
    if left == DRAINING:
        _report(context, 3, 'draining')
    else:
        _post(context, 'Deregister')
    context.taken_ms = (time.monotonic() - began_s) * MS_PER_SECOND


@given('its store does not answer')
def stop_store(context: Context) -> None:
    context.log = logbook.TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)
    context.store.mode = 'down'


@when('the process of the node is killed, and another one joins')
def replace_process(context: Context) -> None:
    context.first.deactivate()
    context.first.close()
    join(context)


@when('an earlier report of the worker arrives')
def report_late(context: Context) -> None:
    _report(context, 2)


@when('the worker has started again under its id and reports')
def report_again(context: Context) -> None:
    context.born_ms = Clock().wall_ms() + 1
    _report(context, 1)


@then('its worker may not be sent requests, and its record says so')
def check_not_sent(context: Context) -> None:
    assert not context.node.worker.presence.accepts_requests()
    eventlet.sleep(ANNOUNCED_S)
    stored = context.store.get(node_object_name('a'))
    assert not to_record(NodeRecord, stored).serves, stored


@then('its worker may be sent requests')
def check_sent(context: Context) -> None:
    assert context.node.worker.presence.accepts_requests()


@then('that took less than {limit_ms:d} ms')
def check_time(context: Context, limit_ms: int) -> None:
    assert context.taken_ms < limit_ms, context.taken_ms
