"""Steps about the run of all checks, with feature files made up for it."""

import tempfile
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from bench.deployment import wait_for
from tests.checks.jobs import FeatureJob
from tests.checks.processes import CheckProcesses

FEATURE = """Feature: Made up
  Scenario: one
    Given a step
"""
STEPS = """import atexit, os, subprocess, sys, time
from behave import given

@given('a step')
def step(context):
    child = subprocess.Popen([sys.executable, '-c', 'input()'],
                             stdin=subprocess.PIPE)
    with open({pids!r}, 'w') as pids:
        pids.write(str(child.pid))
    {fate}
"""
FATES = {
    'passes': 'child.communicate()',
    'hangs': 'time.sleep(1000)',
    'crashes': 'os._exit(3)',
    'crashes at its end': 'atexit.register(os._exit, 3)',
}
LIMIT_S = 10
MAX_SILENCE_S = 2


@given('a feature file whose process {fate}')
def write_feature(context: Context, fate: str) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    # Only the end of a process that hangs depends on its silence.
    context.max_silence_s = MAX_SILENCE_S if fate == 'hangs' else LIMIT_S
    context.pids = context.folder / 'pids'
    (context.folder / 'steps').mkdir()
    steps = STEPS.format(pids=str(context.pids), fate=FATES[fate])
    (context.folder / 'steps' / 'made_up.py').write_text(steps)
    context.made_up = context.folder / 'made_up.feature'
    context.made_up.write_text(FEATURE)


@when('it is run as a check')
def run_check(context: Context) -> None:
    report = context.folder / 'report.json'
    job = FeatureJob(context.made_up, report, context.max_silence_s)
    context.outcomes = job.run(CheckProcesses(context.folder)).outcomes


@then('its outcomes are "{outcomes}"')
def check_outcomes(context: Context, outcomes: str) -> None:
    found = [
        f'{each.name} {"passed" if each.passed else "failed"}'
        for each in context.outcomes
    ]
    assert found == outcomes.split(', '), found


@then('nothing that it started is left')
def check_ended(context: Context) -> None:
    path = Path('/proc') / context.pids.read_text()
    state = path / 'stat'

    def has_ended() -> bool:
        return not path.exists() or ') Z ' in state.read_text()

    wait_for('the end of a child', has_ended, LIMIT_S)
