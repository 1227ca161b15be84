"""Steps about open connections that go silent for good."""

from threading import Thread
from time import sleep
from urllib.parse import urlsplit

import urllib3
from behave import given, then, when
from behave.runner import Context

from bench.reporting import manifest
from laburnumwood.clock import Clock
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.store_watcher import StoreWatcher
from laburnumwood.membership.view import FleetView
from laburnumwood.platform.bodies import encode
from laburnumwood.platform.store import PlatformStore
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.store.objects import node_object_name, to_value
from tests.features.steps.processes import Process

_HOST = '127.0.0.1'
_OWN, _OTHER = NodeName('a', 1), NodeName('b', 1)
_POLL_S = 0.05
_SETTLE_S = 0.5  # so that the watch waits
_SCOPES = {'records': '', 'configuration': 'config'}


def _record() -> NodeRecord:
    return NodeRecord(1, (1,), 'h', 1, 1, 1, 'd', 's', 'o', 1, 1)


def _write_manifest(
    context: Context, method: str, path: str, version: int
) -> None:
    content = manifest(version, {'portal': True})
    body = encode({'metadata': {'name': 'main'}, 'spec': content})
    url = f'{context.store_url}/objects/config{path}'
    assert urllib3.request(method, url, body=body).status == 200


@given('a node that watches the {scope} of a store behind a relay')
def start_watcher(context: Context, scope: str) -> None:
    store = Process(('standins.objects',))
    context.add_cleanup(store.stop)
    context.store_url = store.url
    relay = Process(('standins.relay',))
    context.add_cleanup(relay.stop)
    context.route = f'{relay.url}/routes/store'
    target = {'target_port': urlsplit(store.url).port}
    opened = urllib3.request('PUT', context.route, json=target).json()
    _write_manifest(context, 'POST', '', 1)
    PlatformStore(store.url).create(
        node_object_name(_OWN.node_id), to_value(_record())
    )
    context.directory = Directory()
    view = FleetView(context.directory, SealRegistry())
    relayed = PlatformStore(f'http://{_HOST}:{opened["port"]}')
    watcher = StoreWatcher(_OWN, relayed, view, Clock())
    watcher.list_all()
    Thread(target=watcher.run, args=(_SCOPES[scope],), daemon=True).start()
    sleep(_SETTLE_S)


@when('the records changes in the store')
def write_record(context: Context) -> None:
    PlatformStore(context.store_url).create(
        node_object_name(_OTHER.node_id), to_value(_record())
    )
    context.has_change = lambda: context.directory.node(_OTHER)


@when('the configuration changes in the store')
def write_configuration(context: Context) -> None:
    _write_manifest(context, 'PUT', '/main', 2)
    context.has_change = lambda: context.directory.config.generation == 2


@then('the node has the change within {limit_ms:d} ms')
def check_change(context: Context, limit_ms: int) -> None:
    clock = Clock()
    until_ms = clock.now_ms() + limit_ms
    while not context.has_change():
        assert clock.now_ms() < until_ms, 'the change has not arrived'
        sleep(_POLL_S)
