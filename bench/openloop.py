"""A process that generates the load of a plan and prints what came back."""

import warnings

warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import eventlet  # noqa: E402

eventlet.monkey_patch()

import json  # noqa: E402
import sys  # noqa: E402
from dataclasses import asdict  # noqa: E402

from bench.generator import Generator  # noqa: E402
from bench.plans import Plan  # noqa: E402


def main() -> int:
    """Run the plan of the first argument and print the tally."""
    plan = Plan(**json.loads(sys.argv[1]))
    print(json.dumps(asdict(Generator(plan).run())))
    return 0


if __name__ == '__main__':
    sys.exit(main())
