"""The jobs that a run of all checks consists of: tools and feature files."""

import json
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

from tests.checks.outcomes import Outcome
from tests.checks.processes import (
    MAX_SILENCE_S,
    ROOT,
    CheckProcesses,
    HungError,
)

_BIN = Path(sys.executable).parent
_FEATURES = ROOT / 'tests' / 'features'
_SOURCES = ('laburnumwood', 'standins', 'tests', 'bench')
_TOOLS: dict[str, tuple[str, ...]] = {
    'format': ('ruff', 'format', '--check', '.'),
    'lint': ('ruff', 'check', '.'),
    'style': ('flake8', *_SOURCES),
    'types': ('mypy', *_SOURCES),
    'imports': ('lint-imports',),
}


@dataclass(slots=True)
class JobResult:
    """The outcomes of one job, what it has written and how long it took."""

    name: str
    outcomes: list[Outcome] = field(default_factory=list)
    output: str = ''
    seconds: float = 0


class Job(Protocol):
    """A part of the run that is a process of its own."""

    @property
    def name(self) -> str:
        """Return a name that no other job has."""

    def run(self, processes: CheckProcesses) -> JobResult:
        """Run the job to its end."""


@dataclass(frozen=True, slots=True)
class _Tool:
    name: str
    command: tuple[str, ...]

    def run(self, processes: CheckProcesses) -> JobResult:
        """Run the tool; it passes if its exit status is zero."""
        executable = str(_BIN / self.command[0])
        command = (executable, *self.command[1:])
        result, status = _run(self.name, command, processes, MAX_SILENCE_S)
        result.outcomes.append(Outcome(self.name, status == 0, result.seconds))
        return result


@dataclass(frozen=True, slots=True)
class FeatureJob:
    """A feature file, whose report is written to a path."""

    path: Path
    report: Path
    max_silence_s: float = MAX_SILENCE_S

    @property
    def name(self) -> str:
        """Return the name of the file, without its ending."""
        return self.path.stem

    def run(self, processes: CheckProcesses) -> JobResult:
        """Run all scenarios of the file."""
        command = (
            *(sys.executable, '-m', 'behave', '--no-capture'),
            *('-f', 'json', '-o', str(self.report), '-f', 'progress3'),
            str(self.path),
        )
        result, status = _run(self.name, command, processes, self.max_silence_s)
        result.outcomes.extend(self._outcomes(status))
        return result

    def _outcomes(self, status: int | None) -> list[Outcome]:
        """Return the outcomes of all scenarios, and of the file if it failed.

        The file fails if its process hung or crashed, or left no report.
        """
        if status is None:
            what = f'no scenario ended for {self.max_silence_s} s'
            return [Outcome(f'{self.name}: {what}', passed=False)]
        try:
            report = json.loads(self.report.read_text())
        except (OSError, ValueError):
            return [Outcome(f'{self.name}: no report', passed=False)]
        outcomes = _scenario_outcomes(report)
        if status and all(outcome.passed for outcome in outcomes):
            what = f'ended with status {status}'
            outcomes.append(Outcome(f'{self.name}: {what}', passed=False))
        return outcomes


def all_jobs(folder: Path) -> list[Job]:
    """Return all jobs; reports of features are written to a folder."""
    tools = [_Tool(name, command) for name, command in _TOOLS.items()]
    features = [
        FeatureJob(path, folder / f'{path.stem}.json')
        for path in sorted(_FEATURES.glob('*.feature'))
    ]
    return [*tools, *features]


def _run(
    name: str,
    command: tuple[str, ...],
    processes: CheckProcesses,
    max_silence_s: float,
) -> tuple[JobResult, int | None]:
    """Run a command to its end; return its status, None if it hung."""
    started_s = time.monotonic()
    process = processes.start(name, command)
    status = None
    try:
        with suppress(HungError):
            status = process.wait(max_silence_s)
    finally:
        processes.end(process)
    seconds = time.monotonic() - started_s
    return JobResult(name, output=process.output, seconds=seconds), status


def _scenario_outcomes(report: list[dict[str, Any]]) -> list[Outcome]:
    return [
        _scenario_outcome(feature, element)
        for feature in report
        for element in feature.get('elements', ())
        if element['type'] == 'scenario'
    ]


def _scenario_outcome(
    feature: dict[str, Any], scenario: dict[str, Any]
) -> Outcome:
    name = '{}: {}'.format(feature['name'], scenario['name']).strip()
    seconds = sum(
        step.get('result', {}).get('duration', 0)
        for step in scenario.get('steps', ())
    )
    return Outcome(name, scenario['status'] == 'passed', seconds)
