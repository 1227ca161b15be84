"""Outcomes of checks, and which failures are known."""

from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter

from tests.checks.processes import ROOT

_KNOWN_RED = ROOT / 'KNOWN-RED.txt'
_SLOWEST = 10  # scenarios that are listed


@dataclass(frozen=True, slots=True)
class Outcome:
    """The name of one check, whether it passed, and how long it took."""

    name: str
    passed: bool
    seconds: float = 0


def read_known_red() -> set[str]:
    """Return the names of the checks listed in KNOWN-RED.txt."""
    lines = _KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return {entry.split('|')[0].strip() for entry in entries}


def _print_names(label: str, names: set[str]) -> None:
    for name in sorted(names):
        print(f'{label}: {name}')


def _print_slowest(outcomes: Iterable[Outcome]) -> None:
    ordered = sorted(outcomes, key=attrgetter('seconds'), reverse=True)
    for outcome in ordered[:_SLOWEST]:
        print(f'slow: {outcome.seconds:.0f} s, {outcome.name}')


def print_summary(outcomes: list[Outcome]) -> int:
    """Print the totals and exceptions; return the exit status."""
    _print_slowest(outcomes)
    known = read_known_red()
    ran = {outcome.name for outcome in outcomes}
    failed = {outcome.name for outcome in outcomes if not outcome.passed}
    unexpected = failed.difference(known)
    _print_names('known red', failed.intersection(known))
    _print_names('FAILED', unexpected)
    _print_names('listed as known red but passed', known & ran - failed)
    _print_names('listed as known red, not run here', known - ran)
    passed = len(outcomes) - len(failed)
    print(f'{passed} passed, {len(unexpected)} failed')
    return 1 if unexpected or not passed else 0
