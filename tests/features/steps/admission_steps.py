"""Steps about admission control."""

from collections import Counter
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from bench.calling_load import KEYED, OPEN, CallingLoad, Fleet, Kind
from laburnumwood.admission.control import AdaptivePolicy
from laburnumwood.admission.rate_limiter import RateLimiter
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

DEFAULT_TIME_LEFT_MS = 60_000
ANSWER_MS = 10
STATES = {
    'waits': TicketState.WAITING,
    'runs': TicketState.RUNNING,
    'is shed': TicketState.SHED,
}
# A quarter of grown Wales, where downloads keep their slots while they leave.
FLEET = Fleet(keyed=17, open=4, slots=7)
CALL = Kind('call', OPEN, 1, 0, 65, 250, 800, 800, retries=0)
DOWNLOAD = Kind(
    'download', OPEN, 2, 29, 210, 800, 3_000, 6_000, spread=0.8, sending_ms=150
)
LOAD = (
    replace(
        Kind('look-up', KEYED, 2, 192, 260, 800, 3_000, 6_000),
        calls=2,
        calling_share=0.7,
        call=CALL,
    ),
    Kind('payment', KEYED, 1, 75, 340, 1_000, 3_000, 6_000, is_safe=False),
    DOWNLOAD,
)


class AdmissionHarness:
    """An admission policy with a fake clock, and the tickets offered to it."""

    def __init__(self, slots: int, queue_length: int) -> None:
        self.clock = FakeClock()
        settings = AdmissionSettings(queue_per_slot=queue_length // slots)
        self.slots = slots
        self.rate_limiter = RateLimiter(self.clock)
        self.admission = AdaptivePolicy(
            settings, lambda: self.slots, self.clock, self.rate_limiter
        )
        self.tickets: list[Ticket] = []

    def offer(
        self,
        key: str,
        left_ms: int = DEFAULT_TIME_LEFT_MS,
        traffic_class: TrafficClass | None = None,
        useful_ms: int | None = None,
    ) -> Ticket:
        """Offer a new ticket with a key."""
        now_ms = self.clock.now_ms()
        useful_ms = left_ms if useful_ms is None else useful_ms
        ticket = Ticket(
            key,
            now_ms + left_ms,
            now_ms + useful_ms,
            traffic_class or TrafficClass(),
        )
        self.tickets.append(ticket)
        self.admission.offer(ticket)
        return ticket

    def answer(self, ticket: Ticket) -> None:
        """Let the worker answer the request of a ticket now."""
        ticket.answer(self.clock.now_ms())
        self.admission.release(ticket)

    def forget_ended(self) -> None:
        """Forget the tickets that neither run nor wait."""
        kept = (TicketState.WAITING, TicketState.RUNNING)
        self.tickets = [each for each in self.tickets if each.state in kept]

    def in_state(self, state: TicketState) -> list[Ticket]:
        """Return the tickets in a state."""
        return [each for each in self.tickets if each.state is state]

    def count(self, state: TicketState, key: str | None = None) -> int:
        """Return how many tickets are in a state, with one key or with any."""
        return sum(key in {None, each.key} for each in self.in_state(state))


def last_ticket(context: Context, key: str) -> Ticket:
    found = [each for each in context.harness.tickets if each.key == key]
    return found[-1]


@given('the worker reports {slots:d} slots')
def change_slots(context: Context, slots: int) -> None:
    context.harness.slots = slots


@given(
    'admission control for a worker with {slots:d} slots and a queue of '
    '{queue_length:d}'
)
def make_admission(context: Context, slots: int, queue_length: int) -> None:
    context.harness = AdmissionHarness(slots, queue_length)


@given('an earlier answer took {latency:d} ms')
def observe_answer(context: Context, latency: int) -> None:
    ticket = context.harness.offer('seen')
    context.harness.clock.pass_ms(latency)
    context.harness.answer(ticket)
    context.harness.tickets.clear()


@given(
    '{count:d} runs that ended after {span_ms:d} ms with the result "{result}"'
)
def observe_ends(
    context: Context, count: int, span_ms: int, result: str
) -> None:
    for _ in range(count):
        ticket = context.harness.offer('seen')
        context.harness.clock.pass_ms(span_ms)
        ticket.result = TicketResult[result]
        context.harness.admission.release(ticket)
    context.harness.tickets.clear()


@given(
    '{count:d} earlier answers that took {first_ms:d} and {second_ms:d} ms in '
    'turn'
)
def observe_answers(
    context: Context, count: int, first_ms: int, second_ms: int
) -> None:
    for number in range(count):
        observe_answer(context, second_ms if number % 2 else first_ms)


@when('{count:d} requests with different keys arrive')
def offer_with_different_keys(context: Context, count: int) -> None:
    for number in range(count):
        context.harness.offer(f'key-{number}')


@when('{count:d} requests with key "{key}" arrive')
def offer_many(context: Context, count: int, key: str) -> None:
    for _ in range(count):
        context.harness.offer(key)


@when('{count:d} requests with each of {keys:d} keys arrive')
def offer_with_each_key(context: Context, count: int, keys: int) -> None:
    for _ in range(count):
        offer_with_different_keys(context, keys)


@when('a request with key "{key}" arrives')
def offer_one(context: Context, key: str) -> None:
    context.harness.offer(key)


@when('a request with key "{key}" and {left_ms:d} ms left arrives')
def offer_with_time_left(context: Context, key: str, left_ms: int) -> None:
    context.harness.offer(key, left_ms)


@when('{count:d} requests without a key arrive')
def offer_without_key(context: Context, count: int) -> None:
    offer_many(context, count, '')


@when(
    '{count:d} requests without a key of class "{name}" with weight '
    '{weight:d} arrive'
)
def offer_of_class(
    context: Context, count: int, name: str, weight: int
) -> None:
    for _ in range(count):
        context.harness.offer('', traffic_class=TrafficClass(name, weight))


@when(
    'a request with key "{key}" of class "{name}" with weight {weight:d} '
    'arrives'
)
def offer_one_of_class(
    context: Context, key: str, name: str, weight: int
) -> None:
    context.harness.offer(key, traffic_class=TrafficClass(name, weight))


@then(
    '{in_class:d} requests of class "{name}" and {others:d} of the default '
    'class wait'
)
def check_waiting_classes(
    context: Context, in_class: int, name: str, others: int
) -> None:
    waiting = context.harness.in_state(TicketState.WAITING)
    found = Counter(each.traffic_class.name for each in waiting)
    assert found[name] == in_class, found
    assert found[TrafficClass().name] == others, found


@when('the worker answers a request after {span:d} ms')
def answer_one(context: Context, span: int) -> None:
    context.harness.clock.pass_ms(span)
    context.harness.answer(context.harness.in_state(TicketState.RUNNING)[0])


@when('{count:d} requests end with the result "{result}" over {span:d} s')
def end_many(context: Context, count: int, result: str, span: int) -> None:
    harness = context.harness
    for number in range(count):
        ticket = harness.offer(f'ended-{number}')
        harness.clock.pass_ms(span * 1_000 // count)
        ticket.result = TicketResult[result]
        harness.admission.release(ticket)
    harness.tickets.clear()


@when('{span:d} ms pass without an answer')
def pass_time(context: Context, span: int) -> None:
    context.harness.clock.pass_ms(span)


@when(
    'in each of {rounds:d} rounds {hot:d} requests with key "hot" and 1 with '
    'key "cold" arrive'
)
def run_rounds(context: Context, rounds: int, hot: int) -> None:
    harness = context.harness
    for _ in range(rounds):
        for _ in range(hot):
            harness.offer('hot')
        harness.offer('cold')
        harness.clock.pass_ms(ANSWER_MS)
        for ticket in harness.in_state(TicketState.RUNNING):
            harness.answer(ticket)


@then('at least {least:d} of 100 requests with key "cold" were served')
def check_served(context: Context, least: int) -> None:
    served = context.harness.count(TicketState.RELEASED, 'cold')
    offered = sum(each.key == 'cold' for each in context.harness.tickets)
    assert served * 100 >= least * offered, (served, offered)


@when(
    'the queue always contains requests of class "{name}" with weight '
    '{weight:d} and of the default class'
)
def keep_queue_full(context: Context, name: str, weight: int) -> None:
    harness = context.harness
    for _ in range(200):
        for traffic_class in (TrafficClass(name, weight), TrafficClass()):
            classes = [
                each.traffic_class
                for each in harness.in_state(TicketState.WAITING)
            ]
            for _ in range(classes.count(traffic_class), 4):
                harness.offer(
                    f'key-{len(harness.tickets)}', traffic_class=traffic_class
                )
        harness.clock.pass_ms(ANSWER_MS)
        running = harness.in_state(TicketState.RUNNING)
        harness.answer(min(running, key=lambda each: each.started_ms))


@then(
    'of 100 started requests between {least:d} and {most:d} are of class '
    '"{name}"'
)
def check_weights(context: Context, least: int, most: int, name: str) -> None:
    over = context.harness.in_state(TicketState.RELEASED)
    by_start = sorted(over, key=lambda each: each.started_ms)
    counted = Counter(each.traffic_class.name for each in by_start[50:150])
    assert least <= counted[name] <= most, counted


@when(
    'the queue always contains requests of class "{name}" with weight '
    '{weight:d} that take {span:d} ms, and of the default class that take '
    '{other_span:d} ms'
)
def keep_queue_full_for(
    context: Context, name: str, weight: int, span: int, other_span: int
) -> None:
    harness = context.harness
    classes = {TrafficClass(name, weight): span, TrafficClass(): other_span}
    context.slot_times = Counter()
    for _ in range(1_000):
        harness.clock.pass_ms(ANSWER_MS)
        _fill_queue(harness, tuple(classes))
        for ticket in harness.in_state(TicketState.RUNNING):
            context.slot_times[ticket.traffic_class.name] += ANSWER_MS
            ran_ms = harness.clock.now_ms() - ticket.started_ms
            if ran_ms >= classes[ticket.traffic_class]:
                harness.answer(ticket)
                _fill_queue(harness, tuple(classes))
        harness.forget_ended()


def _fill_queue(
    harness: AdmissionHarness, classes: tuple[TrafficClass, ...]
) -> None:
    waiting = Counter(
        each.traffic_class for each in harness.in_state(TicketState.WAITING)
    )
    for traffic_class in classes:
        for _ in range(waiting[traffic_class], 4):
            harness.offer(
                f'key-{harness.clock.now_ms()}-{len(harness.tickets)}',
                traffic_class=traffic_class,
            )


@then(
    "between {least:d} and {most:d} in 100 of the slots' time are of class "
    '"{name}"'
)
def check_slot_times(
    context: Context, least: int, most: int, name: str
) -> None:
    times = context.slot_times
    share = 100 * times[name] / times.total()
    assert least <= share <= most, times


@given(
    'earlier answers of class "{first}" took {first_ms:d} ms, and of class '
    '"{second}" {second_ms:d} ms'
)
def observe_classes(
    context: Context, first: str, first_ms: int, second: str, second_ms: int
) -> None:
    harness = context.harness
    for name, span_ms in ((first, first_ms), (second, second_ms)):
        ticket = harness.offer('seen', traffic_class=TrafficClass(name))
        harness.clock.pass_ms(span_ms)
        harness.answer(ticket)
    harness.tickets.clear()


@when('a request with {left_ms:d} ms left of class "{name}" arrives')
def offer_hasty_of_class(context: Context, left_ms: int, name: str) -> None:
    context.ticket = context.harness.offer(
        'new', left_ms, traffic_class=TrafficClass(name)
    )


@when('requests have waited without a break for {span_ms:d} ms')
def keep_waiting(context: Context, span_ms: int) -> None:
    harness = context.harness
    offer_with_different_keys(context, 8)
    for _ in range(span_ms // ANSWER_MS):
        harness.clock.pass_ms(ANSWER_MS)
        running = harness.in_state(TicketState.RUNNING)
        harness.answer(min(running, key=lambda each: each.started_ms))
        harness.offer(f'next-{len(harness.tickets)}')


@when(
    'a request arrives that is useful for {useful_ms:d} ms and has '
    '{left_ms:d} ms left'
)
def offer_useful(context: Context, useful_ms: int, left_ms: int) -> None:
    context.ticket = context.harness.offer(
        'useful', left_ms, useful_ms=useful_ms
    )


@then('that request {what}')
def check_ticket(context: Context, what: str) -> None:
    assert context.ticket.state is STATES[what], context.ticket


@given(
    'a service with keys whose requests make calls to a service with downloads'
)
def make_calling_load(context: Context) -> None:
    context.load = CallingLoad(FLEET, LOAD, seed=1)


@when('both are asked for as much as they can do, for {span_s:d} s')
def play_calling_load(context: Context, span_s: int) -> None:
    context.load.run(span_s)


@then(
    'at most {most:d} in 100 more of the downloads than of the calls are served'
)
def check_inversion(context: Context, most: int) -> None:
    calls = context.load.share(CALL.name, 'in time', 'late')
    downloads = context.load.share(DOWNLOAD.name, 'in time', 'late')
    assert downloads - calls <= most / 100, (calls, downloads)


@when('each running request is released twice')
def release_twice(context: Context) -> None:
    for ticket in context.harness.in_state(TicketState.RUNNING):
        context.harness.answer(ticket)
        context.harness.admission.release(ticket)


@then('{running:d} run, {waiting:d} wait and {shed:d} are shed')
def check_counts(
    context: Context, running: int, waiting: int, shed: int
) -> None:
    admission = context.harness.admission
    found = (admission.running, admission.waiting)
    assert found == (running, waiting), found
    assert context.harness.count(TicketState.SHED) == shed


@then('the request with key "{key}" {what}')
def check_state(context: Context, key: str, what: str) -> None:
    assert last_ticket(context, key).state is STATES[what], last_ticket(
        context, key
    )


@then('{count:d} requests with key "{key}" wait')
def check_waiting(context: Context, count: int, key: str) -> None:
    assert context.harness.count(TicketState.WAITING, key) == count


@then('{count:d} requests wait in total')
def check_all_waiting(context: Context, count: int) -> None:
    assert context.harness.admission.waiting == count


@then('it is told to retry after {span:d} ms')
def check_retry_after(context: Context, span: int) -> None:
    found = context.harness.tickets[-1].retry_after_ms
    assert found == span, found


def _check_limits(harness: AdmissionHarness) -> None:
    admission = harness.admission
    assert admission.running == harness.count(TicketState.RUNNING)
    assert admission.waiting == harness.count(TicketState.WAITING)
    assert admission.running <= 3
    assert admission.waiting <= 6
    idle = admission.running < admission.limit
    assert not (idle and admission.waiting), 'a slot stays free'
    shed = harness.in_state(TicketState.SHED)
    assert all(0 < each.retry_after_ms <= 10_000 for each in shed)


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(('offer', 'answer', 'REFUSED', 'LOST', 'leave')),
        st.integers(0, 4),
        st.integers(0, 300),
    ),
    max_size=60,
)


def _end(harness: AdmissionHarness, what: str, number: int) -> None:
    state = TicketState.WAITING if what == 'leave' else TicketState.RUNNING
    chosen = harness.in_state(state)[number : number + 1]
    for ticket in chosen:
        if what == 'answer':
            ticket.answer(harness.clock.now_ms())
        elif what != 'leave':
            ticket.result = TicketResult[what]
        harness.admission.release(ticket)


def _apply(
    harness: AdmissionHarness, what: str, number: int, span: int
) -> None:
    harness.clock.pass_ms(span)
    if what == 'offer':
        harness.offer(f'key-{number}', 100 * span)
    else:
        _end(harness, what, number)


@then('no order of events violates the limits of admission control')
def check_all_orders(context: Context) -> None:
    @hypothesis_settings(
        max_examples=200, derandomize=True, database=None, deadline=None
    )
    @given_any(_EVENTS)
    def check(events: list[tuple[str, int, int]]) -> None:
        harness = AdmissionHarness(3, 6)
        for event in events:
            _apply(harness, *event)
            _check_limits(harness)

    check()


@given('a service with these traffic classes')
def declare_classes(context: Context) -> None:
    declared = f'{{"priorities": {context.text}}}'
    context.service = Service.model_validate_json(declared)


def _work(method: str, caller: str) -> Work:
    return replace(PLAIN_WORK, method=method, headers=(('Caller', caller),))


@then('requests belong to these traffic classes')
def check_classes(context: Context) -> None:
    for row in context.table:
        method, caller, name = row.cells
        found = classify(_work(method, caller), context.service)
        assert found.name == name, (method, caller, found)


@when('{count:d} more requests with {left_ms:d} ms left arrive')
def offer_several_with_time_left(
    context: Context, count: int, left_ms: int
) -> None:
    for number in range(count):
        context.harness.offer(f'hasty-{number}', left_ms)


@then('they are told to retry after {first:d}, {second:d} and {third:d} ms')
def check_several_retry_after(
    context: Context, first: int, second: int, third: int
) -> None:
    found = [each.retry_after_ms for each in context.harness.tickets[-3:]]
    assert found == [first, second, third], found


@when(
    'a request with rank {rank:d} and {left_ms:d} ms left has an objective of '
    '{objective:d} ms'
)
def compute_wait_limit(
    context: Context, rank: int, left_ms: int, objective: int
) -> None:
    work = _work('GET', '')
    ranked = replace(work, priority=rank, objective_ms=objective)
    now_ms = FakeClock().now_ms()
    until_ms = useful_until_ms(ranked, now_ms, now_ms + left_ms)
    context.wait_limit_ms = until_ms - now_ms


@then('it may wait for up to {limit_ms:d} ms')
def check_wait_limit(context: Context, limit_ms: int) -> None:
    assert context.wait_limit_ms == limit_ms, context.wait_limit_ms
