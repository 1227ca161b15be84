"""Steps for the soak."""

import json
import time
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Thread
from typing import Any

from behave import given, then, when
from behave.runner import Context
from urllib3.exceptions import HTTPError

from standins.journal.entry import JournalEntry
from tests.features.steps.plain_run import PLAIN_RUN
from tests.soak.callers import Callers
from tests.soak.faults import (
    FAULTS,
    LOSS_FAULTS,
    ROUTE_FAULTS,
    SIGNAL_FAULTS,
)
from tests.soak.fleet import SHARDED_SERVICE, START_TIMEOUT_S, SoakFleet
from tests.soak.holds import WorkerIncarnation, find_concurrent_holders
from tests.soak.judge import Record, find_violations
from tests.soak.plans import ResponsePlan
from tests.soak.signals import SignalKind, SignalSpan, find_late_requests
from tests.soak.soak import Options, end_and_record, run

CALLERS = 16
LONG_REQUESTS = 12  # some are executed by the worker beside the node
RAMP_UP_S = 1
LEAVER = 'worker-n1'
RUN_MS = 5
REPEATED_FENCES = (
    'a life of a worker took keys under a token that had not risen'
)
FAULTS_BESIDE_SIGNALS = (
    *SIGNAL_FAULTS,
    'a node is killed',
    'a node is told to stop',
    'the store is away',
    'a node is paused',
    'links are hindered',
)


@when('a soak of {nodes:d} nodes runs for {seconds:d} s with seed {seed:d}')
def run_soak(context: Context, nodes: int, seconds: int, seed: int) -> None:
    # With other faults the seeds in the list would draw other scripts.
    later = SIGNAL_FAULTS + LOSS_FAULTS + ROUTE_FAULTS
    _run(context, Options(seed, seconds, nodes, faults=_all_but(later)))


def _all_but(names: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(name for name in FAULTS if name not in names)


@when(
    'a soak of {nodes:d} nodes runs for {seconds:d} s with seed {seed:d} and '
    'workers that name limits and leave'
)
def run_signal_soak(
    context: Context, nodes: int, seconds: int, seed: int
) -> None:
    _run(context, Options(seed, seconds, nodes, faults=FAULTS_BESIDE_SIGNALS))


@when(
    'a soak of {nodes:d} nodes runs for {seconds:d} s with seed {seed:d} and '
    'all faults'
)
def run_soak_of_all_faults(
    context: Context, nodes: int, seconds: int, seed: int
) -> None:
    _run(context, Options(seed, seconds, nodes, faults=_all_but(ROUTE_FAULTS)))


@when(
    'a soak of {nodes:d} nodes runs for {seconds:d} s with seed {seed:d} and '
    'changes of routes beside {others}'
)
def run_soak_of_routes(
    context: Context, nodes: int, seconds: int, seed: int, others: str
) -> None:
    faults = ROUTE_FAULTS if others == 'nothing else' else tuple(FAULTS)
    _run(context, Options(seed, seconds, nodes, faults=faults))


def _run(context: Context, options: Options) -> None:
    report = run(options)
    print(report)
    context.violations = report.violations


@given('a soak of {nodes:d} nodes whose requests may last {seconds:d} s')
def start_fleet(context: Context, nodes: int, seconds: int) -> None:
    fleet = SoakFleet(nodes)
    context.add_cleanup(fleet.close)
    fleet.wait_ready(START_TIMEOUT_S)
    fleet.replace_manifest(seconds * 1_000)
    context.fleet = fleet
    context.callers = Callers(fleet, CALLERS, seed=1)
    context.callers.start()
    time.sleep(RAMP_UP_S)


@when('requests of {seconds:d} s run at "{node}" and the node is stopped')
def stop_during_long_requests(
    context: Context, seconds: int, node: str
) -> None:
    plan = ResponsePlan(work_ms=seconds * 1_000)
    threads = [
        Thread(target=_send_request, args=(context.fleet, node, plan, number))
        for number in range(LONG_REQUESTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(RAMP_UP_S)
    context.fleet.stop_node(context.fleet.members[node])
    calls = context.callers.finish()
    for thread in threads:
        thread.join()
    context.violations = find_violations(end_and_record(context.fleet, calls))


def _send_request(
    fleet: Any, node: str, plan: ResponsePlan, number: int
) -> None:
    path = f'/{SHARDED_SERVICE}/safe/x?{plan.query}'
    headers = {'Shard_Key': str(number * 5_003), 'Deadline_Ms': '10000'}
    with suppress(HTTPError):
        fleet.ask(fleet.members[node], path, f'long-{number}', **headers)


@given(
    'the worker "{worker}" held the keys {first:d} to {last:d} '
    'from {since:d} to {until:d} ms'
)
@given(
    'the worker "{worker}" held the keys {first:d} to {last:d} '
    'under token {token:d} from {since:d} to {until:d} ms'
)
def write_held_keys(
    context: Context,
    worker: str,
    first: int,
    last: int,
    since: int,
    until: int,
    token: int = 8,
) -> None:
    if 'workers' not in context:
        context.workers = []
        folder = TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = Path(folder.name)
    log = context.folder / f'{len(context.workers)}.log'
    line = {'held': [[first, last, token]], 'at_ms': since, 'until_ms': until}
    log.write_text(f'another line\n{json.dumps(line)}\n')
    context.workers.append(WorkerIncarnation(worker, log))


@given('the worker "{_worker}" was killed at {at_ms:d} ms')
def set_killed(context: Context, _worker: str, at_ms: int) -> None:
    context.workers[0].killed_ms = at_ms


@then('{count:d} keys are found that two workers held at one time')
def check_concurrent_holders(context: Context, count: int) -> None:
    found = list(find_concurrent_holders(context.workers))
    assert len(found) == count, found


@then('{count:d} keys are found whose token had not risen for a new life')
def check_repeated_fences(context: Context, count: int) -> None:
    record = Record(
        calls=(), node_incarnations=(), worker_incarnations=context.workers
    )
    found = [
        violation
        for violation in find_violations(record)
        if violation.rule == REPEATED_FENCES
    ]
    assert len(found) == count, found


@given('a worker that says from {since:d} to {until:d} ms that it leaves')
def set_leaving(context: Context, since: int, until: int) -> None:
    span = SignalSpan(LEAVER, SignalKind.leaving, since, until)
    context.signal_spans = [span]


@given('its node was started at {starts} ms')
def set_node_starts(context: Context, starts: str) -> None:
    context.node_starts = {LEAVER: [int(at) for at in starts.split()]}


@given('it ran requests that were sent at {sent} ms')
def set_sent(context: Context, sent: str) -> None:
    context.sent_ms = {f'at-{at}': int(at) for at in sent.split()}


def _entry(request: str, started_ms: int) -> JournalEntry:
    return replace(
        PLAIN_RUN,
        worker=LEAVER,
        request=request,
        service=SHARDED_SERVICE,
        started_ms=started_ms,
        finished_ms=started_ms + RUN_MS,
    )


@then('{count:d} requests are found that it got too late')
def check_late(context: Context, count: int) -> None:
    entries = [_entry(*each) for each in context.sent_ms.items()]
    found = list(
        find_late_requests(
            context.signal_spans, entries, context.sent_ms, context.node_starts
        )
    )
    assert len(found) == count, found


@then('the soak found no violations')
def check_violations(context: Context) -> None:
    assert not context.violations, '\n'.join(map(str, context.violations))
