"""Run every check of the project and print one line of totals.

A check is either a tool (formatter, linter, type checker, import rules) or a
scenario of the features.  Tools and feature files run side by side, those that
took longest in the last run first; some files run alone after them.  A failed
check that is listed in KNOWN-RED.txt is printed but does not fail the run; a
listed check that passes is printed too, so that its entry can be removed, and
so is one that is not run here.
"""

import json
import os
import sys
import tempfile
from argparse import ArgumentParser
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path

from tests.checks.jobs import Job, JobResult, all_jobs
from tests.checks.outcomes import print_summary
from tests.checks.processes import ROOT, CheckProcesses

_JOBS_VARIABLE = 'LABURNUMWOOD_TEST_JOBS'
_CORES_PER_JOB = 2
_SECONDS_FILE = ROOT / 'build' / 'check-seconds.json'  # of the last run
# The first run begins with these, which start many processes.
_USUALLY_SLOW = (
    *('soak', 'standstill', 'store_put_back', 'worker_signals', 'faults_owner'),
    *('platform', 'faults_together', 'tool', 'held', 'faults_stops'),
    *('put_back_fences', 'ownership', 'request_links', 'balance', 'path'),
)
# These measure the memory of processes and run after all others.
_ALONE = frozenset(('uncontrolled_clients', 'caller_crowds'))


def _default_jobs() -> int:
    cores = len(os.sched_getaffinity(0))
    usual = max(1, cores // _CORES_PER_JOB)
    return int(os.environ.get(_JOBS_VARIABLE) or usual)


def _usual_seconds() -> dict[str, float]:
    """Return how long each job is expected to take."""
    count = len(_USUALLY_SLOW)
    usual = {
        name: float(count - rank) for rank, name in enumerate(_USUALLY_SLOW)
    }
    try:
        return usual | json.loads(_SECONDS_FILE.read_text())
    except (OSError, ValueError):
        return usual


def _print_result(result: JobResult) -> None:
    failed = [each for each in result.outcomes if not each.passed]
    verdict = f'{len(failed)} FAILED' if failed else 'passed'
    count = len(result.outcomes)
    print(
        f'{result.name}: {count} checks in {result.seconds:.0f} s, {verdict}',
        flush=True,
    )
    if failed:
        print(result.output, flush=True)


def _keep_seconds(done: Iterable[JobResult]) -> None:
    _SECONDS_FILE.parent.mkdir(exist_ok=True)
    seconds = {result.name: round(result.seconds, 1) for result in done}
    _SECONDS_FILE.write_text(json.dumps(seconds))


def _run_side_by_side(
    jobs: list[Job], folder: Path, at_once: int
) -> list[JobResult]:
    """Run jobs, print each result as it comes and return all of them."""
    processes = CheckProcesses(folder)
    done = []
    with ThreadPoolExecutor(at_once) as pool:
        pending = [pool.submit(job.run, processes) for job in jobs]
        try:
            for each in as_completed(pending):
                done.append(each.result())
                _print_result(done[-1])
        finally:
            pool.shutdown(wait=False, cancel_futures=True)
            processes.end_all()
    return done


def main() -> int:
    """Run all checks; return 0 only if none failed unexpectedly."""
    parser = ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--jobs', type=int, default=_default_jobs())
    at_once = parser.parse_args().jobs
    usual = _usual_seconds()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        jobs = sorted(all_jobs(folder), key=lambda job: -usual.get(job.name, 0))
        alone = [job for job in jobs if job.name in _ALONE]
        others = [job for job in jobs if job.name not in _ALONE]
        done = _run_side_by_side(others, folder, at_once)
        done += _run_side_by_side(alone, folder, 1)
    _keep_seconds(done)
    return print_summary([each for result in done for each in result.outcomes])


if __name__ == '__main__':
    sys.exit(main())
