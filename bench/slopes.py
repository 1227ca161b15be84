"""What control costs a node, by number of nodes, and the slopes of it."""

import os
import sys
import time
from collections.abc import Callable
from dataclasses import astuple, dataclass, fields
from pathlib import Path

import numpy as np

from bench.bounds import Bounds, show
from bench.caller import Callers, Load
from bench.faults import Fleet

SERVICE = 'trader-portal'
SIZES = (5, 10, 20, 40)
SHARDS_PER_NODE = 8
TARGET_NODES = 7_300
CPU_BOUND = 1.6  # per cent of a core
MEMORY_BOUND = 128  # MB
BYTES_BOUND = 10  # KB a second
_WINDOW_S = 6
_START_S = 180
_MB = 1e6
_KB = 1e3
_TICKS_A_SECOND = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


@dataclass(frozen=True, slots=True)
class Cost:
    """What a node uses; a message is a piece that a relay passed on."""

    cpu_percent: float
    memory_mb: float
    control_kb_s: float
    messages_s: float
    store_writes_s: float
    store_reads_s: float
    waiting_watches: float


NAMES = tuple(field.name for field in fields(Cost))


@dataclass(frozen=True, slots=True)
class _Reading:
    at_s: float
    cpu_s: float
    sent_bytes: float
    messages: float
    counts: dict[str, float]


def _cpu_s(pid: int) -> float:
    stat = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(stat[11]) + int(stat[12])) / _TICKS_A_SECOND


def memory_mb(process: Path) -> float:
    """Return the resident memory of a process, by its folder in /proc."""
    pages = int((process / 'statm').read_text().split()[1])
    return pages * _PAGE_BYTES / _MB


def _pids(fleet: Fleet) -> list[int]:
    return [
        member.node.pid for member in fleet.members if member.node.is_running
    ]


def _read(fleet: Fleet) -> _Reading:
    routes = [
        route
        for name, route in fleet.deployment.routes().items()
        if name.endswith('.peer')
    ]
    counts = fleet.deployment.get(f'{fleet.deployment.platform_url}/counts')
    return _Reading(
        time.monotonic(),
        sum(_cpu_s(pid) for pid in _pids(fleet)),
        sum(sum(route['bytes'].values()) for route in routes),
        sum(sum(route['pieces'].values()) for route in routes),
        counts.json(),
    )


def _reads(reading: _Reading) -> float:
    return reading.counts['reads'] + reading.counts['watches']


def _observe(fleet: Fleet) -> Cost:
    first = _read(fleet)
    time.sleep(_WINDOW_S)
    last = _read(fleet)
    pids = _pids(fleet)
    node_s = (last.at_s - first.at_s) * len(pids)
    resident_mb = sum(memory_mb(Path(f'/proc/{pid}')) for pid in pids)
    return Cost(
        (last.cpu_s - first.cpu_s) / node_s * 100,
        resident_mb / len(pids),
        (last.sent_bytes - first.sent_bytes) / node_s / _KB,
        (last.messages - first.messages) / node_s,
        (last.counts['writes'] - first.counts['writes']) / node_s,
        (_reads(last) - _reads(first)) / node_s,
        last.counts['waiting'] / len(pids),
    )


def _idle(fleet: Fleet) -> Cost:
    return _observe(fleet)


def _steady(fleet: Fleet) -> Cost:
    load = Load(SERVICE, 'Kiosk', pause_ms=100, operations=6_000)
    callers = Callers(load, fleet.doors, 'steady')
    callers.start()
    try:
        return _observe(fleet)
    finally:
        callers.finish(early=True)


def _loss(fleet: Fleet) -> Cost:
    fleet.strike('killed', fleet.members[-1])
    return _observe(fleet)


STATES: dict[str, Callable[[Fleet], Cost]] = {
    'idle': _idle,
    'steady load': _steady,
    'loss of a node': _loss,
}


def _measure(size: int) -> dict[str, Cost]:
    fleet = Fleet(SERVICE, size, shards=size * SHARDS_PER_NODE)
    try:
        fleet.repair(_START_S)
        time.sleep(_WINDOW_S)
        return {state: observe(fleet) for state, observe in STATES.items()}
    finally:
        fleet.close()


def _fit(costs: list[Cost], place: int) -> tuple[object, ...]:
    measured = [astuple(cost)[place] for cost in costs]
    (slope, base), spread = np.polyfit(SIZES, measured, 1, cov=True)
    error = float(np.sqrt(spread[0][0]))
    far = base + slope * TARGET_NODES
    return (
        f'{base:.4g}',
        f'{slope:.3g} ± {error:.2g}',
        f'{far:.4g} ± {error * TARGET_NODES:.2g}',
    )


def _show(state: str, costs: list[Cost]) -> None:
    rows = []
    for place, name in enumerate(NAMES):
        measured = [f'{astuple(cost)[place]:.3g}' for cost in costs]
        rows.append((name, *measured, *_fit(costs, place)))
    sizes = [str(size) for size in SIZES]
    columns = ('a node', *sizes, 'base', 'slope a node', f'at {TARGET_NODES}')
    show(f'{state}, by number of nodes', columns, rows)


def main() -> int:
    """Print costs and slopes, and check the bounds at the largest fleet."""
    measured = [_measure(size) for size in SIZES]
    bounds = Bounds()
    for state in STATES:
        costs = [each[state] for each in measured]
        _show(state, costs)
        largest = costs[-1]
        where = f'{state}, {SIZES[-1]} nodes'
        bounds.at_most(f'memory MB, {where}', largest.memory_mb, MEMORY_BOUND)
        if state == 'idle':
            bounds.at_most(f'CPU %, {where}', largest.cpu_percent, CPU_BOUND)
            bounds.at_most(
                f'control KB/s, {where}', largest.control_kb_s, BYTES_BOUND
            )
    return bounds.status


if __name__ == '__main__':
    sys.exit(main())
