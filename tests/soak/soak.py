"""Runs one soak: starts the processes, injects faults, checks the results."""

import time
from collections import Counter
from collections.abc import Sequence
from contextlib import closing
from dataclasses import dataclass
from functools import partial
from itertools import count
from pathlib import Path
from random import Random
from threading import Event, Thread

from urllib3.exceptions import HTTPError

from bench.deployment import wait_for
from tests.soak.callers import Call, Callers
from tests.soak.disturbances import Disturbance
from tests.soak.faults import FAULTS, ROUTE_FAULTS, Lane
from tests.soak.fleet import (
    SHARDED_SERVICE,
    START_TIMEOUT_S,
    UNSHARDED_SERVICE,
    SoakFleet,
)
from tests.soak.judge import Record, Violation, find_violations
from tests.soak.overdue import OverdueCall

LOGS_FOLDER = Path(__file__).resolve().parents[2] / 'build' / 'soak'
_RECOVERY_TIMEOUT_S = 60  # after all faults are undone
_STEADY_S = 7  # without faults, for the rules about steady times
_LATE_EXECUTION_S = 4  # for requests that outlast their callers
_MAX_SHOWN_VIOLATIONS = 12  # violations in the printed report


@dataclass(frozen=True, slots=True)
class Options:
    """The parameters of a soak."""

    seed: int
    seconds: float
    nodes: int = 4
    callers: int = 16
    patient: int = 12  # callers that wait for longer than any timeout
    routed: int = 6  # callers of routes that change, if any do
    lanes: int = 3
    faults: tuple[str, ...] = tuple(FAULTS)

    @property
    def changes_routes(self) -> bool:
        """Return whether routes are changed."""
        return not set(ROUTE_FAULTS).isdisjoint(self.faults)


@dataclass(frozen=True, slots=True)
class Report:
    """What a soak did and which violations it found."""

    options: Options
    calls: list[Call]
    runs: int
    overdue: list[OverdueCall]
    faults: list[str]
    violations: list[Violation]

    def __str__(self) -> str:
        """Return the report as lines of text."""
        ends = Counter(str(call.end) for call in self.calls)
        statuses = Counter(call.status for call in self.calls if call.status)
        fault_lines = [line.partition(' ')[2] for line in self.faults]
        kinds = Counter(
            line.partition(':')[0]
            for line in fault_lines
            if not line.startswith('mended')
        )
        options = self.options
        lines = [
            f'seed {options.seed}: {options.nodes} nodes, '
            f'{options.callers} and {options.patient} patient callers, '
            f'{options.lanes} lanes, '
            f'{options.seconds:g} s',
            f'{len(self.calls)} requests, {self.runs} runs',
            f'ends: {dict(ends)}; statuses: {dict(sorted(statuses.items()))}',
            f'{len(self.overdue)} requests outlasted their timeout, '
            f'{sum(each.is_held for each in self.overdue)} were held',
            f'injected: {dict(sorted(kinds.items()))}',
        ]
        lines += [
            f'BROKEN {rule}: {times}'
            for rule, times in Counter(
                each.rule for each in self.violations
            ).items()
        ]
        lines += [
            f'  {each}' for each in self.violations[:_MAX_SHOWN_VIOLATIONS]
        ]
        return '\n'.join((*lines, f'{len(self.violations)} broken'))


def _inject_faults(fleet: SoakFleet, options: Options) -> list[Lane]:
    """Inject faults for the time of the soak; return the ended lanes."""
    stop_event = Event()
    lanes = [
        Lane(fleet, options.faults, Random(f'{options.seed} lane {number}'))
        for number in range(options.lanes)
    ]
    threads = [
        Thread(target=lane.run_until, args=(stop_event,), daemon=True)
        for lane in lanes
    ]
    for thread in threads:
        thread.start()
    time.sleep(options.seconds)
    stop_event.set()
    for thread in threads:
        thread.join()
    return lanes


def _is_served(
    fleet: SoakFleet, name: str, service: str, numbers: 'count[int]'
) -> bool:
    number = next(numbers)
    response = fleet.ask(
        fleet.members[name],
        f'/{service}/safe/x',
        f'after-{number}',
        Shard_Key=str(number * 997 % 65_536),
    )
    return response.status == 200


def _check_recovery(fleet: SoakFleet) -> list[Violation]:
    """Wait until every node serves each service.

    Returns a violation if that takes longer than `_RECOVERY_TIMEOUT_S`.
    """
    numbers = count()
    for name in fleet.members:
        for service in (SHARDED_SERVICE, UNSHARDED_SERVICE):
            served = partial(_is_served, fleet, name, service, numbers)
            try:
                wait_for(f'{service} at {name}', served, _RECOVERY_TIMEOUT_S)
            except (TimeoutError, HTTPError) as error:
                return [Violation('not served again', repr(error))]
    return []


def end_and_record(
    fleet: SoakFleet,
    calls: Sequence[Call],
    disturbances: Sequence[Disturbance] = (),
) -> Record:
    """End the workers and return the record of a soak.

    A worker that lives on would change its log while the others' are read.
    """
    journal_entries = fleet.journal_entries()
    fleet.end_workers()
    for incarnation in fleet.node_incarnations:
        incarnation.read_start()
    return Record.of(
        calls,
        fleet.node_incarnations,
        fleet.worker_incarnations,
        journal_entries,
        fleet.signal_spans,
        fleet.manifest_changes,
        disturbances,
    )


def run(options: Options) -> Report:
    """Run a soak; if it finds violations, keep its logs under `build/`."""
    with closing(SoakFleet(options.nodes)) as fleet:
        fleet.wait_ready(START_TIMEOUT_S)
        callers = Callers(
            fleet,
            options.callers,
            options.seed,
            options.patient,
            options.routed if options.changes_routes else 0,
        )
        callers.start()
        lanes = _inject_faults(fleet, options)
        violations = _check_recovery(fleet)
        if options.changes_routes:
            time.sleep(_STEADY_S)
        calls = callers.finish()
        time.sleep(_LATE_EXECUTION_S)
        disturbances = [each for lane in lanes for each in lane.disturbances]
        record = end_and_record(fleet, calls, disturbances)
        violations += find_violations(record)
        violations += [
            Violation('an injection failed', failure)
            for lane in lanes
            for failure in lane.injection_errors
        ]
        faults = sorted(line for lane in lanes for line in lane.log)
        report = Report(
            options,
            calls,
            record.run_count,
            record.overdue_calls,
            faults,
            violations,
        )
        if violations:
            _save_logs(fleet, report)
    return report


def _save_logs(fleet: SoakFleet, report: Report) -> None:
    folder = LOGS_FOLDER / f'seed-{report.options.seed}'
    fleet.copy_logs(folder)
    lines = [f'{each.rule}: {each.evidence}' for each in report.violations]
    node_incarnations = [
        str(incarnation) for incarnation in fleet.node_incarnations
    ]
    content = '\n'.join(
        (str(report), *lines, *node_incarnations, *report.faults)
    )
    (folder / 'report.txt').write_text(content)
