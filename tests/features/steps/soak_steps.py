"""Steps about the soak."""

from behave import then, when
from behave.runner import Context

from tests.soak.soak import Options, run


@when('a soak of {nodes:d} nodes runs for {seconds:d} s with seed {seed:d}')
def soak(context: Context, nodes: int, seconds: int, seed: int) -> None:
    context.report = run(Options(seed=seed, seconds=seconds, nodes=nodes))
    print(context.report)


@then('no promise was broken')
def check_promises(context: Context) -> None:
    assert not context.report.broken, str(context.report)
