"""The command `python -m tests.config_fleet`."""

import os
import random
import sys
import time
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator
from multiprocessing import get_context

import logbook

from tests.config_fleet.fleet import SimulatedFleet
from tests.config_fleet.judge import find_in_touch, find_violations
from tests.config_fleet.mutants import MUTANTS, apply_mutant
from tests.config_fleet.schedule import Choices
from tests.config_fleet.virtual_time import use_virtual_time
from tests.soak.fleet import FIRST_ROUTES

_OLD_PROOF_MS = 1_000
_HASH_SEED = 'PYTHONHASHSEED'


def _choices(given: Namespace) -> Choices:
    stated = {
        name: tuple(values)
        for name, values in (
            ('sizes', given.nodes),
            ('late_loops_ms', given.late_loops_ms),
            ('link_waits_ms', given.link_waits_ms),
            ('reads_per_s', given.reads_per_s),
        )
        if values
    }
    return Choices(**stated)


def _run(task: tuple[int, Namespace]) -> tuple[int, list[str], str]:
    """Run a seed; return it, the violations and a line about it."""
    seed, given = task
    logbook.NullHandler().push_application()
    if given.logs:
        logbook.StreamHandler(sys.stderr, level=given.logs).push_application()
    use_virtual_time()
    random.seed(seed)
    if given.mutant:
        apply_mutant(given.mutant)
    fleet = SimulatedFleet(seed, _choices(given))
    began_s = time.process_time()
    fleet.run()
    in_touch = list(find_in_touch(fleet))
    found = list(find_violations(fleet, in_touch))
    handled = [each for each in in_touch if not each.is_rejected]
    oldest_ms = max((each.age_ms for each in handled), default=0)
    old = sum(each.age_ms > _OLD_PROOF_MS for each in in_touch)
    rejected = [
        each
        for each in fleet.observed.decided
        if each.is_rejected and each.call.request.service in FIRST_ROUTES
    ]
    taken_s = time.process_time() - began_s
    line = (
        f'seed {seed}: {len(found)} violations in '
        f'{len(fleet.observed.decided)} decisions, {len(in_touch)} in touch, '
        f'by a proof of {oldest_ms} ms at most, {old} of over '
        f'{_OLD_PROOF_MS} ms, {len(rejected)} '
        f'rejected on lasting routes; '
        f'{taken_s:.1f} s; {fleet.world}'
    )
    if given.verbose:
        line += ''.join(f'\n    {each}' for each in fleet.troubles)
    return seed, found, line


def _first_of_each_rule(found: list[str]) -> list[str]:
    first = {each.partition(': ')[0]: each for each in reversed(found)}
    return list(first.values())


def _outcomes(given: Namespace) -> Iterator[tuple[int, list[str], str]]:
    seeds = range(given.seed, given.seed + given.seeds)
    tasks = [(seed, given) for seed in seeds]
    # A process for each run: what a simulated process had is gone with it.
    with get_context('fork').Pool(given.jobs, maxtasksperchild=1) as pool:
        yield from pool.imap_unordered(_run, tasks)


def _fix_hashes() -> None:
    """Start again with the hashes that make the order of sets repeat."""
    if os.environ.get(_HASH_SEED) != '0':
        command = [sys.executable, '-m', 'tests.config_fleet', *sys.argv[1:]]
        os.execve(sys.executable, command, {**os.environ, _HASH_SEED: '0'})


def _arguments() -> Namespace:
    parser = ArgumentParser(prog='tests.config_fleet')
    parser.add_argument('--seed', type=int, required=True)
    for name in ('--seeds', '--jobs'):
        parser.add_argument(name, type=int, default=1)
    for name in ('--nodes', '--late-loops-ms', '--link-waits-ms'):
        parser.add_argument(name, type=int, nargs='+', default=())
    parser.add_argument('--reads-per-s', type=float, nargs='+', default=())
    parser.add_argument('--mutant', choices=list(MUTANTS))
    parser.add_argument('--logs', choices=('INFO', 'WARNING'))
    parser.add_argument('--verbose', action='store_true')
    return parser.parse_args()


def main() -> int:
    """Run seeds; return 0 if none found a violation, otherwise 1."""
    given = _arguments()
    failed = 0
    for _, found, line in _outcomes(given):
        failed += bool(found)
        if found or given.verbose:
            shown = _first_of_each_rule(found)
            print(line, *shown, sep='\n    ', flush=True)
    print(f'{given.seeds} seeds, {failed} with violations')
    return 1 if failed else 0


if __name__ == '__main__':
    _fix_hashes()
    sys.exit(main())
