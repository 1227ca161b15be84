"""Steps about the allocation of ports to test runs."""

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


@when('two test runs allocate {count:d} ports each')
def allocate_ports(context: Context, count: int) -> None:
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


@then('all ports are different')
def check_ports(context: Context) -> None:
    duplicates = len(context.ports) - len(set(context.ports))
    assert not duplicates, f'{duplicates} ports were allocated twice'
