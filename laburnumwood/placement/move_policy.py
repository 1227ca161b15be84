"""Policies that decide which shards move to which node."""

from collections import UserDict
from collections.abc import Callable, Mapping, Set
from dataclasses import dataclass, field, replace
from functools import cached_property, partial
from math import inf, sqrt

from xxhash import xxh3_64_intdigest

from laburnumwood.config.declarations import Weights
from laburnumwood.records import NodeName
from laburnumwood.settings import PlacementSettings

ShardsByNode = Mapping[NodeName, tuple[int, ...]]

_HORIZON_MS = 90_000  # how long a load is expected to stay as it is
_MOVE_PAUSE_MS = 300  # how long a shard is not served while it moves
_MOVE_COST_MS = 500  # what a move costs a service without cold starts
# From this utilization of a node on, smaller gains justify a move.
_OVERLOADED = 1.0
_OVERLOADED_LEAST_GAIN = 0.06  # decrease of the higher utilization
_COST_MARGIN = 1.2  # factor by which the gain must exceed the cost
_IDLE = 0.05  # utilization below which a node counts as idle
# Differences of at least so many standard errors count as significant.
_SIGNIFICANT_ERRORS = 3


class _Utilizations(UserDict[NodeName, float]):
    """The utilization of nodes, computed on first access.

    Only few nodes of a large service are ever looked up.
    """

    def __init__(self, snapshot: 'PlacementSnapshot') -> None:
        super().__init__()
        self._snapshot = snapshot

    def __missing__(self, name: NodeName) -> float:
        shards = self._snapshot.shards_by_node[name]
        utilization = sum(
            self._snapshot.utilization(shard, name) for shard in shards
        )
        self[name] = utilization
        return utilization


@dataclass(frozen=True, slots=True)
class Move:
    """A move of a shard from its owner, `source`, to `target`.

    A move is `urgent` if the target has less than half of its fair number of
    shards, or if both nodes are idle.
    """

    shard: int
    source: NodeName
    target: NodeName
    urgent: bool = False


@dataclass(frozen=True)
class PlacementSnapshot:
    """What a node knows of its service when it decides about moves.

    `own` is the deciding node.  `loads` is the work of shards, as the number
    of slots that it keeps busy; `default_load` is that of each shard which
    `loads` does not contain.  `reporting_peers` are the nodes whose load is
    known, None if all are; load is moved only to these.  In a large service
    each node knows the load of different peers, so that not all nodes choose
    the same target.  `relative_error` is the standard error of the measured
    load, as a fraction of it.  `reclaimable` are shards that the node took
    over and whose record still names the lost owner first, which may come
    back for them.  `limited_nodes` are those that can use only some of their
    slots, because of a limit that their worker names.
    """

    own: NodeName
    shards_by_node: ShardsByNode
    reporting_peers: Set[NodeName] | None = None
    slots: Mapping[NodeName, float] = field(default_factory=dict)
    loads: Mapping[int, float] = field(default_factory=dict)
    default_load: float = 0
    weights: Weights = field(default_factory=Weights)
    cold_start_ms: int = 0
    settings: PlacementSettings = field(default_factory=PlacementSettings)
    relative_error: float = 0
    reclaimable: Set[int] = frozenset()
    limited_nodes: Set[NodeName] = frozenset()

    @property
    def significant_difference(self) -> float:
        """Return the least difference of utilizations that is not noise."""
        standard_error = (
            self.utilizations[self.own] * self.relative_error * sqrt(2)
        )
        return _SIGNIFICANT_ERRORS * standard_error

    @property
    def targets(self) -> tuple[NodeName, ...]:
        """Return the other nodes to which load may be moved."""
        others = (name for name in self.shards_by_node if name != self.own)
        if self.reporting_peers is None:
            return tuple(others)
        return tuple(name for name in others if name in self.reporting_peers)

    @cached_property
    def utilizations(self) -> Mapping[NodeName, float]:
        """Return the busy slots of each node as a fraction of its slots."""
        return _Utilizations(self)

    def utilization(self, shard: int, name: NodeName) -> float:
        """Return the fraction of a node's slots that a shard keeps busy."""
        return self.load(shard) / self.slots.get(name, 1)

    def load(self, shard: int) -> float:
        """Return the number of slots that a shard keeps busy."""
        return self.loads.get(shard, self.default_load)

    def gain(self, move: Move) -> float:
        """Return how much a move lowers the higher of both utilizations."""
        source, target = (
            self.utilizations[move.source],
            self.utilizations[move.target],
        )
        source_after = source - self.utilization(move.shard, move.source)
        target_after = target + self.utilization(move.shard, move.target)
        return max(source, target) - max(source_after, target_after)

    def is_worthwhile(self, move: Move) -> bool:
        """Return whether the gain of a move exceeds its cost.

        The cost is that of the move itself and of the cold start after it.
        """
        if self.utilizations[move.source] < self.settings.least_usage:
            return False
        gain = self.gain(move)
        gain_ms = self.weights.imbalance * gain * _HORIZON_MS
        churn_ms = self.weights.churn * (_MOVE_COST_MS + self.cold_start_ms)
        cost_ms = churn_ms + self.weights.unavailable * _MOVE_PAUSE_MS
        is_worth_its_cost = gain_ms > cost_ms * _COST_MARGIN
        return is_worth_its_cost and gain > self._least_gain(move)

    def _least_gain(self, move: Move) -> float:
        source, target = (
            self.utilizations[move.source],
            self.utilizations[move.target],
        )
        least_gain = self.settings.least_gain
        if source >= _OVERLOADED:
            least_gain = min(least_gain, _OVERLOADED_LEAST_GAIN)
        significant = self.significant_difference
        if move.source in self.limited_nodes:
            # Each of its shards gains little of a difference that is large.
            return least_gain if source - target >= significant else inf
        # A move can gain at most half of a difference.
        return max(least_gain, significant / 2)


Policy = Callable[[PlacementSnapshot], tuple[Move, ...]]
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Return a decorator that registers a policy under a name."""

    def register(decide: Policy) -> Policy:
        POLICIES[name] = decide
        return decide

    return register


def _count_and_name(
    owned: Mapping[NodeName, list[int]], name: NodeName
) -> tuple[int, NodeName]:
    return len(owned[name]), name


class _Redistribution:
    """The shards of each node while a policy reassigns some of them.

    A node's least loaded shards are reassigned first.
    """

    def __init__(self, snapshot: PlacementSnapshot) -> None:
        self.owned = {
            name: list(shards)
            for name, shards in snapshot.shards_by_node.items()
        }
        self._sort_key = partial(_descending_load, snapshot)
        self._sorted_nodes: set[NodeName] = set()

    def transfer(self, source: NodeName, target: NodeName) -> int:
        """Reassign the least loaded shard of a node; return its number."""
        shards = self.owned[source]
        if source not in self._sorted_nodes:
            self._sorted_nodes.add(source)
            shards.sort(key=self._sort_key)
        shard = shards.pop()
        self.owned[target].append(shard)
        return shard


def _descending_load(
    snapshot: PlacementSnapshot, shard: int
) -> tuple[float, int]:
    # Neighbouring shards are often hot together.  Ordering shards of equal
    # load by a hash keeps neighbours from moving to the same node.
    return -snapshot.load(shard), xxh3_64_intdigest(str(shard).encode())


@policy('never')
def never(_snapshot: PlacementSnapshot) -> tuple[Move, ...]:
    """Move nothing."""
    return ()


@policy('even-count')
def even_count(snapshot: PlacementSnapshot) -> tuple[Move, ...]:
    """Even out the numbers of shards until they differ by at most one.

    As few shards as possible move, the least loaded of a node first.
    """
    redistribution = _Redistribution(snapshot)
    by_count = partial(_count_and_name, redistribution.owned)
    moves: list[Move] = []
    while redistribution.owned:
        least = min(redistribution.owned, key=by_count)
        most = max(redistribution.owned, key=by_count)
        if (
            len(redistribution.owned[most]) - len(redistribution.owned[least])
            <= 1
        ):
            break
        moves.append(Move(redistribution.transfer(most, least), most, least))
    return tuple(moves)


def _least_utilized(snapshot: PlacementSnapshot) -> NodeName | None:
    utilizations = snapshot.utilizations
    return min(
        snapshot.targets,
        key=lambda name: (utilizations[name], name),
        default=None,
    )


@policy('emptiest')
def emptiest(snapshot: PlacementSnapshot) -> tuple[Move, ...]:
    """Move the most loaded shard to the least utilized node.

    Nothing moves unless that node is less utilized than this one.
    """
    target = _least_utilized(snapshot)
    shards = snapshot.shards_by_node.get(snapshot.own, ())
    if target is None or not shards:
        return ()
    shard = max(shards, key=lambda number: (snapshot.load(number), number))
    if snapshot.utilizations[target] >= snapshot.utilizations[snapshot.own]:
        return ()
    return (Move(shard, snapshot.own, target),)


def _are_both_idle(snapshot: PlacementSnapshot, move: Move) -> bool:
    utilizations = snapshot.utilizations
    return max(utilizations[move.source], utilizations[move.target]) < _IDLE


def _is_allowed_for_count(snapshot: PlacementSnapshot, move: Move) -> bool:
    if move.shard in snapshot.reclaimable:
        return False
    if move.target in snapshot.limited_nodes:
        return False  # it has few shards because it can carry few
    if _are_both_idle(snapshot, move):
        return True
    source, target = (
        snapshot.utilizations[move.source],
        snapshot.utilizations[move.target],
    )
    target_after = target + snapshot.utilization(move.shard, move.target)
    return target + _IDLE < source and target_after <= source


def _is_urgent(snapshot: PlacementSnapshot, move: Move) -> bool:
    total = sum(len(shards) for shards in snapshot.shards_by_node.values())
    fair_count = total / len(snapshot.shards_by_node)
    owned = len(snapshot.shards_by_node[move.target])
    return owned * 2 < fair_count or _are_both_idle(snapshot, move)


@policy('weighed')
def weighed(snapshot: PlacementSnapshot) -> tuple[Move, ...]:
    """Even out numbers of shards, else move one shard for the load.

    Numbers are evened out only where the loads allow it, so that a move for
    the load is not undone for the count.  A move for the load is made only if
    its gain exceeds its cost.
    """
    for_count = tuple(
        replace(move, urgent=_is_urgent(snapshot, move))
        for move in even_count(snapshot)
        if move.source == snapshot.own and _is_allowed_for_count(snapshot, move)
    )
    target = _least_utilized(snapshot)
    if for_count or target is None:
        return for_count
    moves = [
        Move(shard, snapshot.own, target)
        for shard in snapshot.shards_by_node.get(snapshot.own, ())
    ]
    worthwhile = [move for move in moves if snapshot.is_worthwhile(move)]
    best = max(
        worthwhile,
        key=lambda move: (snapshot.gain(move), -move.shard),
        default=None,
    )
    return () if best is None else (best,)
