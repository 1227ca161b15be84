"""The command `python -m tests.soak`."""

import sys
from argparse import ArgumentParser

from tests.soak.faults import FAULTS
from tests.soak.soak import Options, run

_COUNTS = {'nodes': 4, 'callers': 16, 'patient': 12, 'routed': 6, 'lanes': 3}


def main() -> int:
    """Run one soak; return 0 if it found no violations, otherwise 1."""
    parser = ArgumentParser(prog='tests.soak')
    parser.add_argument('--seed', type=int, required=True)
    parser.add_argument('--seconds', type=float, required=True)
    for name, default in _COUNTS.items():
        parser.add_argument(f'--{name}', type=int, default=default)
    parser.add_argument('--faults', nargs='+', default=list(FAULTS))
    given = parser.parse_args()
    given.faults = tuple(given.faults)
    report = run(Options(**vars(given)))
    print(report)
    return 1 if report.violations else 0


if __name__ == '__main__':
    sys.exit(main())
