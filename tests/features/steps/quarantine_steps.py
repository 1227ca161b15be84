"""Steps for the quarantine of requests that crash workers."""

import sys
from types import SimpleNamespace
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.event import Event

from laburnumwood.errors import WorkerAnswerError
from laburnumwood.protocol.messages import Suspicion, Work
from laburnumwood.protocol.peers import Dispatcher
from laburnumwood.records import NodeName
from laburnumwood.routing.quarantine import Quarantine
from laburnumwood.routing.run import Run
from laburnumwood.routing.runner import Runner
from laburnumwood.routing.shared_quarantine import SharedQuarantine
from laburnumwood.routing.worker_interface import NativeWorkerInterface
from tests.features.steps.fake_clock import FakeClock

WORK = Work('id', 's', -1, '', 'GET', '/plan', (), 0, 60_000, True, '')
RUN = Run(WORK, b'', None, sys.maxsize)
EXCHANGE: Any = SimpleNamespace(
    send=lambda _message: None, set_message_handler=lambda _handler: None
)


class CrashingWorkers:
    """Workers that run requests until all crash, and their nodes."""

    def __init__(self, number: int, clock: FakeClock) -> None:
        self._crash = Event()
        self._clock = clock
        self._shared: dict[NodeName, SharedQuarantine] = {}
        worker: Any = SimpleNamespace(
            send=self._send,
            is_dead=lambda: True,
            is_responding=lambda: True,
        )
        for index in range(number):
            self.add(f'n{index}')
        self._runners = [
            Runner(worker, NativeWorkerInterface(), each, clock)
            for each in self._shared.values()
        ]

    @property
    def quarantines(self) -> list[Quarantine]:
        """Return what each node knows."""
        return [each.quarantine for each in self._shared.values()]

    def add(self, node_id: str) -> SharedQuarantine:
        """Add a node, which knows nothing."""
        view: Any = SimpleNamespace(serving_nodes=lambda _: self._shared)
        peers: Any = SimpleNamespace(call=self._call)
        name = NodeName(node_id, 1)
        self._shared[name] = SharedQuarantine(
            name, view, peers, Dispatcher(), self._clock
        )
        return self._shared[name]

    def crash_under(self, runs: int) -> None:
        """Let each worker begin a number of runs, and crash under them."""
        begun = [
            eventlet.spawn(runner.run, RUN, EXCHANGE)
            for runner in self._runners
            for _ in range(runs)
        ]
        eventlet.sleep(0)
        self._crash.send()
        for each in begun:
            each.wait()
        self._crash = Event()

    def crash_alone(self) -> None:
        """Let the first worker crash under a single run."""
        self._crash.send()
        self._runners[0].run(RUN, EXCHANGE)

    def _send(self, _request: object) -> None:
        self._crash.wait()
        raise WorkerAnswerError('the worker crashed')

    def _call(self, name: NodeName, suspicion: Suspicion, _ms: int) -> Any:
        answers: list[Any] = []
        stream: Any = SimpleNamespace(send=answers.append)
        link: Any = None
        self._shared[name]._handle_suspicion(link, stream, suspicion)
        return answers[0]


@given('a quarantine')
def make_quarantine(context: Context) -> None:
    context.clock = FakeClock()
    context.quarantine = Quarantine(context.clock)


@when('a worker dies while it runs "{request}"')
def record_death(context: Context, request: str) -> None:
    ran_alone = context.quarantine.is_suspected(request)
    context.quarantine.record_death(request, ran_alone=ran_alone)


@when('"{request}" is answered')
def clear(context: Context, request: str) -> None:
    context.quarantine.clear(request)


@when('{seconds:d} s pass for the quarantine')
def advance_clock(context: Context, seconds: int) -> None:
    context.clock.pass_ms(seconds * 1_000)


@when('another node reports {deaths:d} deaths under "{request}"')
def report_deaths(context: Context, deaths: int, request: str) -> None:
    context.quarantine.update(request, deaths)


@when('workers die while they run {count:d} different requests')
def record_deaths(context: Context, count: int) -> None:
    for number in range(count):
        record_death(context, str(number))
    context.last = str(count - 1)


@when('{workers:d} workers crash, each with {runs:d} runs of one request')
def crash_under_runs(context: Context, workers: int, runs: int) -> None:
    context.workers = CrashingWorkers(workers, context.clock)
    context.workers.crash_under(runs)


@when('a worker crashes again that runs it alone')
def crash_alone(context: Context) -> None:
    context.workers.crash_alone()


@when('another node joins')
def join_node(context: Context) -> None:
    context.workers.add('joined').learn('s')


@then('it is not suspected at any of their nodes')
def check_not_suspected_anywhere(context: Context) -> None:
    for quarantine in context.workers.quarantines:
        assert not quarantine.is_suspected(RUN.fingerprint)


@then('it is suspected at each of their nodes, and not barred')
def check_suspected_everywhere(context: Context) -> None:
    for quarantine in context.workers.quarantines:
        context.quarantine = quarantine
        check_suspected(context, RUN.fingerprint)


@then('it is barred at each of their nodes')
def check_barred_everywhere(context: Context) -> None:
    for quarantine in context.workers.quarantines:
        context.quarantine = quarantine
        check_barred(context, RUN.fingerprint)


@then('"{request}" is suspected')
def check_suspected(context: Context, request: str) -> None:
    assert context.quarantine.is_suspected(request)
    assert not context.quarantine.is_barred(request)
    assert not context.quarantine.barred_for_ms(request)


@then('"{request}" is barred')
def check_barred(context: Context, request: str) -> None:
    assert context.quarantine.is_barred(request)
    assert context.quarantine.barred_for_ms(request) > 0


@then('"{request}" is not suspected')
def check_not_suspected(context: Context, request: str) -> None:
    assert not context.quarantine.is_suspected(request)


@then('the first of them is not suspected but the last is')
def check_eviction(context: Context) -> None:
    check_not_suspected(context, '0')
    check_suspected(context, context.last)
