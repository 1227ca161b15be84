"""Steps about the balance of shards and the choice of nodes."""

from collections import Counter
from collections.abc import Callable, Set
from contextlib import suppress
from heapq import heappop, heappush
from json import loads
from math import isclose
from pathlib import Path
from random import Random
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from laburnumwood.balancing.avoidance import ALL_RANKS
from laburnumwood.balancing.request_balancer import RequestBalancer
from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.config.declarations import Weights
from laburnumwood.errors import CallerDisconnectedError
from laburnumwood.placement.balancer import estimated_loads
from laburnumwood.placement.hotkeys import HotKeys
from laburnumwood.placement.load_reports import LoadReports, LoadState
from laburnumwood.placement.meter import LoadMeter, relative_error
from laburnumwood.placement.move_policy import PlacementSnapshot
from laburnumwood.placement.planner import MovePlanner
from laburnumwood.placement.worker_notices import WorkerNotices
from laburnumwood.protocol.messages import Failure
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName, NodeRecord, WorkerNotice
from laburnumwood.routing.exchange import local_pair
from laburnumwood.routing.tracked_exchange import TrackedExchange
from laburnumwood.settings import PlacementSettings
from laburnumwood.upstream.worker_load import LastingPace, WorkerLoad
from tests.features.steps.fake_clock import FakeClock

ROUND_MS = 200
SLOTS = 10
SERVICE_MS = 100
SEED = 1
TEMPLATE = Path('deploy/settings.json.template')


def _platform_settings() -> PlacementSettings:
    """Return the placement settings of the settings template."""
    line = next(
        line
        for line in TEMPLATE.read_text().splitlines()
        if '"placement"' in line
    )
    return PlacementSettings(**loads(f'{{{line}}}')['placement'])


def _measure_nothing() -> None:
    """Keep the loads that the scenario set."""


class Fleet:
    """Planners of some nodes that see the same shards and loads."""

    def __init__(self, shards_by_node: dict[NodeName, list[int]]) -> None:
        self.clock = FakeClock()
        self.shards_by_node = shards_by_node
        self.loads: dict[int, float] = {}
        self.weights = Weights()
        self.cold_start_ms = 0
        self.settings = PlacementSettings()
        self.measure: Callable[[], None] = _measure_nothing
        self.slots = SLOTS
        self.usable_slots: dict[str, float] = {}
        self.service_ms = SERVICE_MS
        self.peers: dict[NodeName, Set[NodeName]] = {}
        self.relative_error: float = 0
        self.moved: list[int] = []
        self._planners: dict[NodeName, MovePlanner] = {}
        self.run(40_000)

    def run(self, span_ms: int) -> None:
        """Run all planners for some time and apply their moves at once."""
        for _ in range(span_ms // ROUND_MS):
            self.clock.pass_ms(ROUND_MS)
            self.measure()
            for name in tuple(self.shards_by_node):
                self._run_one(name)

    @property
    def all_slots(self) -> dict[NodeName, float]:
        """Return the usable slots of each node."""
        return {
            name: self.usable_slots.get(name.node_id, self.slots)
            for name in self.shards_by_node
        }

    def reset_planners(self) -> None:
        """Replace the planners by new ones with the current settings."""
        self._planners.clear()

    def _run_one(self, name: NodeName) -> None:
        planner = self._planners.setdefault(
            name, MovePlanner('weighed', self.settings, self.clock)
        )
        snapshot = PlacementSnapshot(
            own=name,
            shards_by_node={
                each: tuple(self.shards_by_node[each])
                for each in self.shards_by_node
            },
            reporting_peers=self.peers.get(name),
            slots=self.all_slots,
            limited_nodes={
                each
                for each, slots in self.all_slots.items()
                if slots < self.slots
            },
            loads=self.loads,
            relative_error=self.relative_error,
            weights=self.weights,
            cold_start_ms=self.cold_start_ms,
            settings=self.settings,
        )
        for move in planner.plan(snapshot):
            self.shards_by_node[name].remove(move.shard)
            self.shards_by_node[move.target].append(move.shard)
            self.moved.append(move.shard)


def two_nodes(half: int) -> Fleet:
    """Return a fleet of nodes a and b with so many shards each."""
    return Fleet(
        {
            NodeName('a', 1): list(range(half)),
            NodeName('b', 1): list(range(half, half * 2)),
        }
    )


@given('shards 0 to {last:d} on "a" and {first:d} to {end:d} on "b"')
def make_fleet(context: Context, last: int, first: int, end: int) -> None:
    context.fleet = two_nodes(first)
    context.incarnation = 0


@given('shards with these loads in slots')
def set_loads(context: Context) -> None:
    shards = context.table.headings
    loads = context.table.rows[0].cells
    pairs = zip(shards, loads, strict=True)
    context.fleet.loads = {int(shard): float(load) for shard, load in pairs}


@given(
    '{count:d} nodes with {shards:d} shards and the '
    "platform's placement settings"
)
def make_platform_fleet(context: Context, count: int, shards: int) -> None:
    names = [NodeName(f'node-{place}', 1) for place in range(count)]
    fleet = Fleet(
        {
            name: list(range(place, shards, count))
            for place, name in enumerate(names)
        }
    )
    fleet.settings = _platform_settings()
    fleet.reset_planners()
    context.fleet = fleet


@given('steady requests that keep {share:d} in 100 slots of each node busy')
def set_steady_requests(context: Context, share: int) -> None:
    fleet = context.fleet
    numbers = [
        shard for owned in fleet.shards_by_node.values() for shard in owned
    ]
    meter = LoadMeter(fleet.settings.load_half_life_ms, fleet.clock)
    chance = Random(SEED)
    busy_slots = share / 100 * fleet.slots * len(fleet.shards_by_node)
    per_round = busy_slots * ROUND_MS / fleet.service_ms
    per_second = (
        per_round / len(fleet.shards_by_node) * MS_PER_SECOND / ROUND_MS
    )
    fleet.relative_error = relative_error(
        per_second, fleet.settings.load_half_life_ms
    )

    def measure() -> None:
        for shard in chance.choices(numbers, k=round(per_round)):
            busy_ms = chance.expovariate(1 / fleet.service_ms)
            meter.record(shard, str(shard), busy_ms)
        fleet.loads = meter.shards()

    fleet.measure = measure


@given(
    'they have {slots:d} slots, requests of {span:d} ms '
    'and know the load of {known:d} others'
)
def set_slots(context: Context, slots: int, span: int, known: int) -> None:
    fleet = context.fleet
    fleet.slots, fleet.service_ms = slots, span
    chance = Random(SEED)
    names = set(fleet.shards_by_node)
    fleet.peers = {
        name: set(chance.sample(sorted(names - {name}), known))
        for name in sorted(names)
    }


@given('cold starts of {span:d} ms')
def set_cold_start(context: Context, span: int) -> None:
    context.fleet.cold_start_ms = span


@given('moves for the load only where {share:d} in 100 slots are busy')
def set_least_usage(context: Context, share: int) -> None:
    context.fleet.settings = PlacementSettings(least_usage=share / 100)


@given('a weight of {weight:d} for churn')
def set_weight(context: Context, weight: int) -> None:
    context.fleet.weights = Weights(churn=weight)


@when('the node "{node_id}" joins')
def join_node(context: Context, node_id: str) -> None:
    context.incarnation += 1
    name = NodeName(node_id, context.incarnation)
    context.fleet.shards_by_node[name] = []


@when('the node "{node_id}" joins and leaves {times:d} times within {span:d} s')
def flap(context: Context, node_id: str, times: int, span: int) -> None:
    for _ in range(times):
        join_node(context, node_id)
        context.fleet.run(span * 1_000 // times // 4)
        context.fleet.shards_by_node.pop(NodeName(node_id, context.incarnation))
        context.fleet.run(span * 1_000 // times // 4 * 3)


@when('the planners of all nodes run for {span:d} ms')
def run_planners(context: Context, span: int) -> None:
    context.fleet.run(span)


@then('"{node_id}" has {count:d} shards')
def check_count(context: Context, node_id: str, count: int) -> None:
    found = context.fleet.shards_by_node[NodeName(node_id, 1)]
    assert len(found) == count, found


@then('each node has {count:d} shards')
def check_each(context: Context, count: int) -> None:
    shards_by_node = context.fleet.shards_by_node
    assert all(len(each) == count for each in shards_by_node.values()), (
        shards_by_node
    )


@when('the load alternates between "a" and "b" every {turn:d} s for {span:d} s')
def alternate(context: Context, turn: int, span: int) -> None:
    fleet = context.fleet
    for number in range(span // turn):
        name = NodeName('ab'[number % 2], 1)
        busy = fleet.shards_by_node[name][:2]
        fleet.loads = dict.fromkeys(busy, SLOTS / 2)
        fleet.run(turn * 1_000)


@then('no shard was moved more than {most:d} times')
def check_reversals(context: Context, most: int) -> None:
    times = Counter(context.fleet.moved).values()
    assert max(times, default=0) <= most, context.fleet.moved


@then('at most {most:d} shards were moved')
def check_moved_at_most(context: Context, most: int) -> None:
    assert len(context.fleet.moved) <= most, context.fleet.moved


@then('{count:d} shard was moved')
@then('{count:d} shards were moved')
def check_moved(context: Context, count: int) -> None:
    assert len(context.fleet.moved) == count, context.fleet.moved


@then('the shard 0 or 1 is on "b"')
def check_on_b(context: Context) -> None:
    found = context.fleet.shards_by_node[NodeName('b', 1)]
    assert {0, 1} & set(found), found


@then('with any loads no shard moves twice and at most 8 shards move')
def check_any_loads(context: Context) -> None:
    loads = st.lists(st.floats(0, 8), min_size=8, max_size=8)

    @hypothesis_settings(
        max_examples=15, derandomize=True, database=None, deadline=None
    )
    @given_any(loads)
    def check(chosen: list[float]) -> None:
        fleet = two_nodes(4)
        fleet.loads = dict(enumerate(chosen))
        fleet.run(180_000)
        times = Counter(fleet.moved).values()
        assert max(times, default=0) <= 1, fleet.moved
        assert len(fleet.moved) <= 8, fleet.moved

    check()


@given(
    'a report of load {load:d} for shard {shard:d} of "b", '
    'and of {other:d} for shard {next_shard:d}'
)
def make_report(
    context: Context, load: int, shard: int, other: int, next_shard: int
) -> None:
    context.clock = FakeClock()
    context.reports = LoadReports(context.clock)
    state = LoadState(0, {shard: load, next_shard: other})
    context.reports.record(NodeName('b', 1), state)


@then('the load of shard {shard:d} is estimated as {load:d}')
def check_estimate(context: Context, shard: int, load: int) -> None:
    shards_by_node = {NodeName('a', 1): (), NodeName('b', 1): (4, 5)}
    found = estimated_loads(
        shards_by_node, NodeName('a', 1), {}, context.reports
    )
    estimated = found.known.get(shard, found.mean)
    assert isclose(estimated, load, abs_tol=0.01), found


@then('after {span:d} s the load of shard {shard:d} is estimated as {load:d}')
def check_estimate_later(
    context: Context, span: int, shard: int, load: int
) -> None:
    context.clock.pass_ms(span * 1_000)
    check_estimate(context, shard, load)


def _record_keys(
    context: Context, count: int, keys: int, first_hot: int
) -> None:
    random = Random(first_hot)
    for _ in range(count):
        hot = random.randrange(2)
        number = random.randrange(100) + first_hot
        context.sketch.record(f'{number if hot else random.randrange(keys)}')
        context.clock.pass_ms(1)
    context.hot = {str(first_hot + number) for number in range(100)}


@when('{count:d} requests of {keys:d} keys come, where 100 keys make up half')
def record_keys(context: Context, count: int, keys: int) -> None:
    context.clock = FakeClock()
    context.sketch = HotKeys(context.clock)
    _record_keys(context, count, keys, keys)


@when(
    'other 100 keys make up half of {count:d} requests {span:d} minutes later'
)
def change_keys(context: Context, count: int, span: int) -> None:
    context.clock.pass_ms(span * 60_000)
    _record_keys(context, count, 5_000, 9_000)


@then('{count:d} of the 100 hottest keys are found')
def check_hottest(context: Context, count: int) -> None:
    found = {hot.key for hot in context.sketch.hottest(100)}
    assert len(found & context.hot) >= count, len(found & context.hot)


@then('no more than {most:d} keys are kept')
def check_bounded(context: Context, most: int) -> None:
    assert len(context.sketch) <= most, len(context.sketch)


@given('nodes "a", "b" and "c" of a service without keys')
def make_spread(context: Context) -> None:
    context.clock = FakeClock()
    context.reports = LoadReports(context.clock)
    context.spread = RequestBalancer(
        context.reports, 'x', Random(1), context.clock
    )
    context.nodes = {
        NodeName(each, 1): NodeRecord(
            1, (1,), 'h', 1, 1, 1, f'domain {each}', 's', 'o', 20, 100
        )
        for each in 'abc'
    }
    context.chosen = Counter()


@given('{doors:d} doors and {count:d} nodes without keys in one failure domain')
def make_doors(context: Context, doors: int, count: int) -> None:
    clock = FakeClock()
    context.spreads = [
        RequestBalancer(
            LoadReports(clock), 'near', Random(f'door {number}'), clock
        )
        for number in range(doors)
    ]
    context.nodes = {
        NodeName(f'node-{number}', 1): NodeRecord(
            1, (1,), 'h', 1, 1, 1, 'near', 's', 'o', 7, 100
        )
        for number in range(count)
    }


@when('each door sends 1 request')
def send_from_doors(context: Context) -> None:
    context.chosen = Counter(
        spread.choose(context.nodes) for spread in context.spreads
    )


@then('each of the nodes has between {least:d} and {most:d} of them')
def check_between(context: Context, least: int, most: int) -> None:
    found = [context.chosen[name] for name in context.nodes]
    assert min(found) >= least, found
    assert max(found) <= most, found


@given('{doors:d} of 100 doors are in the failure domain of "{node_id}"')
def place_doors(context: Context, doors: int, node_id: str) -> None:
    def share() -> float:
        return doors / 100

    context.spreads = [
        RequestBalancer(
            context.reports,
            f'domain {node_id}',
            Random(f'door {number}'),
            context.clock,
            share,
        )
        for number in range(doors)
    ]


@when('each of these doors sends {count:d} requests that are answered at once')
def send_answered(context: Context, count: int) -> None:
    context.chosen = Counter(
        spread.choose(context.nodes).node_id
        for spread in context.spreads
        for _ in range(count)
    )


@then('"{node_id}" has between {least:d} and {most:d} in 100 of them')
def check_part(context: Context, node_id: str, least: int, most: int) -> None:
    part = context.chosen[node_id] * 100 / context.chosen.total()
    assert least <= part <= most, context.chosen


@given('the door is in the failure domain of "{node_id}"')
def place_door(context: Context, node_id: str) -> None:
    domain = f'domain {node_id}'
    context.spread = RequestBalancer(
        context.reports, domain, Random(1), context.clock
    )


@then('"{node_id}" has {count:d} of them')
def check_all(context: Context, node_id: str, count: int) -> None:
    assert context.chosen[node_id] == count, context.chosen


@then('"{node_id}" has at most {count:d} of them')
def check_not_all(context: Context, node_id: str, count: int) -> None:
    assert context.chosen[node_id] <= count, context.chosen


@given('"{node_id}" reported {count:d} requests in flight')
def report_running(context: Context, node_id: str, count: int) -> None:
    context.reports.record(NodeName(node_id, 1), LoadState(count, {}))


def _track(
    context: Context, near: Stream, target: NodeName, rank: int = ALL_RANKS
) -> TrackedExchange:
    begun = context.spread.begin(target, 20, rank)
    return TrackedExchange(near, begun, context.spread)


@when('{count:d} requests are spread and none ends')
def spread_requests(context: Context, count: int) -> None:
    context.open = []
    for _ in range(count):
        target = context.spread.choose(context.nodes)
        near, _ = local_pair()
        context.open.append(_track(context, near, target))
        context.chosen[target.node_id] += 1


@then('each of "a" and "b" has at least {least:d} of them')
def check_spread(context: Context, least: int) -> None:
    fewest = min(context.chosen['a'], context.chosen['b'])
    assert fewest >= least, context.chosen


@when('a request to "{node_id}" is shed')
def shed_request(context: Context, node_id: str) -> None:
    near, far = local_pair()
    tracked = _track(context, near, NodeName(node_id, 1))
    far.send(Failure('overloaded', False, '', 1_000))
    tracked.receive(1_000)
    tracked.close()


@when('the caller of a request to "{node_id}" leaves')
def abandon_request(context: Context, node_id: str) -> None:
    near, _ = local_pair()
    tracked = _track(context, near, NodeName(node_id, 1))
    tracked.fail(CallerDisconnectedError('the caller has gone'))
    with suppress(CallerDisconnectedError):
        tracked.receive(1_000)
    tracked.close()


@when('a request of rank {rank:d} to "{node_id}" fails as "{kind}"')
def fail_request(context: Context, rank: int, node_id: str, kind: str) -> None:
    near, far = local_pair()
    tracked = _track(context, near, NodeName(node_id, 1), rank)
    far.send(Failure(kind, False, '', 0))
    tracked.receive(1_000)
    tracked.close()


@then('{how_many} of {count:d} requests of rank {rank:d} go to "{node_id}"')
def check_open(
    context: Context, how_many: str, count: int, rank: int, node_id: str
) -> None:
    targets = [context.spread.choose(context.nodes, rank) for _ in range(count)]
    found = sum(target.node_id == node_id for target in targets)
    least, most = {'none': (0, 0), 'some': (1, count)}.get(
        how_many, (count, count)
    )
    assert least <= found <= most, found


@then('none of {count:d} requests goes to "{node_id}"')
def check_avoided(context: Context, count: int, node_id: str) -> None:
    spread_requests(context, count)
    assert not context.chosen[node_id], context.chosen


@then('after {span:d} s some of {count:d} requests go to "{node_id}"')
def check_back(context: Context, span: int, count: int, node_id: str) -> None:
    context.clock.pass_ms(span * 1_000)
    spread_requests(context, count)
    assert context.chosen[node_id], context.chosen


@given('a crossing from the domain of "{node_id}" costs {cost:d} ms')
def place_door_at_cost(context: Context, node_id: str, cost: int) -> None:
    context.spread = RequestBalancer(
        context.reports,
        f'domain {node_id}',
        Random(1),
        context.clock,
        crossing_ms=cost,
    )


@given('answers take {span_ms:d} ms')
def learn_times(context: Context, span_ms: int) -> None:
    for node in context.nodes:
        begun = context.spread.begin(node, 20)
        context.clock.pass_ms(span_ms)
        context.spread.record_answer(begun)
        context.spread.end(begun)


@when('the callers of {count:d} requests to "{node_id}" leave after {ms:d} ms')
def abandon_late(context: Context, count: int, node_id: str, ms: int) -> None:
    tries = [
        context.spread.begin(NodeName(node_id, 1), 20) for _ in range(count)
    ]
    context.clock.pass_ms(ms)
    for begun in tries:
        context.spread.record_unanswered(begun)
        context.spread.end(begun)


@then('"{node_id}" gets at most {most:d} of {count:d} more requests')
def check_few(context: Context, node_id: str, most: int, count: int) -> None:
    targets = [context.spread.choose(context.nodes) for _ in range(count)]
    found = sum(target.node_id == node_id for target in targets)
    assert found <= most, found


@given('the workers "a", "b" and "c" of slowness {slowness}')
def make_uneven(context: Context, slowness: str) -> None:
    make_spread(context)
    speeds = slowness.replace(' and', ',').split(', ')
    context.speeds = dict(zip('abc', map(float, speeds), strict=True))


@given('a door that knows only its own tries')
def make_plain_door(_context: Context) -> None:
    """Nothing reports in these scenarios."""


@when(
    '{rate:d} requests of {work_ms:d} ms a second come for {span:d} s, '
    'with slow spells'
)
def play_uneven(context: Context, rate: int, work_ms: int, span: int) -> None:
    random = Random(rate)
    in_flight: list[tuple[int, int, Any]] = []
    for number in range(rate * span):
        now_ms = context.clock.now_ms()
        target = context.spread.choose(context.nodes)
        context.chosen[target.node_id] += 1
        spell = 3 if random.random() < 1 / 5 else 1
        ends_ms = now_ms + work_ms * context.speeds[target.node_id] * spell
        begun = context.spread.begin(target, 20)
        heappush(in_flight, (round(ends_ms), number, begun))
        next_ms = now_ms + 1_000 // rate
        while in_flight and in_flight[0][0] <= next_ms:
            end_ms, _, ended = heappop(in_flight)
            context.clock.pass_ms(max(0, end_ms - context.clock.now_ms()))
            context.spread.record_answer(ended)
            context.spread.end(ended)
        context.clock.pass_ms(next_ms - context.clock.now_ms())


@given('a worker whose answers tell its pace')
def make_pace(context: Context) -> None:
    context.clock = FakeClock()
    context.pace = LastingPace(context.clock)


@when(
    'it is {pace:d} in 100 as slow in {share:d} of 5 spells of {spell_ms:d} ms '
    'for {span:d} s'
)
def play_pace(
    context: Context, pace: int, share: int, spell_ms: int, span: int
) -> None:
    for at_ms in range(0, span * 1_000, 100):
        is_slow = at_ms // spell_ms % 5 < share
        context.clock.pass_ms(100)
        load = WorkerLoad(1, 0, 20, pace / 100 if is_slow else 1)
        context.pace.record(load)


@when('it tells a pace of {pace:d} in 100 twice, {gap_ms:d} ms apart')
def tell_pace_twice(context: Context, pace: int, gap_ms: int) -> None:
    for _ in range(2):
        context.clock.pass_ms(gap_ms)
        context.pace.record(WorkerLoad(1, 0, 20, pace / 100))


@then('other nodes count between {least:d} and {most:d} of its {slots:d} slots')
def check_slots(context: Context, least: int, most: int, slots: int) -> None:
    notices = WorkerNotices(context.clock)
    notice = WorkerNotice('worker', 1, False, pace=context.pace.slow_pace)
    notices.record(NodeName('a', 1), notice)
    found = notices.usable_slots(NodeName('a', 1), slots)
    assert least <= found <= most, found


@when('the worker of "{node_id}" works at the pace {pace:g}')
def slow_worker(context: Context, node_id: str, pace: float) -> None:
    notice = WorkerNotice('worker', 1, False, pace=pace)
    context.reports.notices.record(NodeName(node_id, 1), notice)


@when('a node joins {times:d} times within a minute')
def join_often(context: Context, times: int) -> None:
    clock = FakeClock()
    own = NodeName('own', 1)
    context.planner = MovePlanner('weighed', PlacementSettings(), clock)
    for number in range(1, times + 1):
        clock.pass_ms(10_000)
        shards_by_node = {own: (), NodeName('returning', number): ()}
        context.planner.plan(PlacementSnapshot(own, shards_by_node))


@then('it is stable')
def check_stable(context: Context) -> None:
    assert context.planner.is_stable('returning')


@then('it is not stable')
def check_not_stable(context: Context) -> None:
    assert not context.planner.is_stable('returning')


@when('the worker of "{node_id}" can use {slots:g} slots')
def set_usable(context: Context, node_id: str, slots: float) -> None:
    context.fleet.usable_slots[node_id] = slots
    context.fleet.moved.clear()


@then('no more than {most:d} in 100 usable slots of "{node_id}" are busy')
def check_most_busy(context: Context, most: int, node_id: str) -> None:
    assert _busy_share(context, node_id) <= most, _busy_share(context, node_id)


@then('at least {least:d} in 100 usable slots of "{node_id}" are busy')
def check_least_busy(context: Context, least: int, node_id: str) -> None:
    found = _busy_share(context, node_id)
    assert found >= least, found


def _busy_share(context: Context, node_id: str) -> float:
    fleet = context.fleet
    name = NodeName(node_id, 1)
    busy = sum(
        fleet.loads.get(shard, 0) for shard in fleet.shards_by_node[name]
    )
    return busy * 100 / fleet.all_slots[name]


@when('the worker of "{node_id}" can use {usable:d} of its 20 slots')
def limit_worker(context: Context, node_id: str, usable: int) -> None:
    notice = WorkerNotice('worker', 1, False, usable * 10, usable)
    context.reports.notices.record(NodeName(node_id, 1), notice)
