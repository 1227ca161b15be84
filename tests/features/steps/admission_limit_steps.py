"""Steps about the concurrency limit and the retry budget."""

from random import Random

from behave import given, then, when
from behave.runner import Context

from laburnumwood.admission.limit import ConcurrencyLimit
from laburnumwood.admission.retry_budget import RetryBudget
from laburnumwood.admission.throttle import AdaptiveThrottle
from laburnumwood.clock import MS_PER_SECOND
from tests.features.steps.fake_clock import FakeClock

ANSWER_MS = 10


@given('a concurrency limit for {slots:d} slots')
def make_limit(context: Context, slots: int) -> None:
    context.clock = FakeClock()
    context.limit = ConcurrencyLimit(lambda: slots, context.clock)


@when('the worker answers in {latency:d} ms for {span:d} s')
def answer_for(context: Context, latency: int, span: int) -> None:
    end_ms = context.clock.now_ms() + span * 1_000
    while context.clock.now_ms() < end_ms:
        context.clock.pass_ms(ANSWER_MS)
        context.limit.observe(latency, context.limit.current)


@when('the worker refuses {count:d} requests over {span:d} s')
def refuse_many(context: Context, count: int, span: int) -> None:
    for _ in range(count):
        context.limit.record_refusal()
        context.clock.pass_ms(span * 1_000 // count)
    context.limit_before = context.limit.current


@when('1 of {every:d} answers of the worker is lost for {span:d} s')
def lose_one_of(context: Context, every: int, span: int) -> None:
    for number in range(span * 1_000 // ANSWER_MS):
        context.clock.pass_ms(ANSWER_MS)
        if number % every:
            context.limit.observe(ANSWER_MS, context.limit.current)
        else:
            context.limit.record_loss()


@when('the worker answers in {latency:d} ms at the full limit for {span:d} s')
def answer_at_full_limit(context: Context, latency: int, span: int) -> None:
    end_ms = context.clock.now_ms() + span * 1_000
    while context.clock.now_ms() < end_ms:
        context.clock.pass_ms(latency)
        running = context.limit.current
        for _ in range(running):
            context.limit.observe(latency, running)


@when('{count:d} answers of the worker are lost one after the other')
def lose_one_by_one(context: Context, count: int) -> None:
    for _ in range(count):
        context.clock.pass_ms(ANSWER_MS * 5)
        context.limit.record_loss()


@when('another instance of the worker begins')
def begin_instance(context: Context) -> None:
    context.limit.begin_instance()


@when('{lost:d} of {every:d} answers are lost for {span:d} s')
def lose_several_of(context: Context, lost: int, every: int, span: int) -> None:
    for number in range(span * 1_000 // ANSWER_MS // 5):
        context.clock.pass_ms(ANSWER_MS * 5)
        if number % every < lost:
            context.limit.record_loss()
        else:
            context.limit.observe(ANSWER_MS * 5, context.limit.current)


@when(
    'the worker reports {reported:d} running requests while this node runs '
    '{own:d}'
)
def report_load(context: Context, reported: int, own: int) -> None:
    context.limit.record_load_report(reported, own)


@then('the limit is {limit:d}')
def check_limit(context: Context, limit: int) -> None:
    assert context.limit.current == limit, context.limit.current


@then('the limit is below {limit:d}')
def check_limit_below(context: Context, limit: int) -> None:
    assert 1 <= context.limit.current < limit, context.limit.current


@then('the limit is unchanged')
def check_limit_unchanged(context: Context) -> None:
    assert context.limit.current == context.limit_before


@then('after {span:d} s the limit is {limit:d}')
def check_limit_later(context: Context, span: int, limit: int) -> None:
    context.clock.pass_ms(span * 1_000)
    check_limit(context, limit)


@given('a retry budget with a share of {share:f}')
def make_budget(context: Context, share: float) -> None:
    context.clock = FakeClock()
    context.budget = RetryBudget(share, context.clock)


@when('{count:d} requests arrive over {span:d} s and each asks for a retry')
def request_and_retry(context: Context, count: int, span: int) -> None:
    context.retries = 0
    for _ in range(count):
        context.budget.record_request()
        context.retries += context.budget.try_retry()
        context.clock.pass_ms(span * 1_000 // count)


@when('{count:d} requests arrive over {span:d} s')
def send_requests(context: Context, count: int, span: int) -> None:
    for _ in range(count):
        context.budget.record_request()
        context.clock.pass_ms(span * 1_000 // count)


@when('{span:d} s pass and each of {count:d} requests asks for a retry')
def wait_and_retry(context: Context, span: int, count: int) -> None:
    context.clock.pass_ms(span * 1_000)
    request_and_retry(context, count, 1)


@then('at most {most:d} retries were allowed')
def check_most_retries(context: Context, most: int) -> None:
    assert context.retries <= most, context.retries


@then('at least {least:d} retries were allowed')
def check_least_retries(context: Context, least: int) -> None:
    assert context.retries >= least, context.retries


class _ThrottledDoor:
    """A door that throttles what it sends to a gate."""

    def __init__(self, admitted_per_second: int) -> None:
        self.admitted_per_second = admitted_per_second
        self.sent_at_ms: list[int] = []
        self._clock = FakeClock()
        self._allowance: float = 0  # requests that the gate admits at present
        self._throttle = AdaptiveThrottle(Random(2), self._clock)

    def receive(self, span_s: int, per_second: int) -> None:
        for _ in range(span_s * per_second):
            self._clock.pass_ms(MS_PER_SECOND // per_second)
            gained = self.admitted_per_second / per_second
            self._allowance = min(self._allowance + gained, 2)
            if self._throttle.rejects('gate') is None:
                self._send()

    def sent_per_second(self, last_s: int) -> float:
        since_ms = self._clock.now_ms() - last_s * MS_PER_SECOND
        return sum(at_ms > since_ms for at_ms in self.sent_at_ms) / last_s

    def _send(self) -> None:
        self.sent_at_ms.append(self._clock.now_ms())
        if self._allowance >= 1:
            self._allowance -= 1
            self._throttle.record_admitted('gate')
        else:
            self._throttle.record_rejected('gate', 500)


@given('a door whose gate admits {admitted:d} requests a second')
def make_throttled_door(context: Context, admitted: int) -> None:
    context.door = _ThrottledDoor(admitted)


@when('callers send it {rate:d} requests a second for {span_s:d} s')
def send_to_throttled_door(context: Context, rate: int, span_s: int) -> None:
    context.door.receive(span_s, rate)


@when('the gate admits all, and {span_s:d} s pass')
def admit_all(context: Context, span_s: int) -> None:
    context.door.admitted_per_second = 100
    context.door.receive(span_s, 100)


@then(
    'in the last {span_s:d} s the gate got between {least:d} and {most:d} '
    'requests a second'
)
def check_sent(context: Context, span_s: int, least: int, most: int) -> None:
    found = context.door.sent_per_second(span_s)
    assert least <= found <= most, found
