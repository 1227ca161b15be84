"""Time until keys are served again after losses, with churn and imbalance."""

import statistics
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from hdrh.histogram import HdrHistogram

from bench.bounds import Bounds, show
from bench.deployment import Member, wait_for
from bench.faults import Fleet, imbalance

SERVICE = 'trader-portal'
NODES = 6
REPEATS = 3
BOUND_MS = 3_000
_KEYS = 40
_LIMIT_S = 60
_HIGHEST_MS = 100_000
_DIGITS = 3
_PERCENTILES = (50, 90, 100)

Case = Callable[[Fleet, Member], None]


def _kill(fleet: Fleet, victim: Member) -> None:
    fleet.strike('killed', victim)


def _freeze(fleet: Fleet, victim: Member) -> None:
    fleet.strike('frozen', victim)


def _lose_domain(fleet: Fleet, victim: Member) -> None:
    for member in fleet.members:
        if member.place.failure_domain == victim.place.failure_domain:
            fleet.strike('killed', member)


def _kill_in_outage(fleet: Fleet, victim: Member) -> None:
    fleet.set_store('out of service')
    fleet.strike('killed', victim)


CASES: dict[str, Case] = {
    'owner killed': _kill,
    'owner frozen': _freeze,
    'failure domain lost': _lose_domain,
    'owner killed in an outage': _kill_in_outage,
}


class _Series:
    """What the repetitions of one case gave."""

    def __init__(self) -> None:
        self.times = HdrHistogram(1, _HIGHEST_MS, _DIGITS)
        self.moves: list[int] = []
        self.imbalances: list[float] = []

    def row(self, name: str) -> tuple[object, ...]:
        """Return the case as a row of a table."""
        times = [
            f'{self.times.get_value_at_percentile(share):.0f}'
            for share in _PERCENTILES
        ]
        moves = f'{statistics.mean(self.moves):.1f}'
        imbalance = f'{statistics.mean(self.imbalances):.2f}'
        return name, self.times.get_total_count(), *times, moves, imbalance


def _keys_of(fleet: Fleet, lost: set[str]) -> list[str]:
    keys = [f'kiosk-{number}' for number in range(_KEYS)]
    return [key for key in keys if fleet.owner_of(key).place.node_id in lost]


def _lost_by(case: Case, fleet: Fleet, victim: Member) -> set[str]:
    if case is not _lose_domain:
        return {victim.place.node_id}
    domain = victim.place.failure_domain
    return {
        member.place.node_id
        for member in fleet.members
        if member.place.failure_domain == domain
    }


def _time_to_serve(fleet: Fleet, door: str, started: float, key: str) -> float:
    wait_for(key, partial(fleet.is_served, door, key), _LIMIT_S)
    return time.monotonic() - started


def _measure(fleet: Fleet, case: Case, series: _Series) -> None:
    fleet.repair(_LIMIT_S)
    victim = fleet.owner_of('kiosk-0')
    lost = _lost_by(case, fleet, victim)
    keys = _keys_of(fleet, lost)
    before = fleet.owned_by()
    door = next(
        each.door for each in fleet.members if each.place.node_id not in lost
    )
    started = time.monotonic()
    case(fleet, victim)
    measure = partial(_time_to_serve, fleet, door, started)
    with ThreadPoolExecutor(len(keys)) as threads:
        for taken_s in threads.map(measure, keys):
            series.times.record_value(round(taken_s * 1_000))
    after = fleet.owned_by()
    series.moves.append(
        sum(owner != before[shard] for shard, owner in after.items())
    )
    series.imbalances.append(imbalance(after))


def main() -> int:
    """Print the distribution for each case and check the target."""
    bounds, rows = Bounds(), []
    fleet = Fleet(SERVICE, NODES)
    try:
        for name, case in CASES.items():
            series = _Series()
            for _ in range(REPEATS):
                _measure(fleet, case, series)
            rows.append(series.row(name))
            slowest = series.times.get_max_value()
            bounds.at_most(f'{name}, slowest key, ms', slowest, BOUND_MS)
    finally:
        fleet.close()
    columns = (
        'case',
        'keys',
        'p50 ms',
        'p90 ms',
        'max ms',
        'moves',
        'max/mean',
    )
    show('time to be served again', columns, rows)
    return bounds.status


if __name__ == '__main__':
    sys.exit(main())
