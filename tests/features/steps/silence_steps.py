"""Steps about open connections that go silent for good."""

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from functools import partial
from threading import Event, Thread
from time import sleep
from urllib.parse import urlsplit

import eventlet
import urllib3
from behave import given, then, when
from behave.runner import Context

from bench.deployment import free_port
from bench.reporting import manifest
from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import LinkError, WorkerAnswerError
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.store_watcher import StoreWatcher
from laburnumwood.membership.view import FleetView
from laburnumwood.platform.bodies import encode
from laburnumwood.platform.store import PlatformStore
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.messages import Granted, Renew
from laburnumwood.protocol.peers import Dispatcher, Peers, listen
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import Digest, NodeName, NodeRecord, StoredObject
from laburnumwood.store.objects import node_object_name, to_value
from laburnumwood.upstream.worker import WorkerClient, WorkerRequest
from tests.features.steps.processes import Process
from tests.features.steps.relayed_server import open_count, start_relayed_server

_HOST = '127.0.0.1'
_KEY = LinkSecurity('a key of the tests only')
_LIMIT_MS = 60_000
_OWN, _OTHER = NodeName('a', 1), NodeName('b', 1)
_POLL_S = 0.05
_SETTLE_S = 0.5  # so that the watch waits
_SCOPES = {'records': '', 'configuration': 'config'}


class _EndedError(Exception):
    """The watcher was told to end."""


class _EndableStore(PlatformStore):
    """A client of the store whose next watch ends the thread of its watcher.

    Its calls block, so that the watcher needs a thread of its own.  An eventlet
    hub that still runs there while the interpreter ends would crash it.
    """

    def __init__(self, url: str) -> None:
        super().__init__(url)
        self._is_ending = Event()
        self._thread = Thread()

    def start(self, watcher: StoreWatcher, scope: str) -> None:
        """Start the thread in which a watcher watches a scope."""
        self._thread = Thread(target=self._run, args=(watcher, scope))
        self._thread.start()

    def end(self) -> None:
        """End the thread; return when it has ended."""
        self._is_ending.set()
        self._thread.join()

    def watch(
        self,
        prefix: str,
        since: int,
        wait_ms: int,
        *,
        may_be_stale: bool = False,
    ) -> tuple[tuple[StoredObject, ...], int]:
        """Return the changes under a prefix, as the store's client does."""
        if self._is_ending.is_set():
            raise _EndedError
        return super().watch(prefix, since, wait_ms, may_be_stale=may_be_stale)

    def _run(self, watcher: StoreWatcher, scope: str) -> None:
        with suppress(_EndedError):
            watcher.run(scope)


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
    relayed = _EndableStore(f'http://{_HOST}:{opened["port"]}')
    watcher = StoreWatcher(_OWN, relayed, view, Clock())
    watcher.list_all()
    relayed.start(watcher, _SCOPES[scope])
    context.add_cleanup(relayed.end)
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


@when('the open links between all nodes go silent for good')
def silence_links(context: Context) -> None:
    deployment = context.fleet.deployment
    for silent in (True, False):
        for route in deployment.routes():
            if route.endswith('.peer'):
                deployment.hinder(route, silent=silent)


def _request(context: Context, method: str, key: str) -> tuple[int, int]:
    """Return the status of an answer, and the time that it took."""
    clock = Clock()
    started_ms = clock.now_ms()
    answer = context.fleet.deployment.http.request(
        method,
        f'{context.fleet.doors()[0]}/{context.fleet.service}/x',
        headers={'Kiosk': key},
    )
    return answer.status, clock.now_ms() - started_ms


@when('{count:d} {method} requests for different keys are sent to one node')
def send_requests(context: Context, count: int, method: str) -> None:
    context.keys = [f'{method}-{number}' for number in range(count)]
    with ThreadPoolExecutor(count) as pool:
        request = partial(_request, context, method)
        context.answers = tuple(pool.map(request, context.keys))


@then('each of them is served within {limit_ms:d} ms, and ran once')
def check_served(context: Context, limit_ms: int) -> None:
    statuses = Counter(status for status, _ in context.answers)
    slowest_ms = max(elapsed_ms for _, elapsed_ms in context.answers)
    assert set(statuses) == {200}, (statuses, slowest_ms)
    assert slowest_ms <= limit_ms, slowest_ms
    ran = Counter(
        entry['key']
        for entry in context.fleet.deployment.entries()
        if entry['key'] in context.keys
    )
    assert ran == Counter(context.keys), ran


@given('a link to a witness behind a relay')
def open_link(context: Context) -> None:
    dispatcher = Dispatcher()

    @dispatcher.on(Renew)
    def grant(_link: Link, stream: Stream, _renewal: Renew) -> None:
        stream.send(Granted(Digest(0, 0, 0)))

    port = free_port()
    listener = (_HOST, port), _KEY, dispatcher.handle, Clock()
    server = eventlet.spawn(listen, *listener)
    context.add_cleanup(server.kill)
    relay = Process(('standins.relay',))
    context.add_cleanup(relay.stop)
    context.route = f'{relay.url}/routes/witness'
    opened = urllib3.request('PUT', context.route, json={'target_port': port})
    address = _HOST, opened.json()['port']
    context.peers = Peers(
        _OWN, _KEY, lambda _peer: address, Dispatcher(), Clock()
    )
    context.add_cleanup(context.peers.close)
    eventlet.sleep(0)
    assert _is_renewed(context, _LIMIT_MS)


def _is_renewed(context: Context, timeout_ms: int) -> bool:
    renewal = Renew(_OWN, _OTHER, (1,), (), 0, {}, Digest(0, 0, 0))
    try:
        return isinstance(
            context.peers.call(_OTHER, renewal, timeout_ms), Granted
        )
    except LinkError:
        return False


@then(
    'a renewal that is sent every {interval_ms:d} ms is answered within '
    '{limit_ms:d} ms'
)
def check_renewed(context: Context, interval_ms: int, limit_ms: int) -> None:
    clock = Clock()
    started_ms = clock.now_ms()
    is_renewed = False
    next_ms = started_ms
    while not is_renewed:
        next_ms += interval_ms  # the last one was granted just before
        eventlet.sleep(max(0, next_ms - clock.now_ms()) / MS_PER_SECOND)
        assert clock.now_ms() - started_ms <= limit_ms, 'not renewed'
        is_renewed = _is_renewed(context, interval_ms)
    elapsed_ms = clock.now_ms() - started_ms
    assert elapsed_ms <= limit_ms, elapsed_ms


def _is_answered(context: Context, timeout_ms: int) -> bool:
    request = WorkerRequest('GET', '/x', (), b'', timeout_ms)
    try:
        answer = context.worker.send(request)
    except WorkerAnswerError:
        return False
    answer.read_body(1)
    answer.release()
    return True


@given('a worker behind a relay, with {count:d} connections in the pool')
def fill_pool(context: Context, count: int) -> None:
    context.worker = WorkerClient(start_relayed_server(context), count, Clock())
    check_answered(context, count, _LIMIT_MS)
    assert open_count(context) == count


@when('a request of {timeout_ms:d} ms to the worker gets no answer')
def find_silence(context: Context, timeout_ms: int) -> None:
    assert not _is_answered(context, timeout_ms)


@then(
    '{count:d} requests of {timeout_ms:d} ms to the worker at the same time '
    'are answered'
)
def check_answered(context: Context, count: int, timeout_ms: int) -> None:
    requests = [
        eventlet.spawn(_is_answered, context, timeout_ms) for _ in range(count)
    ]
    answered = [request.wait() for request in requests]
    assert all(answered), answered
