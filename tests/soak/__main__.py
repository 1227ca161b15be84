"""The command `python -m tests.soak`."""

import sys
from argparse import ArgumentParser

from tests.soak.faults import FAULTS
from tests.soak.soak import Options, run


def main() -> int:
    """Run one soak; return 0 if it found no violations, otherwise 1."""
    parser = ArgumentParser(prog='tests.soak')
    parser.add_argument('--seed', type=int, required=True)
    parser.add_argument('--seconds', type=float, required=True)
    parser.add_argument('--nodes', type=int, default=4)
    parser.add_argument('--callers', type=int, default=16)
    parser.add_argument('--patient', type=int, default=12)
    parser.add_argument('--lanes', type=int, default=3)
    parser.add_argument('--faults', nargs='+', default=list(FAULTS))
    given = parser.parse_args()
    given.faults = tuple(given.faults)
    report = run(Options(**vars(given)))
    print(report)
    return 1 if report.violations else 0


if __name__ == '__main__':
    sys.exit(main())
