"""Steps about the ports that runs of tests are given."""

import subprocess
import sys

from behave import then, when
from behave.runner import Context

from bench.deployment import free_port

LIMIT_S = 60
OTHER_RUN = """
from bench.deployment import free_port
print(*(free_port() for _ in range({count})))
input()
"""


@when('two runs are given {count:d} ports each')
def take_ports(context: Context, count: int) -> None:
    other = subprocess.Popen(
        (sys.executable, '-c', OTHER_RUN.format(count=count)),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(other.wait, LIMIT_S)
    context.add_cleanup(other.communicate, '\n')
    own = [free_port() for _ in range(count)]
    assert other.stdout is not None
    others = [int(port) for port in other.stdout.readline().split()]
    assert len(others) == count, others
    context.ports = own + others


@then('all these ports differ')
def check_ports(context: Context) -> None:
    same = len(context.ports) - len(set(context.ports))
    assert not same, f'{same} ports were given twice'
