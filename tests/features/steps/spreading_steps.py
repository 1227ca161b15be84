"""Steps about news that goes from node to node."""

from types import SimpleNamespace
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet import Timeout

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.reader import Reader
from laburnumwood.membership.renewal import Renewer
from laburnumwood.membership.spreading import Spreader
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.messages import Changes, ShardNotice
from laburnumwood.protocol.peers import Dispatcher
from laburnumwood.records import (
    ConfigRecord,
    Digest,
    NodeName,
    NodeRecord,
    ShardName,
    ShardRecord,
    StoredObject,
)
from laburnumwood.settings import LeaseSettings
from laburnumwood.store.objects import (
    CONFIG,
    node_object,
    shard_object,
    to_value,
)

SERVICE = 'service'
TOLD_AS = 12  # the version of the shard that is told of
OWNER = NodeName('owner', 1)
PEER = NodeName('b', 1)
LIMIT_S = 5


class _Stream:
    """Keeps what is sent on it."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, message: Any) -> None:
        """Keep a message."""
        self.sent.append(message)

    def close(self) -> None:
        """End nothing."""


class _Near:
    """A node with the other one as its only peer."""

    def __init__(self) -> None:
        self.view = FleetView(Directory(), SealRegistry())
        self.dispatcher = Dispatcher()
        self.sent: list[Any] = []
        self.peer: _Near | None = None
        peers: Any = self
        self.spreader = Spreader(self.view, peers, self.dispatcher)

    def call(self, _peer: NodeName, message: Any, _timeout_ms: int) -> Any:
        """Let the peer answer a message."""
        assert self.peer is not None
        return self.peer.answer(message)

    def answer(self, message: Any) -> Any:
        """Return the answer to a message."""
        link: Any = self
        stream: Any = _Stream()
        self.dispatcher.handle(link, stream, message)
        self.sent.extend(stream.sent)
        return stream.sent[-1]


def _shard(number: int) -> ShardName:
    return ShardName(SERVICE, number)


def _numbers(text: str) -> list[int]:
    return [int(each) for each in text.replace(' and ', ', ').split(', ')]


class _WatchedStore:
    """A store that notes who watches it."""

    scopes = ('records', 'configuration')

    def __init__(self) -> None:
        self.watchers = 0
        self.fresh = 0

    def watch(
        self, _scope: str, _known: int, _wait_ms: int, *, may_be_stale: bool
    ) -> Any:
        """Wait for changes that never come."""
        self.watchers += 1
        self.fresh += not may_be_stale
        eventlet.sleep(LIMIT_S)


@given(
    'a failure domain of {count:d} nodes with a store of its records and its '
    'configuration'
)
def make_domain(context: Context, count: int) -> None:
    make_domains(context, 1, count)


@given('{domains:d} failure domains of {count:d} nodes with such a store')
def make_domains(context: Context, domains: int, count: int) -> None:
    context.store = _WatchedStore()
    numbers = range(count * domains)
    context.names = [NodeName(f'n{number}', 1) for number in numbers]
    context.view = FleetView(Directory(), SealRegistry())
    for version, name in enumerate(context.names, start=1):
        domain = f'd{version % domains}'
        record = NodeRecord(1, (1,), 'h', 1, 1, 1, domain, 's', 'o', 1, 1)
        stored = StoredObject(
            node_object(name.node_id), to_value(record), version
        )
        context.view.directory.apply(stored)


@when('each of them runs its reader of the {scope}')
def run_readers(context: Context, scope: str) -> None:
    for name in context.names:
        reader = Reader(name, context.store, context.view)
        running = eventlet.spawn(reader.run, scope)
        context.add_cleanup(running.kill)
    eventlet.sleep(0)


@then('{count:d} of them watch the store')
def check_watchers(context: Context, count: int) -> None:
    assert context.store.watchers == count, context.store.watchers


@then('{count:d} of them want no stale changes')
def check_fresh(context: Context, count: int) -> None:
    assert context.store.fresh == count, context.store.fresh


class _AskedWitness:
    """A lease with one witness, and the link to it."""

    lost = frozenset[NodeName]()
    is_over = False
    is_changing = True  # no other witness is chosen meanwhile
    asked = (PEER,)
    holder = OWNER

    def __init__(self) -> None:
        self.asked_count = 0

    def holds(self) -> bool:
        """Tell that the lease is not held yet."""
        return False

    def ignore_ended(self, _ended: object) -> bool:
        """Tell that nothing changes by it."""
        return False

    def renewal(self, _name: NodeName, _digest: Digest) -> None:
        """Return nothing to send."""

    def call(self, _peer: NodeName, _message: None, _timeout_ms: int) -> Any:
        """Count the question."""
        self.asked_count += 1


@given('a node that renews its lease every {span:d} ms')
def make_renewer(context: Context, span: int) -> None:
    context.asked = _AskedWitness()
    asked: Any = context.asked
    nothing: Any = SimpleNamespace(name=OWNER)
    context.directory = Directory()
    renewer = Renewer(
        asked,
        nothing,
        nothing,
        asked,
        FleetView(context.directory, SealRegistry()),
        nothing,
        LeaseSettings(renew_ms=span, grant_ms=2 * span),
        Clock(),
    )
    reviewing = eventlet.spawn(renewer.run)
    context.add_cleanup(reviewing.kill)
    with Timeout(LIMIT_S):
        while not context.asked.asked_count:
            eventlet.sleep(0)


@when('a configuration comes into force on it')
def change_config(context: Context) -> None:
    context.before = context.asked.asked_count
    record = ConfigRecord(1)
    context.directory.apply(StoredObject(CONFIG, to_value(record), 1))


@then('its witness is asked again within {span:d} ms')
def check_asked(context: Context, span: int) -> None:
    eventlet.sleep(span / MS_PER_SECOND)
    assert context.asked.asked_count > context.before


@then('once for each configuration')
def check_once(context: Context) -> None:
    assert context.asked.asked_count == context.before + 1


@given('the nodes "a" and "b" that know the store up to {revision:d}')
def make_nodes(context: Context, revision: int) -> None:
    context.near, context.far = _Near(), _Near()
    context.near.peer = context.far
    for node in (context.near, context.far):
        node.view.directory.revision = revision


@given('"b" has read the shards {numbers}, written as {versions}')
def let_read(context: Context, numbers: str, versions: str) -> None:
    directory = context.far.view.directory
    written = _numbers(versions)
    for number, version in zip(_numbers(numbers), written, strict=True):
        value = to_value(ShardRecord(version, (OWNER,)))
        name = shard_object(_shard(number))
        directory.apply(StoredObject(name, value, version))
    directory.revision = max(written)


@given('"a" was told of shard {number:d} by its writer')
def tell(context: Context, number: int) -> None:
    record = ShardRecord(TOLD_AS, (OWNER,))
    notice = ShardNotice(str(_shard(number)), record, TOLD_AS)
    context.near.answer(notice)


@when('"a" hears how much "b" knows')
def hear(context: Context) -> None:
    context.near.spreader.compare(PEER, context.far.view.digest())
    eventlet.sleep(0)


@then('"b" has sent the shards {numbers}')
def check_sent(context: Context, numbers: str) -> None:
    assert len(context.far.sent) == 1, context.far.sent
    changes = context.far.sent[0]
    assert isinstance(changes, Changes), changes
    found = [each.name for each in changes.objects]
    wanted = [shard_object(_shard(number)) for number in _numbers(numbers)]
    assert found == wanted, found


@then('"a" knows the shards {numbers}, and the store up to {revision:d}')
def check_known(context: Context, numbers: str, revision: int) -> None:
    directory = context.near.view.directory
    assert sorted(directory.shards(SERVICE)) == _numbers(numbers)
    assert directory.revision == revision, directory.revision
    newest = context.far.view.directory.shard_records(SERVICE)
    assert directory.shard_records(SERVICE) == newest
