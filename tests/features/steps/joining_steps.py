"""Steps about the configuration of a node that joins."""

from typing import Any

import eventlet
import logbook
from behave import given, then, when
from behave.runner import Context

from laburnumwood.daemon.node import Node
from laburnumwood.errors import PlatformUnavailableError
from laburnumwood.header_index import HeaderIndex
from laburnumwood.integration import INTEGRATIONS
from laburnumwood.platform.registration import register
from laburnumwood.records import ConfigRecord, StoredObject
from laburnumwood.routing.caller_protocol import HEADERS_KEY
from laburnumwood.store.objects import CONFIG_NAME, to_value
from tests.ownership.store import FakeStore
from tests.ownership.world import node_settings

LATER_VERSION = 1_000
POLL_S = 0.05


class _UnwatchedStore(FakeStore):
    """A store that rejects every watch."""

    scopes = ('',)

    def watch(self, *_what: Any, **_how: Any) -> Any:
        """Reject the call."""
        raise PlatformUnavailableError('status 503')


class _ForgettingStore(_UnwatchedStore):
    """A store that comes back from an older copy at the first list."""

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return all objects, but the first time none."""
        if self.backing.era == 1:
            self.backing.put_back(1)
            raise PlatformUnavailableError('away')
        return super().list(prefix)


def _config(generation: int) -> dict[str, Any]:
    return to_value(ConfigRecord(generation))


@given('a store with generation {generation:d} that does not answer yet')
def make_silent_store(context: Context, generation: int) -> None:
    make_store(context, generation)
    context.store.mode = 'down'


@given('a store with generation {generation:d}')
def make_store(context: Context, generation: int) -> None:
    context.store = _UnwatchedStore()
    context.store.create(CONFIG_NAME, _config(generation))


@given(
    'a store with generation {generation:d} that forgets a join before its '
    'list is read'
)
def make_forgetting_store(context: Context, generation: int) -> None:
    context.store = _ForgettingStore()
    context.store.create(CONFIG_NAME, _config(generation))


@when('a node begins to join')
def begin(context: Context) -> None:
    if 'platform' not in INTEGRATIONS:
        register()
    settings = node_settings('a').model_copy(update={'borders': 'platform'})
    context.node = Node(settings)
    context.node._platform = context.store
    context.joining = eventlet.spawn(context.node._join, None)
    context.add_cleanup(context.joining.kill)
    eventlet.sleep(POLL_S)


@given('a node that has joined')
def join(context: Context) -> None:
    begin(context)
    context.first = context.joining.wait()
    context.add_cleanup(context.first.close)
    context.add_cleanup(context.first.deactivate)


@given('its record of the node is of an unknown form')
def corrupt_record(context: Context) -> None:
    context.log = logbook.TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)
    context.store.backing.corrupt('nodes/a')


@when('the record is removed')
def remove_record(context: Context) -> None:
    context.store.backing.put_back(1)


@then('it answers 503 and is not ready')
def check_refused(context: Context) -> None:
    statuses: list[str] = []
    environ = {HEADERS_KEY: HeaderIndex(())}
    context.node._serve_caller(
        environ, lambda status, _headers: statuses.append(status)
    )
    assert statuses == ['503 Service Unavailable'], statuses
    assert not context.node.is_ready


@when('its store answers')
def answer(context: Context) -> None:
    context.store.mode = 'up'


@then('it is ready within {limit_s:d} s, with generation {generation:d}')
def check_ready(context: Context, limit_s: int, generation: int) -> None:
    with eventlet.Timeout(limit_s):
        incarnation = context.joining.wait()
    context.add_cleanup(incarnation.deactivate)
    assert context.node.is_ready
    check_in_force(context, generation)


@when(
    "generation {generation:d} comes into force on it while the store's list "
    'is older'
)
def come_into_force(context: Context, generation: int) -> None:
    stored = StoredObject(CONFIG_NAME, _config(generation), LATER_VERSION)
    context.first.view.directory.apply(stored, 'b#1')


@when('it joins anew')
def join_anew(context: Context) -> None:
    context.first.deactivate()
    again = context.node._join(None)
    context.add_cleanup(again.close)
    context.add_cleanup(again.deactivate)


@then('generation {generation:d} is in force on it')
def check_in_force(context: Context, generation: int) -> None:
    incarnation = context.node._incarnation
    found = incarnation.view.directory.config.generation
    assert found == generation, found
