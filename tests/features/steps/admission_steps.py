"""Steps about admission."""

from collections import Counter
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from laburnumwood.admission.control import AdaptivePolicy
from laburnumwood.admission.tickets import (
    Ticket,
    TicketResult,
    TicketState,
    TrafficClass,
)
from laburnumwood.config.declarations import Service
from laburnumwood.protocol.messages import Work
from laburnumwood.routing.priorities import classify, useful_until_ms
from laburnumwood.settings import AdmissionSettings
from tests.features.steps.fake_clock import FakeClock
from tests.features.steps.plain_work import PLAIN_WORK

LONG_MS = 60_000
ANSWER_MS = 10


class Bench:
    """An admission with a clock, and the tickets it was offered."""

    def __init__(self, slots: int, places: int) -> None:
        self.clock = FakeClock()
        queue = AdmissionSettings(queue_per_slot=places // slots)
        self.slots = slots
        self.admission = AdaptivePolicy(queue, lambda: self.slots, self.clock)
        self.tickets: list[Ticket] = []

    def offer(
        self,
        key: str,
        left_ms: int = LONG_MS,
        traffic_class: TrafficClass | None = None,
    ) -> Ticket:
        """Offer a new ticket of a key."""
        until_ms = self.clock.now_ms() + left_ms
        ticket = Ticket(
            key, until_ms, until_ms, traffic_class or TrafficClass()
        )
        self.tickets.append(ticket)
        self.admission.offer(ticket)
        return ticket

    def answer(self, ticket: Ticket) -> None:
        """Let the worker answer a ticket now."""
        ticket.answer(self.clock.now_ms())
        self.admission.release(ticket)

    def having(self, state: TicketState) -> list[Ticket]:
        """Return the tickets in a state."""
        return [each for each in self.tickets if each.state is state]

    def count(self, state: TicketState, key: str | None = None) -> int:
        """Return how many tickets are in a state, of one key or of all."""
        return sum(key in {None, each.key} for each in self.having(state))


def last_of(context: Context, key: str) -> Ticket:
    found = [each for each in context.bench.tickets if each.key == key]
    return found[-1]


@given('the worker says that it has {slots:d} slots')
def change_slots(context: Context, slots: int) -> None:
    context.bench.slots = slots


@given(
    'admission for a worker with {slots:d} slots and {places:d} places to wait'
)
def make_admission(context: Context, slots: int, places: int) -> None:
    context.bench = Bench(slots, places)


@given('answers of {latency:d} ms were seen')
def see_answers(context: Context, latency: int) -> None:
    ticket = context.bench.offer('seen')
    context.bench.clock.pass_ms(latency)
    context.bench.answer(ticket)
    context.bench.tickets.clear()


@when('{count:d} requests of different keys come')
def offer_different(context: Context, count: int) -> None:
    for number in range(count):
        context.bench.offer(f'key-{number}')


@when('{count:d} requests of key "{key}" come')
def offer_many(context: Context, count: int, key: str) -> None:
    for _ in range(count):
        context.bench.offer(key)


@when('{count:d} requests of each of {keys:d} keys come')
def offer_of_each(context: Context, count: int, keys: int) -> None:
    for _ in range(count):
        offer_different(context, keys)


@when('a request of key "{key}" comes')
def offer_one(context: Context, key: str) -> None:
    context.bench.offer(key)


@when('a request of key "{key}" comes that has {left:d} ms left')
def offer_hasty(context: Context, key: str, left: int) -> None:
    context.bench.offer(key, left)


@when('{count:d} requests without a key come')
def offer_without_key(context: Context, count: int) -> None:
    offer_many(context, count, '')


@when('{count:d} requests without a key come of "{name}" of weight {weight:d}')
def offer_of_class(
    context: Context, count: int, name: str, weight: int
) -> None:
    for _ in range(count):
        context.bench.offer('', traffic_class=TrafficClass(name, weight))


@when('a request of key "{key}" comes of "{name}" of weight {weight:d}')
def offer_one_of_class(
    context: Context, key: str, name: str, weight: int
) -> None:
    context.bench.offer(key, traffic_class=TrafficClass(name, weight))


@then('{first:d} of "{name}" wait and {others:d} ordinary ones')
def check_waiting_classes(
    context: Context, first: int, name: str, others: int
) -> None:
    waiting = context.bench.having(TicketState.WAITING)
    found = Counter(each.traffic_class.name for each in waiting)
    assert found[name] == first, found
    assert found[TrafficClass().name] == others, found


@when('the worker answers one after {span:d} ms')
def answer_one(context: Context, span: int) -> None:
    context.bench.clock.pass_ms(span)
    context.bench.answer(context.bench.having(TicketState.RUNNING)[0])


@when('the worker ends {count:d} requests with "{result}" over {span:d} s')
def end_many(context: Context, count: int, result: str, span: int) -> None:
    bench = context.bench
    for number in range(count):
        ticket = bench.offer(f'ended-{number}')
        bench.clock.pass_ms(span * 1_000 // count)
        ticket.result = TicketResult[result]
        bench.admission.release(ticket)
    bench.tickets.clear()


@when('{span:d} ms pass without an answer')
def pass_time(context: Context, span: int) -> None:
    context.bench.clock.pass_ms(span)


@when(
    '{rounds:d} rounds each bring {hot:d} requests of key "hot" '
    'and 1 of key "cold"'
)
def run_rounds(context: Context, rounds: int, hot: int) -> None:
    bench = context.bench
    for _ in range(rounds):
        for _ in range(hot):
            bench.offer('hot')
        bench.offer('cold')
        bench.clock.pass_ms(ANSWER_MS)
        for ticket in bench.having(TicketState.RUNNING):
            bench.answer(ticket)


@then('at least {least:d} of 100 requests of key "cold" were served')
def check_served(context: Context, least: int) -> None:
    served = context.bench.count(TicketState.RELEASED, 'cold')
    asked = sum(each.key == 'cold' for each in context.bench.tickets)
    assert served * 100 >= least * asked, (served, asked)


@when(
    'the queue always holds "{name}" of weight {weight:d} and ordinary requests'
)
def keep_full(context: Context, name: str, weight: int) -> None:
    bench = context.bench
    for _ in range(200):
        for traffic_class in (TrafficClass(name, weight), TrafficClass()):
            classes = [
                each.traffic_class for each in bench.having(TicketState.WAITING)
            ]
            for _ in range(classes.count(traffic_class), 4):
                bench.offer(
                    f'key-{len(bench.tickets)}', traffic_class=traffic_class
                )
        bench.clock.pass_ms(ANSWER_MS)
        bench.answer(bench.having(TicketState.RUNNING)[0])


@then('of 100 that start between {least:d} and {most:d} are "{name}"')
def check_weights(context: Context, least: int, most: int, name: str) -> None:
    over = context.bench.having(TicketState.RELEASED)
    by_start = sorted(over, key=lambda each: each.started_ms)
    counted = Counter(each.traffic_class.name for each in by_start[50:150])
    assert least <= counted[name] <= most, counted


@when('each of them ends twice')
def end_twice(context: Context) -> None:
    for ticket in context.bench.having(TicketState.RUNNING):
        context.bench.answer(ticket)
        context.bench.admission.release(ticket)


@then('{running:d} run, {waiting:d} wait and {shed:d} are shed')
def check_counts(
    context: Context, running: int, waiting: int, shed: int
) -> None:
    admission = context.bench.admission
    found = (admission.running, admission.waiting)
    assert found == (running, waiting), found
    assert context.bench.count(TicketState.SHED) == shed


@then('the request of key "{key}" {what}')
def check_state(context: Context, key: str, what: str) -> None:
    states = {
        'waits': TicketState.WAITING,
        'runs': TicketState.RUNNING,
        'is shed': TicketState.SHED,
    }
    assert last_of(context, key).state is states[what], last_of(context, key)


@then('{count:d} of key "{key}" wait')
def check_waiting(context: Context, count: int, key: str) -> None:
    assert context.bench.count(TicketState.WAITING, key) == count


@then('{count:d} wait in all')
def check_all_waiting(context: Context, count: int) -> None:
    assert context.bench.admission.waiting == count


@then('it may come again after {span:d} ms')
def check_retry_after(context: Context, span: int) -> None:
    found = context.bench.tickets[-1].retry_after_ms
    assert found == span, found


def _check_bounds(bench: Bench) -> None:
    admission = bench.admission
    assert admission.running == bench.count(TicketState.RUNNING)
    assert admission.waiting == bench.count(TicketState.WAITING)
    assert admission.running <= 3
    assert admission.waiting <= 6
    idle = admission.running < admission.limit
    assert not (idle and admission.waiting), 'a slot stays free'
    shed = bench.having(TicketState.SHED)
    assert all(0 < each.retry_after_ms <= 10_000 for each in shed)


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(('offer', 'answer', 'REFUSED', 'LOST', 'leave')),
        st.integers(0, 4),
        st.integers(0, 300),
    ),
    max_size=60,
)


def _end(bench: Bench, what: str, number: int) -> None:
    state = TicketState.WAITING if what == 'leave' else TicketState.RUNNING
    chosen = bench.having(state)[number : number + 1]
    for ticket in chosen:
        if what == 'answer':
            ticket.answer(bench.clock.now_ms())
        elif what != 'leave':
            ticket.result = TicketResult[what]
        bench.admission.release(ticket)


def _apply(bench: Bench, what: str, number: int, span: int) -> None:
    bench.clock.pass_ms(span)
    if what == 'offer':
        bench.offer(f'key-{number}', 100 * span)
    else:
        _end(bench, what, number)


@then('no order of events breaks the bounds of admission')
def check_any_order(context: Context) -> None:
    @hypothesis_settings(
        max_examples=200, derandomize=True, database=None, deadline=None
    )
    @given_any(_EVENTS)
    def check(events: list[tuple[str, int, int]]) -> None:
        bench = Bench(3, 6)
        for event in events:
            _apply(bench, *event)
            _check_bounds(bench)

    check()


@given('a service with these classes of traffic')
def declare_classes(context: Context) -> None:
    declared = f'{{"priorities": {context.text}}}'
    context.service = Service.model_validate_json(declared)


def _work(method: str, caller: str) -> Work:
    return replace(PLAIN_WORK, method=method, headers=(('Caller', caller),))


@then('requests belong to these classes')
def check_classes(context: Context) -> None:
    for row in context.table:
        method, caller, name = row.cells
        found = classify(_work(method, caller), context.service)
        assert found.name == name, (method, caller, found)


@when('{count:d} hasty requests come that have {left:d} ms left')
def offer_several_hasty(context: Context, count: int, left: int) -> None:
    for number in range(count):
        context.bench.offer(f'hasty-{number}', left)


@then('those may come again after {first:d}, {second:d} and {third:d} ms')
def check_in_turn(
    context: Context, first: int, second: int, third: int
) -> None:
    found = [each.retry_after_ms for each in context.bench.tickets[-3:]]
    assert found == [first, second, third], found


@when(
    'a request of rank {rank:d} with {left:d} ms left has an objective of '
    '{objective:d} ms'
)
def make_ranked(context: Context, rank: int, left: int, objective: int) -> None:
    work = _work('GET', '')
    ranked = replace(work, priority=rank, objective_ms=objective)
    now_ms = FakeClock().now_ms()
    until_ms = useful_until_ms(ranked, now_ms, now_ms + left)
    context.useful_ms = until_ms - now_ms


@then('it is worth waiting for {useful:d} ms')
def check_useful(context: Context, useful: int) -> None:
    assert context.useful_ms == useful, context.useful_ms
