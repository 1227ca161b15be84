"""Steps about run ledgers of nodes, with links that need no network."""

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import LinkRefusedError
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.protocol.messages import Done, Failure, LedgerUpdate
from laburnumwood.protocol.peers import Dispatcher
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import (
    NodeName,
    NodeRecord,
    ShardName,
    ShardRecord,
    StoredObject,
    WriteMark,
)
from laburnumwood.routing.exchange import local_pair
from laburnumwood.routing.ledger_replication import LedgerReplicator
from laburnumwood.routing.run import Run
from laburnumwood.store.objects import (
    node_object_name,
    shard_object_name,
    to_value,
)
from tests.features.steps.fake_clock import FakeClock
from tests.features.steps.plain_work import PLAIN_WORK

LIMIT_MS = 1_000
LONG_MS = 10**9
KINDS = {
    'past-unknown': {'past-unknown'},
    'still-running or ran': {'still-running', 'ran-before'},
}


class _Peers:
    """Links of a node to the others of a test."""

    def __init__(self, own: NodeName, nodes: dict[str, Any]) -> None:
        self._own = own
        self._nodes = nodes

    def open_stream(self, peer: NodeName) -> Stream:
        """Open a stream to the incarnation that goes on; else refuse."""
        node = self._nodes[peer.node_id]
        if node.name != peer:
            raise LinkRefusedError(f'{peer} has ended')
        if node.is_unreachable:
            eventlet.sleep(LONG_MS)
        near, far = local_pair()
        eventlet.spawn_n(self._serve, node.dispatcher, far)
        return near

    def call(self, peer: NodeName, message: Any, timeout_ms: int) -> Any:
        """Send a message and return the reply."""
        stream = self.open_stream(peer)
        stream.send(message)
        return stream.receive(timeout_ms)

    def _serve(self, dispatcher: Dispatcher, stream: Stream) -> None:
        link: Any = SimpleNamespace(peer=self._own)
        dispatcher.handle(link, stream, stream.receive(LIMIT_MS))


def _node(context: Context, name: NodeName, earlier: Any) -> Any:
    directory, dispatcher = Directory(), Dispatcher()
    peers: Any = _Peers(name, context.nodes)
    replicator = LedgerReplicator(
        name,
        FleetView(directory, SealRegistry()),
        HeldShards(),
        peers,
        dispatcher,
        lambda: True,
        context.clock,
        earlier.replicator if earlier else None,
    )
    return SimpleNamespace(
        name=name,
        directory=directory,
        dispatcher=dispatcher,
        replicator=replicator,
        is_unreachable=False,
    )


def _apply(context: Context, name: str, record: Any) -> None:
    context.version += 1
    stored = StoredObject(name, to_value(record), context.version)
    for node in context.nodes.values():
        node.directory.apply(stored)
    context.stored[name] = stored


def _join(context: Context, incarnation: int) -> None:
    for node_id in 'ab':
        earlier = context.nodes.get(node_id)
        name = NodeName(node_id, incarnation)
        context.nodes[node_id] = _node(context, name, earlier)
        for stored in context.stored.values():
            context.nodes[node_id].directory.apply(stored)
    for node_id in 'ab':
        record = NodeRecord(
            incarnation, (incarnation,), 'h', 1, 2, 3, 'd', 's', 'o', 4, 5
        )
        _apply(context, node_object_name(node_id), record)


@given('the nodes a and b with links between them')
def make_nodes(context: Context) -> None:
    context.clock = FakeClock()
    context.nodes, context.stored, context.version = {}, {}, 0
    _join(context, 1)


@given('the nodes a and b join anew')
def join_anew(context: Context) -> None:
    _join(context, 2)


def _record(epoch: int, names: str, writer: str) -> ShardRecord:
    succession = tuple(map(NodeName.parse, names.split()))
    return ShardRecord(epoch, succession, mark=WriteMark(writer, 'w'))


@given(
    'shard {number:d} has the record of epoch {epoch:d} with succession '
    '"{names}" by "{writer}"'
)
def put_record(
    context: Context, number: int, epoch: int, names: str, writer: str
) -> None:
    name = shard_object_name(ShardName('s', number))
    _apply(context, name, _record(epoch, names, writer))


@given('"{node_id}" is of an older version')
def make_older(context: Context, node_id: str) -> None:
    context.confirmed = 0
    dispatcher = context.nodes[node_id].dispatcher

    @dispatcher.on(LedgerUpdate)
    def confirm(_link: object, stream: Stream, _message: LedgerUpdate) -> None:
        context.confirmed += 1
        stream.send(Done())


@when(
    '"{node_id}" splits shard {part:d} off shard {number:d} for the succession '
    '"{names}" in epoch {epoch:d}'
)
def split(
    context: Context,
    node_id: str,
    part: int,
    number: int,
    names: str,
    epoch: int,
) -> None:
    node = context.nodes[node_id]
    record = _record(epoch, names, str(node.name))
    shard = ShardName('s', part)
    node.replicator.hand_over_part(ShardName('s', number), shard, record)
    _apply(context, shard_object_name(shard), record)


@given('no link to "{node_id}" is opened, and none refused')
def make_unreachable(context: Context, node_id: str) -> None:
    context.nodes[node_id].is_unreachable = True


@when('"{node_id}" asks about shard {number:d} for at most {limit_ms:d} ms')
def ask_within(
    context: Context, node_id: str, number: int, limit_ms: int
) -> None:
    late = AssertionError('it still waits for an answer')
    with eventlet.Timeout(limit_ms / MS_PER_SECOND, late):
        ask(context, node_id, number)


@when('"{node_id}" asks about shard {number:d}')
def ask(context: Context, node_id: str, number: int) -> None:
    node, shard = context.nodes[node_id], ShardName('s', number)
    record = node.directory.shard(shard).record
    node.replicator._recovery.recover(shard, record)


def _admit(context: Context, node_id: str, key: str, shard: int) -> Any:
    work = replace(PLAIN_WORK, shard=shard, idempotency_key=key)
    run = Run(work, b'', 8, context.clock.now_ms() + LONG_MS)
    return context.nodes[node_id].replicator.admit(run)


@given('"{node_id}" admitted the payment "{key}" in shard {shard:d}')
@then('"{node_id}" admits the payment "{key}" in shard {shard:d}')
def admit(context: Context, node_id: str, key: str, shard: int) -> None:
    refused = _admit(context, node_id, key, shard)
    assert refused is None, refused


@then(
    '"{node_id}" answers the payment "{key}" in shard {shard:d} with "{kind}"'
)
def refuse(
    context: Context, node_id: str, key: str, shard: int, kind: str
) -> None:
    refused = _admit(context, node_id, key, shard)
    assert isinstance(refused, Failure), refused
    assert refused.kind in KINDS[kind], refused


@then('"{node_id}" confirmed {count:d} message')
def check_confirmed(context: Context, node_id: str, count: int) -> None:
    assert context.confirmed == count, context.confirmed
