"""Steps about routes, tries and the guarded store."""

from contextlib import suppress
from dataclasses import replace
from random import Random
from typing import Any

from behave import given, then, when
from behave.runner import Context

from laburnumwood.admission.retry_budget import RetryBudgets
from laburnumwood.clock import Clock
from laburnumwood.config.declarations import Declarations, Route, Service
from laburnumwood.decay import DecayingRate
from laburnumwood.errors import PlatformUnavailableError
from laburnumwood.membership.directory import Directory
from laburnumwood.placement.loads import LoadReports
from laburnumwood.protocol.messages import Work
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.routing.caller_request import CallerRequest
from laburnumwood.routing.exchange import OutgoingExchange, local_pair
from laburnumwood.routing.problems import make_failure
from laburnumwood.routing.request_balancer import RequestBalancer
from laburnumwood.routing.router import Router
from laburnumwood.routing.routes import RouteTable, choose_service
from laburnumwood.routing.tries import RetryPolicy
from laburnumwood.store.breaker import CircuitBreakerStore
from tests.features.steps.fake_clock import FakeClock
from tests.features.steps.plain_work import PLAIN_WORK

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
    context.table_of_routes = RouteTable(
        Declarations(
            services={'s': Service()},
            routes={str(place): each for place, each in enumerate(routes)},
        )
    )


@then('"{path}" of "{host}" has the route "{route}"')
def check_route(context: Context, path: str, host: str, route: str) -> None:
    found = context.table_of_routes.find(host, path)
    prefix = found.path_prefix if found else 'none'
    assert prefix == route, found


@given('a route with the weights {first:d} and {second:d}')
def make_weighted(context: Context, first: int, second: int) -> None:
    context.route = _route('h', '/', one=first, two=second)


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
    'a {kind} request of a service {divided} by key, for {most:d} workers at '
    'most'
)
def make_request(context: Context, kind: str, divided: str, most: int) -> None:
    clock = FakeClock()
    budgets = RetryBudgets(1, clock)
    shard = 3 if divided == 'divided' else -1
    work = _work(idempotent=kind == 'idempotent', shard=shard)
    inquiry = CallerRequest(work, b'', most)
    context.tries = RetryPolicy(inquiry, budgets.for_service('s'), clock)


@when('its tries fail with "{failures}"')
def fail_tries(context: Context, failures: str) -> None:
    for each in failures.split():
        kind, _, ran = each.partition(':')
        told = make_failure(kind, 'detail', ran=ran == 'ran')
        context.tries.record_failure(told)
        context.pause_ms = context.tries.retry_delay_ms(told, NODES)


@then('it is sent again at once')
def check_again(context: Context) -> None:
    assert context.pause_ms == 0, context.pause_ms


@then('it waits for an owner')
def check_waits(context: Context) -> None:
    assert context.pause_ms, context.pause_ms


@then('it ends and {truth} run')
def check_end(context: Context, truth: str) -> None:
    assert context.pause_ms is None, context.pause_ms
    may = {'may have': True, 'has not': False}[truth]
    assert context.tries.may_have_run is may


class FullNodes:
    """Nodes of a service whose gates send every request away."""

    def __init__(self, names: list[str]) -> None:
        self.directory = Directory()
        self.asked: list[str] = []
        self._nodes = {
            name: record
            for name, record in NODES.items()
            if name.node_id in names
        }

    def serving_nodes(self, _service: str) -> dict[NodeName, NodeRecord]:
        """Return the nodes."""
        return dict(self._nodes)

    def open_stream(self, target: NodeName, **_how: bool) -> OutgoingExchange:
        """Return an exchange with the gate of a node."""
        near, far = local_pair()
        self.asked.append(target.node_id)
        far.send(make_failure('overloaded', 'no slot is free', ran=False))
        return near


class StayingCaller:
    """A caller that waits for its answer."""

    is_gone = False

    def poll(self) -> bool:
        """Tell that it is there."""
        return self.is_gone

    def set_gone_handler(self, act: Any) -> None:
        """Do nothing: it does not go."""


@given('the gates of the nodes "{names}" of a service have no room')
def make_full_nodes(context: Context, names: str) -> None:
    clock = Clock()
    fleet: Any = FullNodes(names.split())
    serve: Any = None
    spread = RequestBalancer(LoadReports(clock), 'x', Random(1), clock)
    context.fleet = fleet
    context.router = Router(
        NodeName('door', 1),
        fleet,
        fleet,
        serve,
        spread,
        RetryBudgets(1, clock),
        clock,
    )


@when('a request comes that any of them may answer')
def send_to_full(context: Context) -> None:
    inquiry = CallerRequest(_work(idempotent=True, shard=-1), b'')
    caller: Any = StayingCaller()
    context.reply = context.router.send(inquiry, caller)


@then('each gate is asked once and the request is sent away')
def check_asked(context: Context) -> None:
    nodes = sorted(name.node_id for name in context.fleet.serving_nodes('s'))
    assert sorted(context.fleet.asked) == nodes, context.fleet.asked
    assert context.reply.kind == 'overloaded', context.reply
    assert not context.reply.ran


@given('retry budgets of a tenth')
def make_budgets(context: Context) -> None:
    context.budgets = RetryBudgets(0.1, FakeClock())


@when('{count:d} requests of "{one}" and {other:d} of "{two}" come')
def bring_requests(
    context: Context, count: int, one: str, other: int, two: str
) -> None:
    for name, number in ((one, count), (two, other)):
        for _ in range(number):
            context.budgets.for_service(name).record_request()


@then('"{name}" may send {count:d} again and no more')
def check_budget(context: Context, name: str, count: int) -> None:
    spent = [
        context.budgets.for_service(name).try_retry() for _ in range(count + 5)
    ]
    assert spent.count(True) == count, spent.count(True)


class SilentStore:
    """A store that counts calls and answers if it is told to."""

    def __init__(self) -> None:
        self.calls = 0
        self.answers = False

    @property
    def scopes(self) -> tuple[str, ...]:
        """Return one scope."""
        return ('',)

    def get(self, name: str) -> Any:
        """Return nothing, or do not answer."""
        self.calls += 1
        if not self.answers:
            raise PlatformUnavailableError(name)


@given('a guarded store that does not answer')
def make_guarded(context: Context) -> None:
    context.clock = FakeClock()
    context.silent = SilentStore()
    store: Any = context.silent
    context.guarded = CircuitBreakerStore(store, context.clock)


def _call(context: Context, count: int) -> None:
    context.silent.calls = 0
    for _ in range(count):
        with suppress(PlatformUnavailableError):
            context.guarded.get('name')


@when('{count:d} calls are made')
def make_calls(context: Context, count: int) -> None:
    _call(context, count)


@when('{span:d} ms pass and {count:d} calls are made')
def make_later_calls(context: Context, span: int, count: int) -> None:
    context.clock.pass_ms(span)
    _call(context, count)


@when('the store answers again, {span:d} ms pass and {count:d} calls are made')
def make_good_calls(context: Context, span: int, count: int) -> None:
    context.silent.answers = True
    make_later_calls(context, span, count)


@then('both reach the store')
def check_both(context: Context) -> None:
    assert context.silent.calls == 2, context.silent.calls


@then('none reaches the store')
def check_none(context: Context) -> None:
    assert not context.silent.calls, context.silent.calls


@then('{count:d} reaches the store')
@then('{count:d} reach the store')
def check_calls(context: Context, count: int) -> None:
    assert context.silent.calls == count, context.silent.calls


@given('a rate with a half-life of {span:d} ms')
def make_rate(context: Context, span: int) -> None:
    context.clock = FakeClock()
    context.rate = DecayingRate(span, context.clock)


@when('{amount:d} come each {gap:d} ms for {span:d} ms')
def bring_amounts(context: Context, amount: int, gap: int, span: int) -> None:
    for _ in range(span // gap):
        context.clock.pass_ms(gap)
        context.rate.add(amount)


@then('the rate is between {least:d} and {most:d} a second')
def check_rate(context: Context, least: int, most: int) -> None:
    found = context.rate.per_second
    assert least <= found <= most, found
