"""Steps about simulated fleets, each in an interpreter of its own."""

import subprocess
import sys

from behave import then, when
from behave.runner import Context

LIMIT_S = 300


def _simulate(
    context: Context, nodes: int, seeds: int, first: int, *options: str
) -> None:
    numbers = ('--nodes', nodes, '--seeds', seeds, '--seed', first)
    _run(context, *map(str, numbers), *options)


def _run(context: Context, *options: str) -> None:
    command = [sys.executable, '-W', 'ignore', '-m', 'tests.config_fleet']
    context.simulated = subprocess.run(
        [*command, *options],
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )


@when('fleets of {nodes:d} nodes are simulated with 1 seed from {first:d} on')
def simulate_one(context: Context, nodes: int, first: int) -> None:
    _simulate(context, nodes, 1, first)


@when(
    'fleets of {nodes:d} nodes are simulated with {seeds:d} seeds from '
    '{first:d} on'
)
def simulate(context: Context, nodes: int, seeds: int, first: int) -> None:
    _simulate(context, nodes, seeds, first)


@when('a fleet is simulated with the options "{options}"')
def simulate_with_options(context: Context, options: str) -> None:
    _run(context, *options.split())


@when('a fleet without "{safeguard}" is simulated with the options "{options}"')
def simulate_mutant_with_options(
    context: Context, safeguard: str, options: str
) -> None:
    _run(context, *options.split(), '--mutant', safeguard)


@when(
    'fleets of {nodes:d} nodes are simulated with 1 seed from {first:d} on, '
    'without "{safeguard}"'
)
def simulate_mutant(
    context: Context, nodes: int, first: int, safeguard: str
) -> None:
    _simulate(context, nodes, 1, first, '--mutant', safeguard)


@then('no rule is broken')
def check_no_violation(context: Context) -> None:
    found = context.simulated
    assert found.returncode == 0, f'{found.stdout}{found.stderr}'


@then('the broken rule is "{rule}"')
def check_violation(context: Context, rule: str) -> None:
    found = context.simulated
    assert found.returncode == 1, f'{found.stdout}{found.stderr}'
    assert rule in found.stdout, found.stdout
