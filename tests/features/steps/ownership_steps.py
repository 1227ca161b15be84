"""Steps about the ownership of shards in a simulation."""

from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from tests.ownership.lives import LivesSimulation
from tests.ownership.lives_machine import LivesStateMachine
from tests.ownership.machine import run_random_simulations
from tests.ownership.mutations import MUTATIONS
from tests.ownership.node import Components
from tests.ownership.put_back_machine import PutBackStateMachine
from tests.ownership.world import Simulation


def _run(
    components: Components, script: list[str], *, has_workers: bool = False
) -> str:
    return _play(
        lambda: Simulation(components, has_workers=has_workers), script
    )


def _run_lives(components: Components, script: list[str]) -> str:
    return _play(lambda: LivesSimulation(components), script)


def _play(start: Callable[[], Simulation], script: list[str]) -> str:
    try:
        simulation = start()
        for line in script:
            simulation.run(line)
    except AssertionError as broken:
        return type(broken).__name__
    return 'nothing'


@when('{runs:d} random simulations of {lines:d} lines are run')
def run_simulations(context: Context, runs: int, lines: int) -> None:
    context.counted = run_random_simulations(Components(), runs, lines)


@when(
    '{runs:d} random simulations of {lines:d} lines with workers that report '
    'are run'
)
def run_with_workers(context: Context, runs: int, lines: int) -> None:
    context.counted = run_random_simulations(
        Components(), runs, lines, has_workers=True
    )


@when(
    '{runs:d} random simulations of {lines:d} lines with a store that comes '
    'back are run'
)
def run_with_put_back(context: Context, runs: int, lines: int) -> None:
    context.counted = run_random_simulations(
        Components(), runs, lines, base=PutBackStateMachine
    )


@when(
    '{runs:d} random simulations of {lines:d} lines with a store that comes '
    'back and workers that report are run'
)
def run_with_put_back_and_workers(
    context: Context, runs: int, lines: int
) -> None:
    context.counted = run_random_simulations(
        Components(), runs, lines, has_workers=True, base=PutBackStateMachine
    )


@when(
    '{runs:d} random simulations of {lines:d} lines with workers that die and '
    'start again are run'
)
def run_with_lives(context: Context, runs: int, lines: int) -> None:
    context.counted = run_random_simulations(
        Components(), runs, lines, has_workers=True, base=LivesStateMachine
    )


@then('no shard ever had two acting owners')
def check_simulations(context: Context) -> None:
    # A simulation raises on the first violation, also if a shard has no owner
    # long after all faults have ended.  This checks that some simulations got
    # as far as that last check.
    counted = context.counted
    print(f'{counted.runs} simulations, {counted.steps} steps', end=', ')
    print(
        f'after all faults every shard had an owner {counted.recoveries} times'
    )
    assert counted.recoveries > 0


@given('the script')
def read_script(context: Context) -> None:
    context.script = [
        line.strip()
        for part in context.text.splitlines()
        for line in part.split(';')
    ]


@then('the code without "{safeguard}" fails on it with "{error}"')
def check_mutation(context: Context, safeguard: str, error: str) -> None:
    found = _run(MUTATIONS[safeguard], context.script)
    assert found == error, found


@then('the whole code passes on it')
def check_whole_code(context: Context) -> None:
    found = _run(Components(), context.script)
    assert found == 'nothing', found


@then('the whole code with workers that report passes on it')
def check_with_workers(context: Context) -> None:
    found = _run(Components(), context.script, has_workers=True)
    assert found == 'nothing', found


@then('the code without "{safeguard}" fails on it with workers that report')
def check_mutation_with_workers(context: Context, safeguard: str) -> None:
    components = MUTATIONS[safeguard]
    found = _run(components, context.script, has_workers=True)
    assert found == 'TwoHoldersError', found


@then('the code without "{safeguard}" fails with "{error}" on lives of workers')
def check_mutation_with_lives(
    context: Context, safeguard: str, error: str
) -> None:
    found = _run_lives(MUTATIONS[safeguard], context.script)
    assert found == error, found


@then('the whole code passes on it with lives of workers')
def check_with_lives(context: Context) -> None:
    found = _run_lives(Components(), context.script)
    assert found == 'nothing', found
