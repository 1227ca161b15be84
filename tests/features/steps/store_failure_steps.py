"""Steps about what is known after failed calls to a store."""

import socket
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from itertools import repeat
from threading import Thread
from types import SimpleNamespace
from typing import Any

import urllib3
from behave import given, then, when
from behave.runner import Context

from bench.deployment import HOST, free_port
from laburnumwood.clock import Clock
from laburnumwood.errors import (
    PlatformConflictError,
    PlatformNotReachedError,
    PlatformUnavailableError,
)
from laburnumwood.leases.lease import Lease
from laburnumwood.membership.directory import Directory
from laburnumwood.placement.shard_write import ShardWrite, WriteProgress
from laburnumwood.placement.writer import ShardWriter
from laburnumwood.platform.store import PlatformStore
from laburnumwood.protocol.messages import Renew
from laburnumwood.records import (
    Digest,
    NodeName,
    ShardName,
    ShardRecord,
    WitnessSet,
)
from laburnumwood.settings import LeaseSettings
from laburnumwood.store.client import HttpStore
from tests.features.steps.relayed_server import (
    open_count,
    start_relayed_server,
)

_STORES: dict[str, Any] = {'platform': PlatformStore, 'own': HttpStore}
_FAILURES = {
    'not-reached': PlatformNotReachedError,
    'lost': PlatformUnavailableError,
    'conflict': PlatformConflictError,
}
_READ_BYTES = 65_536
_LIMIT_MS = 60_000
_NOT_FOUND = b'HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n'


def _listen(context: Context, head: bytes) -> int:
    """Answer every connection with `head`; return the port."""
    listener = socket.create_server((HOST, 0))
    context.add_cleanup(listener.close)

    def serve() -> None:
        with suppress(OSError):
            while True:
                connection = listener.accept()[0]
                connection.recv(_READ_BYTES)
                connection.sendall(head)
                connection.close()

    Thread(target=serve, daemon=True).start()
    return int(listener.getsockname()[1])


@given('"{kind}" at a port where nothing listens')
def make_unreachable(context: Context, kind: str) -> None:
    context.store = _STORES[kind](f'http://{HOST}:{free_port()}')


@given('"{kind}" at a server that answers {status:d}')
def make_failing(context: Context, kind: str, status: int) -> None:
    head = f'HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n'
    port = _listen(context, head.encode())
    context.store = _STORES[kind](f'http://{HOST}:{port}')


@given('"{kind}" at a server that closes without an answer')
def make_closing(context: Context, kind: str) -> None:
    context.store = _STORES[kind](f'http://{HOST}:{_listen(context, b"")}')


@given('"{kind}" at a server that answers 404 and keeps its connections')
def make_keeping(context: Context, kind: str) -> None:
    listener = socket.create_server((HOST, 0))
    context.add_cleanup(listener.close)

    def serve() -> None:
        with suppress(OSError):
            connection = listener.accept()[0]
            while connection.recv(_READ_BYTES):
                connection.sendall(_NOT_FOUND)

    Thread(target=serve, daemon=True).start()
    port = listener.getsockname()[1]
    context.store = _STORES[kind](f'http://{HOST}:{port}')


def _is_read(context: Context) -> bool:
    try:
        return context.store.get('nodes/a') is None
    except PlatformUnavailableError:
        return False


@then('{count:d} reads at the same time are answered')
def check_reads(context: Context, count: int) -> None:
    with ThreadPoolExecutor(count) as pool:
        answered = tuple(pool.map(_is_read, repeat(context, count)))
    assert all(answered), answered


@given('"{kind}" behind a relay, with {count:d} connections open')
def open_connections(context: Context, kind: str, count: int) -> None:
    context.store = _STORES[kind](start_relayed_server(context))
    check_reads(context, count)
    assert open_count(context) == count


@when('its open connections go silent for good')
def silence_open(context: Context) -> None:
    for silent in (True, False):
        switches = {'silent': silent}
        answer = urllib3.request('POST', context.route, json=switches)
        assert answer.status == 200, answer.data


@when('an object is read until the store answers')
def read_until_answered(context: Context) -> None:
    clock = Clock()
    started_ms = clock.now_ms()
    while not _is_read(context):
        assert clock.now_ms() - started_ms < _LIMIT_MS
    context.elapsed_ms = clock.now_ms() - started_ms


@then('it was answered within {limit_ms:d} ms')
def check_answered_in_time(context: Context, limit_ms: int) -> None:
    assert context.elapsed_ms <= limit_ms, context.elapsed_ms


@when('an object is read from it')
def read_object(context: Context) -> None:
    assert context.store.get('nodes/a') is None
    calls = context.store._calls
    idle_connections = calls._pool.pool.queue
    context.connection = idle_connections[-1].sock


def _tcp_option(context: Context, option: int) -> int:
    return int(context.connection.getsockopt(socket.IPPROTO_TCP, option))


@then('its connection is probed after {idle_s:d} s without a packet')
def check_probed(context: Context, idle_s: int) -> None:
    sock = context.connection
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert _tcp_option(context, socket.TCP_KEEPIDLE) == idle_s
    assert _tcp_option(context, socket.TCP_KEEPINTVL) == idle_s
    assert _tcp_option(context, socket.TCP_NODELAY)


@then(
    'it is closed once nothing has come for {span_ms:d} ms and probes are '
    'unanswered'
)
def check_closed(context: Context, span_ms: int) -> None:
    found_ms = _tcp_option(context, socket.TCP_USER_TIMEOUT)
    assert found_ms == span_ms, found_ms


@when('an object is written to it')
def write_object(context: Context) -> None:
    context.failure = None
    try:
        context.store.update('shards/s/0', {}, 1)
    except PlatformUnavailableError as failure:
        context.failure = failure


@then('the store was not reached')
def check_not_reached(context: Context) -> None:
    failure = context.failure
    assert isinstance(failure, PlatformNotReachedError), repr(failure)


@then('the store may have executed it')
def check_unknown(context: Context) -> None:
    failure = context.failure
    assert isinstance(failure, PlatformUnavailableError), repr(failure)
    assert not isinstance(failure, PlatformNotReachedError), repr(failure)


@then('one more fails because the store was not reached')
def check_breaker_open(context: Context) -> None:
    context.store = context.guarded
    context.failure = None
    try:
        context.guarded.get('name')
    except PlatformUnavailableError as failure:
        context.failure = failure
    check_not_reached(context)


class _FailingStore:
    """A store whose calls fail with the given failures in turn."""

    era = 0

    def __init__(self, failures: str) -> None:
        self.calls = failures.split()

    def get(self, name: str) -> Any:
        """Raise the next failure."""
        raise _FAILURES[self.calls.pop(0)](name)

    def update(self, name: str, _value: Any, _version: int) -> int:
        """Raise the next failure."""
        raise _FAILURES[self.calls.pop(0)](name)


def _held_lease(shard: ShardName, epoch: int) -> Lease:
    """Return a lease whose one witness knows the floor of a shard."""
    own, clock = NodeName('a', 1), Clock()
    lease = Lease(own, LeaseSettings(), clock)
    lease.set_first_witnesses(WitnessSet(1, (own,)))
    floors = {str(shard): epoch}
    digest = Digest(0, 0, 0)
    request = Renew(own, own, (1,), (), 0, floors, digest)
    lease.record_grant(request, clock.now_ms())
    return lease


@given('a {kind} to a store whose calls are "{failures}" in turn')
def make_write(context: Context, kind: str, failures: str) -> None:
    context.store = _FailingStore(failures)
    shard, record = ShardName('s', 0), ShardRecord(2, (NodeName('b', 1),))
    lease = _held_lease(shard, record.epoch)
    context.write = ShardWrite(shard, record, 1, lease, Clock())
    context.write.stop_if_unreachable = kind == 'move'


@when('it is stepped {steps:d} times')
def step_write(context: Context, steps: int) -> None:
    for _ in range(steps):
        context.progress = context.write.step(context.store)


@then('it is "{progress}"')
def check_progress(context: Context, progress: str) -> None:
    assert context.progress.name == progress, context.progress
    assert not context.store.calls, context.store.calls


@when(
    'moves that are not sent are executed one after the other '
    'for {span_ms:d} ms'
)
def execute_repeatedly(context: Context, span_ms: int) -> None:
    renewer: Any = SimpleNamespace(renew_now=lambda: None)
    store: Any = _FailingStore('')
    writer = ShardWriter(store, Directory(), renewer)
    write: Any = SimpleNamespace(step=lambda _store: WriteProgress.NOT_SENT)
    context.executed = 0
    clock = Clock()
    until_ms = clock.now_ms() + span_ms
    while clock.now_ms() < until_ms:
        assert writer.execute(write) is WriteProgress.NOT_SENT
        context.executed += 1


@then('at most {most:d} are executed')
def check_executed(context: Context, most: int) -> None:
    assert 0 < context.executed <= most, context.executed
