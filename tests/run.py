"""Run every check of the project and print one line of totals.

A check is either a tool (formatter, linter, type checker, import rules) or a
scenario of the features.  A failed check that is listed in KNOWN-RED.txt is
printed but does not fail the run; a listed check that passes is printed too,
so that its entry can be removed, and so is one that is not run here.
"""

import json
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(sys.executable).parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
SOURCES = ('laburnumwood', 'standins', 'tests', 'bench')
TOOLS: dict[str, tuple[str, ...]] = {
    'format': ('ruff', 'format', '--check', '.'),
    'lint': ('ruff', 'check', '.'),
    'style': ('flake8', *SOURCES),
    'types': ('mypy', *SOURCES),
    'imports': ('lint-imports',),
}


@dataclass(frozen=True, slots=True)
class Outcome:
    """The name of one check and whether it passed."""

    name: str
    passed: bool


def _read_known_red() -> set[str]:
    """Return the names of the checks listed in KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return {entry.split('|')[0].strip() for entry in entries}


def _run_tool(name: str, command: tuple[str, ...]) -> Outcome:
    executable = str(BIN / command[0])
    completed = subprocess.run(
        [executable, *command[1:]], cwd=ROOT, check=False
    )
    return Outcome(name, completed.returncode == 0)


def _scenario_outcomes(report: list[dict[str, Any]]) -> Iterator[Outcome]:
    for feature in report:
        elements = feature.get('elements', ())
        for element in elements:
            if element['type'] == 'scenario':
                name = '{}: {}'.format(feature['name'], element['name']).strip()
                yield Outcome(name, element['status'] == 'passed')


def _run_features() -> list[Outcome]:
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        format_options = ('-f', 'json', '-o', str(report), '-f', 'progress3')
        command = [
            sys.executable,
            '-m',
            'behave',
            '--no-capture',
            *format_options,
        ]
        completed = subprocess.run(command, cwd=ROOT, check=False)
        outcomes = list(_scenario_outcomes(json.loads(report.read_text())))
    if completed.returncode and all(outcome.passed for outcome in outcomes):
        outcomes.append(Outcome('features as a whole', passed=False))
    return outcomes


def _print_names(label: str, names: set[str]) -> None:
    for name in sorted(names):
        print(f'{label}: {name}')


def _print_summary(outcomes: list[Outcome]) -> int:
    """Print the totals and exceptions; return the exit status."""
    known = _read_known_red()
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


def main() -> int:
    """Run all checks; return 0 only if none failed unexpectedly."""
    outcomes = [_run_tool(name, command) for name, command in TOOLS.items()]
    outcomes.extend(_run_features())
    return _print_summary(outcomes)


if __name__ == '__main__':
    sys.exit(main())
