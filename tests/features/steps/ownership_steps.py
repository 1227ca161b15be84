"""Steps about the ownership of shards in a small world."""

from behave import given, then, when
from behave.runner import Context

from tests.ownership.machine import drive
from tests.ownership.mutations import MUTATIONS
from tests.ownership.node import Code
from tests.ownership.world import World


def _run(code: Code, script: list[str]) -> str:
    world = World(code)
    try:
        for line in script:
            world.run(line)
    except AssertionError as broken:
        return type(broken).__name__
    return 'nothing'


@when('{runs:d} random worlds of {lines:d} lines are run')
def run_random_worlds(context: Context, runs: int, lines: int) -> None:
    context.counted = drive(Code(), runs, lines)


@then('no shard ever had two actors')
def check_random_worlds(context: Context) -> None:
    # The worlds raise on the first fault; here it must be sure that they ran.
    counted = context.counted
    print(f'{counted.runs} worlds, {counted.steps} steps', end=', ')
    print(f'a shard had an owner in {counted.owned_steps} of them')
    assert counted.owned_steps * 2 > counted.steps


@given('the script')
def read_script(context: Context) -> None:
    context.script = [line.strip() for line in context.text.split(';')]


@then('the code without "{safeguard}" fails on it with "{error}"')
def check_mutation(context: Context, safeguard: str, error: str) -> None:
    found = _run(MUTATIONS[safeguard], context.script)
    assert found == error, found


@then('the whole code passes on it')
def check_whole_code(context: Context) -> None:
    found = _run(Code(), context.script)
    assert found == 'nothing', found
