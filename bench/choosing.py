"""What choices over the whole fleet cost a node, by number of nodes."""

import sys
import time
from collections.abc import Callable
from functools import partial

import numpy as np

from bench.bounds import Bounds, show
from bench.spreading import TARGET_NODES, record_of
from laburnumwood.membership.choice import choose_witnesses, replace_witnesses
from laburnumwood.records import NodeName

SIZES = (100, 200, 400, 800, 1_600, 3_200, TARGET_NODES)
CPU_BOUND = 1.6  # per cent of a core
_REVIEWS_A_SECOND = 2
_REPEATS = 5


def _best_ms(choice: Callable[[], object]) -> float:
    best_s = float('inf')
    for _ in range(_REPEATS):
        started = time.perf_counter()
        choice()
        best_s = min(best_s, time.perf_counter() - started)
    return best_s * 1_000


def main() -> int:
    """Print the time of one review of witnesses, and its share of a core."""
    taken_ms = []
    for size in SIZES:
        names = [NodeName(f'n{place}', 1) for place in range(size)]
        nodes = {name: record_of(place) for place, name in enumerate(names)}
        standing = choose_witnesses(names[0], nodes)
        choice = partial(replace_witnesses, names[0], standing, nodes)
        taken_ms.append(_best_ms(choice))
    (slope, _), spread = np.polyfit(SIZES, taken_ms, 1, cov=True)
    shares = [ms * _REVIEWS_A_SECOND / 10 for ms in taken_ms]
    rows = zip(SIZES, np.round(taken_ms, 2), np.round(shares, 2), strict=True)
    show('one review of witnesses', ('nodes', 'ms', '% of a core'), rows)
    error = float(np.sqrt(spread[0][0]))
    print(f'slope {slope * 1_000:.3g} ± {error * 1_000:.2g} µs a node')
    bounds = Bounds()
    what = f'reviews at {TARGET_NODES}, % of a core'
    bounds.at_most(what, shares[-1], CPU_BOUND)
    return bounds.status


if __name__ == '__main__':
    sys.exit(main())
