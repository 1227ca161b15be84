"""Steps for routes, retries, the guarded store and decaying rates."""

from contextlib import suppress
from dataclasses import replace
from random import Random
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.event import Event

from bench.reporting import manifest, split_route
from laburnumwood.admission.retry_budget import RetryBudgets
from laburnumwood.balancing.request_balancer import RequestBalancer
from laburnumwood.clock import Clock
from laburnumwood.config.declarations import Declarations, Route, Service
from laburnumwood.decay import DecayingRate
from laburnumwood.errors import PlatformUnavailableError
from laburnumwood.membership.directory import Directory
from laburnumwood.placement.load_reports import LoadReports
from laburnumwood.platform.manifest import read_manifest
from laburnumwood.protocol.messages import Work
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.routing.exchange import OutgoingExchange, local_pair
from laburnumwood.routing.problems import make_failure
from laburnumwood.routing.retry_policy import RetryPolicy
from laburnumwood.routing.router import Router
from laburnumwood.routing.routes import RouteTable, choose_service
from laburnumwood.store.breaker import CircuitBreakerStore
from tests.features.steps.fake_clock import FakeClock
from tests.features.steps.plain_work import PLAIN_WORK, caller_request

NODES = {
    NodeName(name, 1): NodeRecord(
        1, (1,), 'h', 1, 1, 1, f'domain {name}', 's', 'o', 20, 100
    )
    for name in ('a', 'b', 'c')
}


def _route(host: str, prefix: str, **weights: int) -> Route:
    return Route(
        host=host,
        path_prefix=prefix,
        services=weights or {'s': 1},
        timeout_ms=1_000,
        objective_ms=300,
    )


@given('the routes "{first}" of "{one}" and "{second}" of "{two}"')
def make_routes(
    context: Context, first: str, one: str, second: str, two: str
) -> None:
    routes = [_route(one, prefix) for prefix in first.split()]
    routes.extend(_route(two, prefix) for prefix in second.split())
    context.route_table = RouteTable(
        Declarations(
            services={'s': Service()},
            routes={str(place): each for place, each in enumerate(routes)},
        )
    )


@then('"{path}" of "{host}" has the route "{route}"')
def check_route(context: Context, path: str, host: str, route: str) -> None:
    found = context.route_table.find(host, path)
    prefix = found.path_prefix if found else 'none'
    assert prefix == route, found


@given('a route with the weights {first:d} and {second:d}')
def make_weighted(context: Context, first: int, second: int) -> None:
    context.route = _route('h', '/', one=first, two=second)


@given('a manifest with a route with the weights {first:g} and {second:g}')
def make_manifest(context: Context, first: float, second: float) -> None:
    content = manifest(1, {'one': False, 'two': False})
    content['routes'] = [split_route('x', {'one': first, 'two': second})]
    file = next(iter(read_manifest(content)['files'].values()))
    context.route = Route.model_validate(next(iter(file['routes'].values())))


@then(
    'of {count:d} requests between {least:d} and {most:d} go to the first '
    'service'
)
def check_weights(context: Context, count: int, least: int, most: int) -> None:
    random = Random(1)
    chosen = [choose_service(context.route, random) for _ in range(count)]
    assert least <= chosen.count('one') <= most, chosen.count('one')


def _work(*, idempotent: bool, shard: int) -> Work:
    return replace(PLAIN_WORK, idempotent=idempotent, shard=shard, key='')


@given(
    'a {kind} request to a service {divided} by key, with at most '
    '{max_workers:d} workers'
)
def make_request(
    context: Context, kind: str, divided: str, max_workers: int
) -> None:
    clock = FakeClock()
    budgets = RetryBudgets(1, clock)
    shard = 3 if divided == 'divided' else -1
    work = _work(idempotent=kind == 'idempotent', shard=shard)
    request = caller_request(work, clock, max_workers)
    context.retry_policy = RetryPolicy(request, budgets.for_service('s'), clock)


@when('its attempts fail with "{failures}"')
def fail_attempts(context: Context, failures: str) -> None:
    for each in failures.split():
        kind, _, ran = each.partition(':')
        failure = make_failure(kind, 'detail', ran=ran == 'ran')
        context.retry_policy.record_failure(failure)
        context.delay_ms = context.retry_policy.retry_delay_ms(failure, NODES)


@then('it is sent again at once')
def check_again(context: Context) -> None:
    assert context.delay_ms == 0, context.delay_ms


@then('it waits for an owner')
def check_waits(context: Context) -> None:
    assert context.delay_ms, context.delay_ms


@then('it ends and {result} run')
def check_end(context: Context, result: str) -> None:
    assert context.delay_ms is None, context.delay_ms
    expected = {'may have': True, 'has not': False}[result]
    assert context.retry_policy.may_have_run is expected


class OverloadedNodes:
    """Nodes of a service whose gates return every request as overloaded."""

    def __init__(self, names: list[str]) -> None:
        self.directory = Directory()
        self.targets: list[str] = []
        self._nodes = {
            name: record
            for name, record in NODES.items()
            if name.node_id in names
        }

    def serving_nodes(self, _service: str) -> dict[NodeName, NodeRecord]:
        """Return the nodes of the service."""
        return dict(self._nodes)

    def is_service_evacuated(self, _service: str) -> bool:
        """Return whether no node may serve: never."""
        return False

    def open_stream(self, target: NodeName, **_how: bool) -> OutgoingExchange:
        """Return an exchange on which the gate of a node has answered."""
        local_end, remote_end = local_pair()
        self.targets.append(target.node_id)
        remote_end.send(
            make_failure('overloaded', 'no slot is free', ran=False)
        )
        return local_end


class ConnectedCaller:
    """A caller that stays connected."""

    is_gone = False

    def poll(self) -> bool:
        """Return that it is connected."""
        return self.is_gone

    def set_gone_handler(self, handler: Any) -> None:
        """Do nothing: it never disconnects."""


@given('the gates of the nodes "{names}" of a service are overloaded')
def make_overloaded_nodes(context: Context, names: str) -> None:
    clock = Clock()
    nodes: Any = OverloadedNodes(names.split())
    serve: Any = None
    balancer = RequestBalancer(LoadReports(clock), 'x', Random(1), clock)
    context.nodes = nodes
    context.router = Router(
        NodeName('door', 1),
        nodes,
        nodes,
        serve,
        balancer,
        RetryBudgets(1, clock),
        clock,
    )


@when('a request arrives that any of them may serve')
def send_to_overloaded(context: Context) -> None:
    request = caller_request(_work(idempotent=True, shard=-1), Clock())
    caller: Any = ConnectedCaller()
    context.answer = context.router.send(request, caller)


@then('each gate gets the request once, and it fails as overloaded')
def check_targets(context: Context) -> None:
    nodes = sorted(name.node_id for name in context.nodes.serving_nodes('s'))
    assert sorted(context.nodes.targets) == nodes, context.nodes.targets
    assert context.answer.kind == 'overloaded', context.answer
    assert not context.answer.ran


@given('retry budgets of a tenth of the requests')
def make_budgets(context: Context) -> None:
    context.budgets = RetryBudgets(0.1, FakeClock())


@when('{count:d} requests to "{one}" and {other:d} to "{two}" arrive')
def send_requests(
    context: Context, count: int, one: str, other: int, two: str
) -> None:
    for name, number in ((one, count), (two, other)):
        for _ in range(number):
            context.budgets.for_service(name).record_request()


@then('"{name}" may retry {count:d} requests and no more')
def check_budget(context: Context, name: str, count: int) -> None:
    spent = [
        context.budgets.for_service(name).try_retry() for _ in range(count + 5)
    ]
    assert spent.count(True) == count, spent.count(True)


class CountingStore:
    """A store that counts calls, and answers only if `answers` is set."""

    def __init__(self) -> None:
        self.calls = 0
        self.answers = False
        self.failing: Event | None = None  # when calls under way fail

    @property
    def scopes(self) -> tuple[str, ...]:
        """Return a single scope."""
        return ('',)

    def get(self, name: str) -> Any:
        """Return None, or raise as if the store did not answer."""
        self.calls += 1
        if self.failing is not None:
            self.failing.wait()
        if not self.answers:
            raise PlatformUnavailableError(name)


@given('a guarded store that does not answer')
def make_guarded(context: Context) -> None:
    context.clock = FakeClock()
    context.counting_store = CountingStore()
    store: Any = context.counting_store
    context.guarded = CircuitBreakerStore(store, context.clock)


def _call(context: Context, count: int) -> None:
    context.counting_store.calls = 0
    for _ in range(count):
        with suppress(PlatformUnavailableError):
            context.guarded.get('name')


@when('{count:d} calls are made')
def make_calls(context: Context, count: int) -> None:
    _call(context, count)


@when('{count:d} calls under way fail at the same moment')
def fail_together(context: Context, count: int) -> None:
    context.counting_store.failing = Event()
    calls = [eventlet.spawn(_call, context, 1) for _ in range(count)]
    eventlet.sleep(0)
    context.counting_store.failing.send()
    for each in calls:
        each.wait()


@then('one more reaches the store')
def check_one_reached(context: Context) -> None:
    _call(context, 1)
    assert context.counting_store.calls == 1, context.counting_store.calls


@when('{span_ms:d} ms pass and {count:d} calls are made')
def make_later_calls(context: Context, span_ms: int, count: int) -> None:
    context.clock.pass_ms(span_ms)
    _call(context, count)


@when(
    'the store answers again, {span_ms:d} ms pass and {count:d} calls are made'
)
def make_good_calls(context: Context, span_ms: int, count: int) -> None:
    context.counting_store.answers = True
    make_later_calls(context, span_ms, count)


@then('both reach the store')
def check_both(context: Context) -> None:
    assert context.counting_store.calls == 2, context.counting_store.calls


@then('none reaches the store')
def check_none(context: Context) -> None:
    assert not context.counting_store.calls, context.counting_store.calls


@then('{count:d} reaches the store')
@then('{count:d} reach the store')
def check_calls(context: Context, count: int) -> None:
    assert context.counting_store.calls == count, context.counting_store.calls


@given('a rate with a half-life of {span_ms:d} ms')
def make_rate(context: Context, span_ms: int) -> None:
    context.clock = FakeClock()
    context.rate = DecayingRate(span_ms, context.clock)


@when(
    '{amount:d} events are recorded every {interval_ms:d} ms for {span_ms:d} ms'
)
def record_events(
    context: Context, amount: int, interval_ms: int, span_ms: int
) -> None:
    for _ in range(span_ms // interval_ms):
        context.clock.pass_ms(interval_ms)
        context.rate.add(amount)


@then('the rate is between {least:d} and {max_workers:d} per second')
def check_rate(context: Context, least: int, max_workers: int) -> None:
    found = context.rate.per_second
    assert least <= found <= max_workers, found
