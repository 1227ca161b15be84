"""Steps about shards that a node holds and does not serve."""

from types import SimpleNamespace
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from logbook import TestHandler

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.notifier import Notifier
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.shard_closing import ShardCloser
from laburnumwood.placement.unserved_shards import UnservedShards
from laburnumwood.records import NodeName, ShardName
from tests.features.steps.fake_clock import FakeClock

SHARD = ShardName('s', 1)
NEXT = NodeName('b', 2)
REVIEW_MS = 200
SOON_S = 0.05  # for tasks to get their turn


class FakeWorker:
    """A worker that has its grants, and releases when it is told to."""

    def __init__(self) -> None:
        self.changes = Notifier()
        self.has_grants = True
        self.releases = True

    def covers(self, _shard: ShardName, _token: int | None) -> bool:
        """Return whether the worker has its grants."""
        return self.has_grants

    def withdraw(self, _shard: ShardName) -> None:
        """Do nothing."""

    def is_released(self, _shard: ShardName) -> bool:
        """Return whether the worker releases shards."""
        return self.releases


@given('a node that holds a shard and serves it')
def make_node(context: Context) -> None:
    context.clock, context.worker = FakeClock(), FakeWorker()
    context.held_shards = HeldShards()
    context.held_shards.hold(SHARD, 8)
    context.holds_lease = True
    lease: Any = SimpleNamespace(is_held=lambda: context.holds_lease)
    context.unserved = UnservedShards(
        context.held_shards, context.worker, lease, context.clock
    )
    context.log = TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)


@given('a request runs in the shard')
def begin_request(context: Context) -> None:
    context.use = context.held_shards.acquire(SHARD)


@given('the worker does not release the shard')
def keep_shard(context: Context) -> None:
    context.worker.releases = False
    context.worker.has_grants = False  # it was withdrawn


@when('the shard is to move')
def begin_move(context: Context) -> None:
    writer: Any = SimpleNamespace(try_refresh=lambda _shard: True)
    closer = ShardCloser(
        context.held_shards,
        context.worker,
        writer,
        lambda: True,
        context.clock,
    )
    record = SimpleNamespace(succession=(NEXT,))
    write = SimpleNamespace(shard=SHARD, record=record)
    task = eventlet.spawn(closer.release, write)
    context.add_cleanup(task.kill)
    eventlet.sleep(SOON_S)


@when('the worker loses its grants')
def lose_grants(context: Context) -> None:
    context.worker.has_grants = False


@when('the lease of the node is lost')
def lose_lease(context: Context) -> None:
    context.holds_lease = False


@when('the shard is opened again')
def reopen(context: Context) -> None:
    context.worker.has_grants = True
    context.held_shards.reopen(SHARD)


@when('the node is watched for {span:d} ms')
def watch(context: Context, span: int) -> None:
    for _ in range(span // REVIEW_MS):
        context.unserved.review()
        context.clock.pass_ms(REVIEW_MS)


def _events(context: Context) -> list[dict[str, Any]]:
    return [record.extra for record in context.log.records]


@then('no event names the shard')
def check_silent(context: Context) -> None:
    assert not _events(context), _events(context)


@then('the event "{name}" names the shard once, with "{cause}"')
def check_event(context: Context, name: str, cause: str) -> None:
    found = [each for each in _events(context) if each['event'] == name]
    assert len(found) == 1, _events(context)
    assert found[0]['shards'] == str(SHARD), found
    assert cause in found[0]['cause'], found
    assert found[0]['longest_ms'] <= MS_PER_SECOND, found


@then('the pages have the shard for {span:d} ms')
def check_page(context: Context, span: int) -> None:
    rows = [(each.shard, each.for_ms) for each in context.unserved.overdue()]
    assert rows == [(SHARD, span)], rows


@then('it is told that the shard was not served for {span:d} ms')
def check_end(context: Context, span: int) -> None:
    last = _events(context)[-1]
    assert last['event'] == 'shards-served-again', last
    assert (last['shards'], last['longest_ms']) == (str(SHARD), span), last
    assert not context.unserved.overdue()


@when('a pause of the shard of {span:d} ms ends')
def end_pause(context: Context, span: int) -> None:
    watch(context, span)
    reopen(context)
