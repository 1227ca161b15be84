"""Steps about doors that ask the store before they deny a route."""

from collections.abc import Iterator
from contextlib import closing, suppress
from types import SimpleNamespace
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.green.http.client import HTTPConnection

from bench.deployment import HOST, free_port
from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import PlatformUnavailableError
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.configuration.freshness import ConfigFreshness
from laburnumwood.membership.configuration.status import (
    FROM_STALE_STORE,
    FROM_STORE,
)
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.store_watcher import StoreWatcher
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.messages import Answer, Chunk, End
from laburnumwood.protocol.peers import Dispatcher
from laburnumwood.records import ConfigRecord, NodeName, StoredObject
from laburnumwood.routing.caller import Caller
from laburnumwood.routing.caller_request import CallerRequest
from laburnumwood.routing.exchange import local_pair
from laburnumwood.routing.pending_answer import PendingAnswer
from laburnumwood.routing.server import HttpListener
from laburnumwood.store.objects import CONFIG_NAME, to_value
from tests.request_stack.ingress import make_ingress

CONTENT = b'whole'
DEADLINE_MS = 5_000
LIMIT_MS = 2_000  # of the age of a proof
LIMIT_S = 20
SILENCE_MS = 10_000


class _AnsweringRouter:
    """A router that answers each request with status 200."""

    def send(self, _request: CallerRequest, _caller: Caller) -> PendingAnswer:
        """Return a whole answer."""
        local_end, remote_end = local_pair()
        clock = Clock()
        answer = PendingAnswer(
            Answer(200, (('Content-Length', str(len(CONTENT))),)),
            local_end,
            clock.now_ms() + DEADLINE_MS,
            clock,
        )
        remote_end.send(Chunk(CONTENT))
        remote_end.send(End(len(CONTENT)))
        answer.await_first_chunk()
        return answer


class _CountingStore:
    """A store of one object that counts its calls."""

    def __init__(self, stored: StoredObject) -> None:
        self.stored = stored
        self.call_count = 0
        self.delay_ms = 0
        self.rejects = False

    def get(self, name: str) -> StoredObject:
        """Return the object."""
        assert name == CONFIG_NAME, name
        self.call_count += 1
        eventlet.sleep(self.delay_ms / MS_PER_SECOND)
        if self.rejects:
            raise PlatformUnavailableError('status 503')
        return self.stored


def _config(generation: int, *services: str) -> StoredObject:
    files: dict[str, Any] = {
        'team': {'services': {name: {} for name in services}}
    }
    record = to_value(ConfigRecord(generation, files))
    return StoredObject(CONFIG_NAME, record, generation)


@given('a door with generation {generation:d}, which has no service "new"')
def make_door(context: Context, generation: int) -> None:
    clock = Clock()
    context.directory = Directory(clock)
    context.directory.apply(_config(generation, 'old'))
    context.store = _CountingStore(_config(generation, 'old'))
    context.directory.config_monitor.record_confirmed(
        FROM_STORE, clock.now_ms()
    )
    router: Any = _AnsweringRouter()
    no_peers: Any = None
    freshness = ConfigFreshness(
        NodeName('a', 1),
        FleetView(context.directory, SealRegistry()),
        context.store,
        no_peers,
        Dispatcher(),
        clock,
        LIMIT_MS,
    )
    ingress = make_ingress(
        router,
        lambda: context.directory.declarations,
        freshness,
    )
    context.address = HOST, free_port()
    server = HttpListener(context.address, ingress, clock)
    context.add_cleanup(server.close, 0)


@given(
    'the store of the door has generation {generation:d} with the service "new"'
)
def change_config(context: Context, generation: int) -> None:
    context.store.stored = _config(generation, 'old', 'new')


@given('the store of the door answers')
def let_answer(context: Context) -> None:
    context.store.rejects = False


@given('the store of the door answers after {delay_ms:d} ms')
def delay_answers(context: Context, delay_ms: int) -> None:
    context.store.delay_ms = delay_ms


@given('the store of the door rejects its calls')
def reject_calls(context: Context) -> None:
    context.store.rejects = True


@given('the store of the door does not answer')
def silence(context: Context) -> None:
    context.store.delay_ms = SILENCE_MS


@given('the store of the door has a configuration that is not readable')
def store_unreadable(context: Context) -> None:
    unreadable = to_value(ConfigRecord(2, {'team': {'services': 7}}))
    context.store.stored = StoredObject(CONFIG_NAME, unreadable, 2)


def _request(context: Context, path: str, **headers: str) -> int:
    connection = HTTPConnection(*context.address, timeout=LIMIT_S)
    with closing(connection):
        sent = {name.replace('_', '-'): text for name, text in headers.items()}
        connection.request('GET', path, headers=sent)
        return int(connection.getresponse().status)


@when('a caller requests "{path}"')
def request(context: Context, path: str) -> None:
    _request_timed(context, path)


@when('a caller with {left_ms:d} ms left requests "{path}"')
def request_soon(context: Context, left_ms: int, path: str) -> None:
    _request_timed(context, path, Laburnumwood_Deadline_Ms=str(left_ms))


def _request_timed(context: Context, path: str, **headers: str) -> None:
    clock = Clock()
    started_ms = clock.now_ms()
    context.statuses = [_request(context, path, **headers)]
    context.elapsed_ms = clock.now_ms() - started_ms


@when('callers request "{path}" {count:d} times in {span_s:d} s')
def request_often(context: Context, path: str, count: int, span_s: int) -> None:
    clock = Clock()
    started_ms = clock.now_ms()
    for number in range(count):
        due_ms = started_ms + span_s * MS_PER_SECOND * number / count
        left_ms = max(0, due_ms - clock.now_ms())
        eventlet.sleep(left_ms / MS_PER_SECOND)
        eventlet.spawn_n(_request_quietly, context, path)


def _request_quietly(context: Context, path: str) -> None:
    with suppress(OSError):
        _request(context, path)


@when('{count:d} callers request "{path}" at the same time')
def request_together(context: Context, count: int, path: str) -> None:
    pool = eventlet.GreenPool()
    answered: Iterator[int] = pool.imap(
        lambda _: _request(context, path), range(count)
    )
    context.statuses = list(answered)


@then('the door answers {status:d}')
@then('the door answers all with {status:d}')
def check_status(context: Context, status: int) -> None:
    assert set(context.statuses) == {status}, context.statuses


@then('the door answers {status:d} within {limit_ms:d} ms')
def check_quick(context: Context, status: int, limit_ms: int) -> None:
    check_status(context, status)
    assert context.elapsed_ms <= limit_ms, context.elapsed_ms


@then('the door asked the store {count:d} time')
@then('the door asked the store {count:d} times')
def check_calls(context: Context, count: int) -> None:
    assert context.store.call_count == count, context.store.call_count


@then('the door asked the store at most {count:d} times')
def check_few_calls(context: Context, count: int) -> None:
    assert 1 <= context.store.call_count <= count, context.store.call_count


@given('the store of the door has generation {generation:d} without services')
def drop_services(context: Context, generation: int) -> None:
    context.store.stored = _config(generation)


@when('nobody confirms the configuration of the door for {span_ms:d} ms')
def hear_nothing(_context: Context, span_ms: int) -> None:
    eventlet.sleep(span_ms / MS_PER_SECOND)


@when('an answer that may be old confirms it')
def hear_old_answer(context: Context) -> None:
    context.directory.config_monitor.record_latest(FROM_STALE_STORE)


def _hear_nothing(*_: Any, **_options: Any) -> tuple[tuple[()], int]:
    return (), 1


@when('a watch ends without a change')
def end_watch(context: Context) -> None:
    platform: Any = SimpleNamespace(
        scopes=('', CONFIG_NAME), era=0, watch=_hear_nothing
    )
    view = FleetView(context.directory, SealRegistry())
    watcher = StoreWatcher(NodeName('a', 1), platform, view, Clock())
    watcher._watch(CONFIG_NAME, may_be_stale=False)


@when('another node confirms it')
def hear_node(context: Context) -> None:
    context.directory.config_monitor.record_current(1, 'p2')
