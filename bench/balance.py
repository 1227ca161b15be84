"""Compares the policies of balance while hot keys change, in simulated time.

Imbalance is how much busier the busiest node is than the mean; churn counts
moves; a shard is unavailable while it moves, and so is what a node with more
work than slots can't serve.  Each policy sees the same load.
"""

import sys
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from rich.console import Console
from rich.table import Table

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.config.declarations import Weights
from laburnumwood.decay import weight_of_age
from laburnumwood.placement.move_policy import Move, PlacementSnapshot
from laburnumwood.placement.planner import MovePlanner
from laburnumwood.records import NodeName
from laburnumwood.settings import PlacementSettings

_NODES = 7
_SHARDS_PER_NODE = 8
_STEP_MS = 2_000
_SPAN_MS = 3_600_000
_HOT_KEYS = 12
_HOT_LIFE_MS = 300_000
_BASE_USAGE = 0.3
_HOT_USAGE = 0.25
_SEEN_HALF_LIFE_MS = 15_000
_PAUSE_S = 0.3
_SEED = 1
_MOST_MOVES_PER_MINUTE = 4 * _NODES
_MOST_RATIO = 1.0  # to the better one of the baselines
_POLICIES = ('never', 'emptiest', 'weighed')

console = Console()


@dataclass(frozen=True, slots=True)
class Deployment:
    """A user's service, with what the user weighs."""

    name: str
    slots: int
    cold_start_ms: int
    weights: Weights


DEPLOYMENTS = (
    Deployment('Wales', 20, 1_000, Weights(unavailable=4)),
    Deployment('Sauti', 10, 3_000, Weights(churn=4)),
)


class _SimulatedClock(Clock):
    def __init__(self) -> None:
        self.time_ms = 0

    def now_ms(self) -> int:
        return self.time_ms


@dataclass(slots=True)
class Measures:
    """What one policy did to one deployment."""

    imbalance_s: float = 0  # usage above the mean, summed over time
    moves: int = 0
    cold_s: float = 0
    unavailable_s: float = 0
    most_in_a_minute: int = 0

    def cost(self, weights: Weights) -> float:
        """Return all measures in one figure, by the weights of a user."""
        return (
            weights.imbalance * self.imbalance_s
            + weights.churn * self.cold_s
            + weights.unavailable * self.unavailable_s
        )


class Load:
    """The work of each shard: a base, and hot keys that change."""

    def __init__(self, slots: int) -> None:
        self._random = Random(_SEED)
        self._capacity = slots * _NODES
        count = _NODES * _SHARDS_PER_NODE
        base = self._capacity * _BASE_USAGE / count
        self._base = [
            base * self._random.uniform(0.5, 1.5) for _ in range(count)
        ]
        self._hot: list[int] = []
        self.seen: dict[int, float] = dict(enumerate(self._base))

    def step(self, now_ms: int) -> dict[int, float]:
        """Return the work of shards now; `seen` follows it with a lag."""
        if now_ms % _HOT_LIFE_MS == 0:
            drawn = range(_HOT_KEYS)
            self._hot = [self._random.randrange(len(self._base)) for _ in drawn]
        each = self._capacity * _HOT_USAGE / _HOT_KEYS
        work = {
            shard: (base + each * self._hot.count(shard))
            * self._random.uniform(0.8, 1.2)
            for shard, base in enumerate(self._base)
        }
        kept = weight_of_age(_STEP_MS, _SEEN_HALF_LIFE_MS)
        for shard, load in work.items():
            self.seen[shard] = self.seen[shard] * kept + load * (1 - kept)
        return work


class Simulation:
    """One policy at work in one deployment."""

    def __init__(self, deployment: Deployment, policy: str) -> None:
        self._deployment = deployment
        self._clock = _SimulatedClock()
        names = [NodeName(f'node-{number}', 1) for number in range(_NODES)]
        self._shares = {
            name: list(range(place, _NODES * _SHARDS_PER_NODE, _NODES))
            for place, name in enumerate(names)
        }
        self._planners = {
            name: MovePlanner(policy, PlacementSettings(), self._clock)
            for name in names
        }
        self._load = Load(deployment.slots)
        self._minute: list[int] = []
        self.measures = Measures()

    def run(self) -> Measures:
        """Run to the end and return what was measured."""
        for now_ms in range(0, _SPAN_MS, _STEP_MS):
            self._clock.time_ms = now_ms
            work = self._load.step(now_ms)
            for name, planner in self._planners.items():
                self._carry_out(planner.plan(self._snapshot(name)))
            self._measure(work)
        return self.measures

    def _snapshot(self, own: NodeName) -> PlacementSnapshot:
        return PlacementSnapshot(
            own=own,
            shards_by_node={
                name: tuple(held) for name, held in self._shares.items()
            },
            slots=dict.fromkeys(self._shares, self._deployment.slots),
            loads=self._load.seen,
            weights=self._deployment.weights,
            cold_start_ms=self._deployment.cold_start_ms,
        )

    def _carry_out(self, moves: Iterable[Move]) -> None:
        for move in moves:
            self._shares[move.source].remove(move.shard)
            self._shares[move.target].append(move.shard)
            self.measures.moves += 1
            self.measures.unavailable_s += _PAUSE_S
            cold_ms = self._deployment.cold_start_ms
            self.measures.cold_s += cold_ms / MS_PER_SECOND
            self._minute.append(self._clock.now_ms())

    def _measure(self, work: dict[int, float]) -> None:
        step_s = _STEP_MS / MS_PER_SECOND
        slots = self._deployment.slots
        utilizations = [
            sum(work[shard] for shard in held) / slots
            for held in self._shares.values()
        ]
        mean = sum(utilizations) / len(utilizations)
        self.measures.imbalance_s += (max(utilizations) - mean) * step_s
        over = sum(max(0, usage - 1) for usage in utilizations)
        self.measures.unavailable_s += over * step_s
        since_ms = self._clock.now_ms() - 60_000
        self._minute = [when for when in self._minute if when > since_ms]
        self.measures.most_in_a_minute = max(
            self.measures.most_in_a_minute, len(self._minute)
        )


def _show(deployment: Deployment, found: dict[str, Measures]) -> None:
    table = Table(title=f'{deployment.name}: one hour, hot keys change')
    for title in ('policy', 'imbalance', 'moves', 'unavailable s', 'cost'):
        table.add_column(title, justify='right')
    table.add_column('cost / weighed', justify='right')
    best = found['weighed'].cost(deployment.weights)
    for name, measures in found.items():
        cost = measures.cost(deployment.weights)
        imbalance = measures.imbalance_s * MS_PER_SECOND / _SPAN_MS
        table.add_row(
            name,
            f'{imbalance:.3f}',
            str(measures.moves),
            f'{measures.unavailable_s:.1f}',
            f'{cost:.1f}',
            f'{cost / best:.2f}',
        )
    console.print(table)


def _misses(deployment: Deployment, found: dict[str, Measures]) -> list[str]:
    costs = {
        name: measures.cost(deployment.weights)
        for name, measures in found.items()
    }
    ratio = costs['weighed'] / min(costs['never'], costs['emptiest'])
    missed = []
    if ratio > _MOST_RATIO:
        missed.append(f'{deployment.name}: cost is {ratio:.2f} of a baseline')
    most = found['weighed'].most_in_a_minute
    if most > _MOST_MOVES_PER_MINUTE:
        missed.append(f'{deployment.name}: {most} moves in a minute')
    return missed


def main() -> int:
    """Print the comparison; return 1 if a bound is missed."""
    missed: list[str] = []
    for deployment in DEPLOYMENTS:
        found = {
            policy: Simulation(deployment, policy).run() for policy in _POLICIES
        }
        _show(deployment, found)
        missed.extend(_misses(deployment, found))
    for line in missed:
        console.print(f'MISSED: {line}')
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main())
