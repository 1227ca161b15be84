"""Steps about the evacuation of failure domains."""

from dataclasses import replace
from functools import partial
from itertools import product
from random import Random
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context

from bench.deployment import wait_for
from bench.reporting import ReportingDeployment
from bench.spreading import record_of
from laburnumwood.admission.retry_budget import RetryBudgets
from laburnumwood.balancing.request_balancer import RequestBalancer
from laburnumwood.clock import Clock
from laburnumwood.errors import (
    CompactedError,
    LinkError,
    PlatformUnavailableError,
)
from laburnumwood.evacuation.register import EvacuationRegister
from laburnumwood.evacuation.watcher import EvacuationWatcher
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.load_reports import LoadReports
from laburnumwood.placement.move_policy import PlacementSnapshot
from laburnumwood.placement.relocation import relocate
from laburnumwood.placement.succession import choose_succession
from laburnumwood.protocol.messages import Failure
from laburnumwood.records import (
    EvacuationNotice,
    NodeName,
    ShardName,
    ShardRecord,
    StoredObject,
)
from laburnumwood.routing.router import Router
from laburnumwood.store.objects import (
    EVACUATION_PREFIX,
    node_object_name,
    shard_object_name,
    to_value,
)
from laburnumwood.store.versions import make_version
from tests.features.steps.fake_clock import FakeClock
from tests.features.steps.plain_work import PLAIN_WORK, caller_request
from tests.features.steps.platform_steps import (
    OK,
    SAMPLE_KEYS,
    TIMEOUT_S,
    next_attempt_id,
    request_key,
)

SERVICE = 'service'
SLOTS = 8


class _Store:
    """A store of evacuations, with the faults that a test sets."""

    def __init__(self) -> None:
        self.domains: list[str] = []
        self.version = make_version(1, 5)
        self.is_silent = False
        self.calls = 0

    def list(self, prefix: str) -> Any:
        """Return the objects and the version."""
        self.calls += 1
        if self.is_silent:
            raise PlatformUnavailableError(prefix)
        names = [f'{EVACUATION_PREFIX}{domain}' for domain in self.domains]
        objects = tuple(StoredObject(name, {}, self.version) for name in names)
        return objects, self.version

    def watch(self, prefix: str, _since: int, _wait_ms: int) -> Any:
        """Raise an error: the changes since any version are lost."""
        raise CompactedError(prefix)


def _domains(text: str) -> list[str]:
    return [] if text == 'none' else text.split(', ')


@given('a node that knows {count:d} nodes in each of the domains "{domains}"')
def make_view(context: Context, count: int, domains: str) -> None:
    context.clock = FakeClock()
    context.register = EvacuationRegister(context.clock)
    context.view = FleetView(Directory(), SealRegistry(), context.register)
    places = product(_domains(domains), range(count))
    for number, (domain, _) in enumerate(places, start=1):
        record = replace(record_of(0), failure_domain=domain, slots=SLOTS)
        name = node_object_name(f'n{number}')
        context.view.directory.apply(
            StoredObject(name, to_value(record), number)
        )
    context.store = _Store()
    context.watcher = EvacuationWatcher(
        context.store, context.register, lambda: None, context.clock, Random(1)
    )


@given('it watches a store that lists "{domain}"')
@when('the store lists "{domain}" as evacuated')
def list_domain(context: Context, domain: str) -> None:
    context.store.domains = _domains(domain)
    context.store.version += 1
    context.watcher.list_domains()


@when('the store lists none as evacuated')
def list_none(context: Context) -> None:
    list_domain(context, 'none')


@then('{count:d} nodes serve, none of them in "{domain}"')
def check_serving(context: Context, count: int, domain: str) -> None:
    serving = context.view.serving_nodes(SERVICE)
    assert len(serving) == count, serving
    assert domain not in {each.failure_domain for each in serving.values()}


@then('no succession of a shard has a node in "{domain}"')
def check_successions(context: Context, domain: str) -> None:
    serving = context.view.serving_nodes(SERVICE)
    for number in range(20):
        owner, *successors = choose_succession(
            ShardName(SERVICE, number), next(iter(serving)), serving
        )
        named = {serving[name].failure_domain for name in (owner, *successors)}
        assert len(successors) == 2 and domain not in named


@then(
    'the nodes in "{domain}" count with {first:d} of {slots:d} slots, and '
    '{last:d} slots after {span_ms:d} ms'
)
def check_return(
    context: Context,
    domain: str,
    first: int,
    slots: int,
    last: int,
    span_ms: int,
) -> None:
    assert slots == SLOTS
    assert _slots_in(context, domain) == {first}
    pass_ms(context, span_ms)
    assert _slots_in(context, domain) == {last}


def _slots_in(context: Context, domain: str) -> set[int]:
    serving = context.view.serving_nodes(SERVICE).values()
    return {each.slots for each in serving if each.failure_domain == domain}


@then(
    'owners in "{domain}" may serve for {span_ms:d} ms more, with a limit of '
    '{limit_ms:d} ms'
)
def check_owners(
    context: Context, domain: str, span_ms: int, limit_ms: int
) -> None:
    may_serve = partial(context.register.may_owners_serve, domain, limit_ms)
    if span_ms:
        context.clock.pass_ms(span_ms - 1)
        assert may_serve()
        context.clock.pass_ms(1)
    assert not may_serve()


@then('the service is wholly evacuated')
def check_wholly(context: Context) -> None:
    assert context.view.is_service_evacuated(SERVICE)


@then('the service is not wholly evacuated')
def check_not_wholly(context: Context) -> None:
    assert not context.view.is_service_evacuated(SERVICE)


class _RefusingLinks:
    """Links to nodes that can't be reached."""

    def __init__(self) -> None:
        self.opened: list[str] = []

    def open_stream(self, peer: NodeName, **_how: bool) -> Any:
        """Raise an error: nothing is sent."""
        self.opened.append(peer.node_id)
        raise LinkError(f'{peer} is out of reach')


@given('shard {number:d} is owned by "{node_id}", whose gate refuses')
def own_shard(context: Context, number: int, node_id: str) -> None:
    shard = ShardName(SERVICE, number)
    record = ShardRecord(1, (NodeName(node_id, 1),))
    context.view.directory.apply(
        StoredObject(shard_object_name(shard), to_value(record), 90)
    )


@then(
    'a request of shard {number:d} fails as not run, after {count:d} attempts '
    'at "{node_id}"'
)
def check_attempts(
    context: Context, number: int, count: int, node_id: str
) -> None:
    links: Any = _RefusingLinks()
    clock = Clock()
    caller: Any = SimpleNamespace(is_gone=False)
    work = replace(PLAIN_WORK, service=SERVICE, shard=number)
    router = Router(
        NodeName('door', 1),
        context.view,
        links,
        lambda *_: None,
        RequestBalancer(LoadReports(clock), 'x', Random(1), clock),
        RetryBudgets(0, clock),
        clock,
    )
    outcome = router.send(caller_request(work, clock), caller)
    assert isinstance(outcome, Failure) and not outcome.ran, outcome
    assert len(links.opened) == count
    assert set(links.opened) <= {node_id}


@when(
    'a peer tells it that "{domain}" was evacuated at version {version:d}, '
    'proved {age_ms:d} ms ago'
)
def tell(context: Context, domain: str, version: int, age_ms: int) -> None:
    notice = EvacuationNotice(version, age_ms, tuple(_domains(domain)))
    context.register.learn_notice(notice, 'peer')


@when(
    'a peer tells it that none was evacuated at version {version:d}, proved '
    '{age_ms:d} ms ago'
)
def tell_none(context: Context, version: int, age_ms: int) -> None:
    tell(context, 'none', version, age_ms)


@when(
    'a peer tells it that none was evacuated at version {version:d} after '
    '{span_ms:d} ms'
)
def tell_later(context: Context, version: int, span_ms: int) -> None:
    context.clock.pass_ms(span_ms)
    tell_none(context, version, 0)


@then('the nodes in "{domain}" count with all of {slots:d} slots')
def check_all_slots(context: Context, domain: str, slots: int) -> None:
    assert _slots_in(context, domain) == {slots}


@then('"{domain}" is evacuated, by a proof that is {age_ms:d} ms old')
def check_proof(context: Context, domain: str, age_ms: int) -> None:
    assert context.view.is_evacuated(domain)
    assert context.register.confirmed_age_ms == age_ms


@when('{span_ms:d} ms pass at the watching node')
def pass_ms(context: Context, span_ms: int) -> None:
    context.calls = context.store.calls
    context.clock.pass_ms(span_ms)
    context.watcher.review()


@then('it has not asked the store again')
def check_not_asked(context: Context) -> None:
    assert context.store.calls == context.calls


@then('it has asked the store again')
def check_asked(context: Context) -> None:
    assert context.store.calls == context.calls + 1
    assert context.register.confirmed_age_ms == 0


@when('the store is silent for {span_ms:d} ms')
def silence_store(context: Context, span_ms: int) -> None:
    context.store.is_silent = True
    pass_ms(context, span_ms)


@when('the store has lost its history and lists "{domain}"')
def lose_history(context: Context, domain: str) -> None:
    context.store.domains = _domains(domain)
    context.store.version += 1
    try:
        context.watcher.watch_once(100)
    except CompactedError:
        return
    raise AssertionError('the watch found a history')


@when('the store begins another era and lists none')
def begin_era(context: Context) -> None:
    context.store.version = make_version(2, 1)
    context.store.domains = []
    context.watcher.list_domains()


@then('the evacuated domains are "{domains}"')
def check_domains(context: Context, domains: str) -> None:
    assert sorted(context.register.domains) == _domains(domains)


@then('no domain is evacuated')
def check_none(context: Context) -> None:
    assert not context.register.domains


@given(
    'an evacuated node with {count:d} busy shards, a busy successor and an '
    'idle node'
)
def make_snapshot(context: Context, count: int) -> None:
    own, busy, idle = (NodeName(each, 1) for each in ('own', 'busy', 'idle'))
    shards = tuple(range(count))
    context.idle = idle
    context.moves = relocate(
        PlacementSnapshot(
            own,
            {own: shards, busy: (count,), idle: ()},
            slots={own: SLOTS, busy: SLOTS, idle: SLOTS},
            loads={**dict.fromkeys(shards, 2), count: SLOTS},
        ),
        dict.fromkeys(shards, (own, busy)),
    )


@then('its shards go to the idle node')
def check_moves(context: Context) -> None:
    assert {move.target for move in context.moves} == {context.idle}


@given('a deployment that follows evacuations')
def start_deployment(context: Context) -> None:
    context.fleet = ReportingDeployment(
        {'portal': True, 'docs': False}, follow_evacuations=True
    )
    context.add_cleanup(context.fleet.close)
    context.fleet.declare()
    for row in context.table:
        context.fleet.add(*row.cells)
    context.fleet.wait_ready(TIMEOUT_S)
    wait_for(
        'all nodes to serve',
        lambda: None not in _workers(context),
        TIMEOUT_S,
    )


@when('the domain "{domain}" is evacuated')
def evacuate(context: Context, domain: str) -> None:
    context.fleet.evacuate(domain)


@when('the domain "{domain}" is taken back')
def take_back(context: Context, domain: str) -> None:
    context.fleet.take_back(domain)


def _workers(context: Context) -> set[str | None]:
    """Return the workers that serve now; None: a request was not served."""
    answers = [
        answer
        for member in context.fleet.members.values()
        for answer in (
            *(request_key(context, member, key) for key in SAMPLE_KEYS[:6]),
            context.fleet.ask(member, '/docs/safe/x', next_attempt_id()),
        )
    ]
    return {
        answer.json()['worker'] if answer.status == OK else None
        for answer in answers
    }


def _seen_by(context: Context, node: str) -> int:
    url = context.fleet.members[node].seen
    return len(context.fleet.http.request('GET', url).json()['seen'])


@then(
    'only workers of "{nodes}" serve within {limit:d} s, at the doors of all '
    'nodes'
)
def check_workers(context: Context, nodes: str, limit: int) -> None:
    wanted = {f'worker-{node}' for node in _domains(nodes)}
    wait_for('others to serve', lambda: _workers(context) <= wanted, limit)


@then('the workers of "{nodes}" receive no more requests, nor after a restart')
def check_unused(context: Context, nodes: str) -> None:
    names = _domains(nodes)
    before = [_seen_by(context, node) for node in names]
    restarted = context.fleet.members[names[0]]
    restarted.node.kill()
    restarted.node = context.fleet.start_node(restarted.path)
    context.fleet.wait_ready(TIMEOUT_S)
    wait_for(
        'all doors to serve',
        lambda: None not in _workers(context),
        TIMEOUT_S,
    )
    assert [_seen_by(context, node) for node in names] == before


@then('a worker of "{node}" serves again within {limit:d} s')
def check_returned(context: Context, node: str, limit: int) -> None:
    serves = partial(_serves, context, f'worker-{node}')
    wait_for(f'{node} to serve', serves, limit)


def _serves(context: Context, worker: str) -> bool:
    return worker in _workers(context)
