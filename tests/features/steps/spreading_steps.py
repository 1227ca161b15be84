"""Steps about changes that are propagated from node to node."""

from types import SimpleNamespace
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet import Timeout

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.gossip import Gossip
from laburnumwood.membership.renewal import LeaseRenewer
from laburnumwood.membership.store_watcher import StoreWatcher
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.peers import Dispatcher
from laburnumwood.protocol.store_messages import Changes, ShardNotice
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
    CONFIG_NAME,
    node_object_name,
    shard_object_name,
    to_value,
)

SERVICE = 'service'
NOTIFIED_VERSION = 12  # of the shard that its writer sends
OWNER = NodeName('owner', 1)
PEER = NodeName('b', 1)
LIMIT_S = 5


class _Stream:
    """A stream that keeps the messages that are sent on it."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, message: Any) -> None:
        """Keep a message."""
        self.sent.append(message)

    def close(self) -> None:
        """Do nothing."""


class _LinkedNode:
    """A node whose calls all go directly to one peer."""

    def __init__(self) -> None:
        self.view = FleetView(Directory(), SealRegistry())
        self.dispatcher = Dispatcher()
        self.sent: list[Any] = []
        self.peer: _LinkedNode | None = None
        peers: Any = self
        self.gossip = Gossip(self.view, peers, self.dispatcher)

    def call(self, _peer: NodeName, message: Any, _timeout_ms: int) -> Any:
        """Return the answer of the peer to a message."""
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
    """A store that counts the calls that watch it."""

    scopes = ('records', 'configuration')
    era = 0

    def __init__(self) -> None:
        self.watchers = 0
        self.fresh_watchers = 0

    def watch(
        self, _scope: str, _known: int, _wait_ms: int, *, may_be_stale: bool
    ) -> Any:
        """Count the call, and wait for changes that never come."""
        self.watchers += 1
        self.fresh_watchers += not may_be_stale
        eventlet.sleep(LIMIT_S)


@given(
    'a failure domain of {count:d} nodes and a store of records and '
    'configuration'
)
def make_domain(context: Context, count: int) -> None:
    make_domains(context, 1, count)


@given('{domains:d} failure domains of {count:d} nodes and such a store')
def make_domains(context: Context, domains: int, count: int) -> None:
    context.store = _WatchedStore()
    numbers = range(count * domains)
    context.names = [NodeName(f'n{number}', 1) for number in numbers]
    context.view = FleetView(Directory(), SealRegistry())
    for version, name in enumerate(context.names, start=1):
        domain = f'd{version % domains}'
        record = NodeRecord(1, (1,), 'h', 1, 1, 1, domain, 's', 'o', 1, 1)
        stored = StoredObject(
            node_object_name(name.node_id), to_value(record), version
        )
        context.view.directory.apply(stored)


@when('each of them runs its watcher of the {scope}')
def run_watchers(context: Context, scope: str) -> None:
    for name in context.names:
        watcher = StoreWatcher(name, context.store, context.view, Clock())
        running = eventlet.spawn(watcher.run, scope)
        context.add_cleanup(running.kill)
    eventlet.sleep(0)


@then('{count:d} of them watch the store')
def check_watchers(context: Context, count: int) -> None:
    assert context.store.watchers == count, context.store.watchers


@then('{count:d} of them accept no stale changes')
def check_fresh(context: Context, count: int) -> None:
    assert context.store.fresh_watchers == count, context.store.fresh_watchers


class _CountingLease:
    """A lease with one witness, and the link to it, which counts calls."""

    lost_witnesses = frozenset[NodeName]()
    is_over = False
    is_changing = True  # no other witness is chosen meanwhile
    renewal_targets = (PEER,)
    holder = OWNER

    def __init__(self) -> None:
        self.renewal_count = 0

    def is_held(self) -> bool:
        """Return that the lease is not held yet."""
        return False

    def ignore_ended(self, _ended: object) -> bool:
        """Return that the witness set is unchanged."""
        return False

    def renewal_request(self, _name: NodeName, _digest: Digest) -> None:
        """Return an empty request."""

    def call(self, _peer: NodeName, _message: None, _timeout_ms: int) -> Any:
        """Count the renewal."""
        self.renewal_count += 1


@given('a node that renews its lease every {span_ms:d} ms')
def make_renewing_node(context: Context, span_ms: int) -> None:
    context.lease = _CountingLease()
    lease: Any = context.lease
    unused: Any = SimpleNamespace(name=OWNER)
    context.directory = Directory()
    renewer = LeaseRenewer(
        lease,
        unused,
        unused,
        lease,
        FleetView(context.directory, SealRegistry()),
        unused,
        LeaseSettings(renew_ms=span_ms, grant_ms=2 * span_ms),
        Clock(),
    )
    reviewing = eventlet.spawn(renewer.run)
    context.add_cleanup(reviewing.kill)
    with Timeout(LIMIT_S):
        while not context.lease.renewal_count:
            eventlet.sleep(0)


@when('a configuration comes into force on it')
def apply_config(context: Context) -> None:
    context.before = context.lease.renewal_count
    record = ConfigRecord(1)
    context.directory.apply(StoredObject(CONFIG_NAME, to_value(record), 1))


@then('it sends its witness a renewal within {span_ms:d} ms')
def check_renewed(context: Context, span_ms: int) -> None:
    eventlet.sleep(span_ms / MS_PER_SECOND)
    assert context.lease.renewal_count > context.before


@then('only one for each configuration')
def check_once(context: Context) -> None:
    assert context.lease.renewal_count == context.before + 1


@given('the nodes "a" and "b" that know the store up to revision {revision:d}')
def make_nodes(context: Context, revision: int) -> None:
    context.near, context.far = _LinkedNode(), _LinkedNode()
    context.near.peer = context.far
    for node in (context.near, context.far):
        node.view.directory.revision = revision


@given('"b" has read the shards {numbers} with the versions {versions}')
def read_shards(context: Context, numbers: str, versions: str) -> None:
    directory = context.far.view.directory
    written = _numbers(versions)
    for number, version in zip(_numbers(numbers), written, strict=True):
        value = to_value(ShardRecord(version, (OWNER,)))
        name = shard_object_name(_shard(number))
        directory.apply(StoredObject(name, value, version))
    directory.revision = max(written)


@given('"a" was notified of shard {number:d} by its writer')
def notify(context: Context, number: int) -> None:
    record = ShardRecord(NOTIFIED_VERSION, (OWNER,))
    notice = ShardNotice(str(_shard(number)), record, NOTIFIED_VERSION)
    context.near.answer(notice)


@when('"a" receives the digest of "b"')
def receive_digest(context: Context) -> None:
    context.near.gossip.pull_if_newer(PEER, context.far.view.digest())
    eventlet.sleep(0)


@then('"b" has sent the shards {numbers}')
def check_sent(context: Context, numbers: str) -> None:
    assert len(context.far.sent) == 1, context.far.sent
    changes = context.far.sent[0]
    assert isinstance(changes, Changes), changes
    found = [each.name for each in changes.objects]
    wanted = [shard_object_name(_shard(number)) for number in _numbers(numbers)]
    assert found == wanted, found


@then(
    '"a" knows the shards {numbers}, and the store up to revision {revision:d}'
)
def check_known(context: Context, numbers: str, revision: int) -> None:
    directory = context.near.view.directory
    assert sorted(directory.shards(SERVICE)) == _numbers(numbers)
    assert directory.revision == revision, directory.revision
    newest = context.far.view.directory.shard_records(SERVICE)
    assert directory.shard_records(SERVICE) == newest
