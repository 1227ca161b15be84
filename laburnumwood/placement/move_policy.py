"""Policies that decide which shards move where."""

from collections import UserDict
from collections.abc import Callable, Mapping, Set
from dataclasses import dataclass, field, replace
from functools import cached_property, partial
from math import sqrt

from xxhash import xxh3_64_intdigest

from laburnumwood.config.declarations import Weights
from laburnumwood.records import NodeName
from laburnumwood.settings import PlacementSettings

ShardsByNode = Mapping[NodeName, tuple[int, ...]]

_HORIZON_MS = 90_000  # how long a load is expected to stay as it is
_MOVE_PAUSE_MS = 300  # how long a shard is not served while it moves
_MOVE_COST_MS = 500  # what a move costs a service without cold starts
_PRESSED = 1.0  # of the slots of a node; from there on smaller gains count
_PRESSED_GAIN = 0.06  # of its slots
_MARGIN = 1.2  # by how much the gain must exceed the cost
_IDLE = 0.05  # of all slots of a node
_SURE_ERRORS = 3  # standard errors, from which on a difference is no chance


class _Usages(UserDict[NodeName, float]):
    """How busy the slots of nodes are; of a large service few are asked."""

    def __init__(self, snapshot: 'PlacementSnapshot') -> None:
        super().__init__()
        self._snapshot = snapshot

    def __missing__(self, name: NodeName) -> float:
        shards = self._snapshot.shards_by_node[name]
        usage = sum(self._snapshot.utilization(shard, name) for shard in shards)
        self[name] = usage
        return usage


@dataclass(frozen=True, slots=True)
class Move:
    """A shard's number, the owner that gives it up and the one to follow.

    A move is `urgent` if it gives a node that has few its part of the shards.
    """

    shard: int
    source: NodeName
    target: NodeName
    urgent: bool = False


@dataclass(frozen=True)
class PlacementSnapshot:
    """What one node knows of its service when it decides about moves.

    `loads` is the work of shards, in slots that it keeps busy, and
    `default_load` that of each shard that it does not name.  `peers` are
    the nodes whose load is known, None if that is all of them: work goes only
    to these.  In a large service each node knows others, so that not all
    nodes choose the same target.  `error` is the standard error of what a
    node measures, as a share of it.  `lent` are shards whose lost owner may
    still come back for them: its record names no other yet.
    """

    own: NodeName
    shards_by_node: ShardsByNode
    reporting_peers: Set[NodeName] | None = None
    slots: Mapping[NodeName, int] = field(default_factory=dict)
    loads: Mapping[int, float] = field(default_factory=dict)
    default_load: float = 0
    weights: Weights = field(default_factory=Weights)
    cold_start_ms: int = 0
    settings: PlacementSettings = field(default_factory=PlacementSettings)
    relative_error: float = 0
    reclaimable: Set[int] = frozenset()

    @property
    def significant_difference(self) -> float:
        """Return from where on two usages differ by more than noise."""
        standard_error = (
            self.utilizations[self.own] * self.relative_error * sqrt(2)
        )
        return _SURE_ERRORS * standard_error

    @property
    def targets(self) -> tuple[NodeName, ...]:
        """Return the other nodes that work may go to for the load."""
        others = (name for name in self.shards_by_node if name != self.own)
        if self.reporting_peers is None:
            return tuple(others)
        return tuple(name for name in others if name in self.reporting_peers)

    @cached_property
    def utilizations(self) -> Mapping[NodeName, float]:
        """Return how busy the slots of each node are, found when asked."""
        return _Usages(self)

    def utilization(self, shard: int, name: NodeName) -> float:
        """Return how much of a node's slots a shard keeps busy."""
        return self.load(shard) / self.slots.get(name, 1)

    def load(self, shard: int) -> float:
        """Return the work of a shard, in slots that it keeps busy."""
        return self.loads.get(shard, self.default_load)

    def gain(self, move: Move) -> float:
        """Return by how much the busier of two nodes gets less busy."""
        source, target = (
            self.utilizations[move.source],
            self.utilizations[move.target],
        )
        source_after = source - self.utilization(move.shard, move.source)
        target_after = target + self.utilization(move.shard, move.target)
        return max(source, target) - max(source_after, target_after)

    def is_worthwhile(self, move: Move) -> bool:
        """Tell whether the gain of a move outlives its cold start."""
        if self.utilizations[move.source] < self.settings.least_usage:
            return False
        gain = self.gain(move)
        gain_ms = self.weights.imbalance * gain * _HORIZON_MS
        churn_ms = self.weights.churn * (_MOVE_COST_MS + self.cold_start_ms)
        cost_ms = churn_ms + self.weights.unavailable * _MOVE_PAUSE_MS
        least_gain = self.settings.least_gain
        if self.utilizations[move.source] >= _PRESSED:
            least_gain = min(least_gain, _PRESSED_GAIN)
        # A move gains half of a difference at the most.
        least_gain = max(least_gain, self.significant_difference / 2)
        return gain > least_gain and gain_ms > cost_ms * _MARGIN


Policy = Callable[[PlacementSnapshot], tuple[Move, ...]]
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a policy under a name."""

    def register(decide: Policy) -> Policy:
        POLICIES[name] = decide
        return decide

    return register


def _count_and_name(
    owned: Mapping[NodeName, list[int]], name: NodeName
) -> tuple[int, NodeName]:
    return len(owned[name]), name


class _Giving:
    """The shards of nodes while some are given away, the least busy first."""

    def __init__(self, snapshot: PlacementSnapshot) -> None:
        self.owned = {
            name: list(shards)
            for name, shards in snapshot.shards_by_node.items()
        }
        self._order = partial(_coldness, snapshot)
        self._ordered: set[NodeName] = set()

    def give(self, source: NodeName, target: NodeName) -> int:
        """Let a node give its least busy shard to another."""
        shards = self.owned[source]
        if source not in self._ordered:
            self._ordered.add(source)
            shards.sort(key=self._order)
        shard = shards.pop()
        self.owned[target].append(shard)
        return shard


def _coldness(snapshot: PlacementSnapshot, shard: int) -> tuple[float, int]:
    # Neighbours are often hot together: of equal ones, not all go one way.
    return -snapshot.load(shard), xxh3_64_intdigest(str(shard).encode())


@policy('never')
def never(_snapshot: PlacementSnapshot) -> tuple[Move, ...]:
    """Move nothing."""
    return ()


@policy('even-count')
def even_count(snapshot: PlacementSnapshot) -> tuple[Move, ...]:
    """Move as few shards as make their numbers differ by one at the most.

    A node gives the least busy of its shards first.
    """
    giving = _Giving(snapshot)
    by_count = partial(_count_and_name, giving.owned)
    moves: list[Move] = []
    while giving.owned:
        least = min(giving.owned, key=by_count)
        most = max(giving.owned, key=by_count)
        if len(giving.owned[most]) - len(giving.owned[least]) <= 1:
            break
        moves.append(Move(giving.give(most, least), most, least))
    return tuple(moves)


def _emptiest(snapshot: PlacementSnapshot) -> NodeName | None:
    utilizations = snapshot.utilizations
    return min(
        snapshot.targets,
        key=lambda name: (utilizations[name], name),
        default=None,
    )


@policy('emptiest')
def emptiest(snapshot: PlacementSnapshot) -> tuple[Move, ...]:
    """Move the busiest shard to the emptiest node while that is emptier."""
    target = _emptiest(snapshot)
    shards = snapshot.shards_by_node.get(snapshot.own, ())
    if target is None or not shards:
        return ()
    shard = max(shards, key=lambda number: (snapshot.load(number), number))
    if snapshot.utilizations[target] >= snapshot.utilizations[snapshot.own]:
        return ()
    return (Move(shard, snapshot.own, target),)


def _is_idle(snapshot: PlacementSnapshot, move: Move) -> bool:
    utilizations = snapshot.utilizations
    return max(utilizations[move.source], utilizations[move.target]) < _IDLE


def _is_harmless(snapshot: PlacementSnapshot, move: Move) -> bool:
    if move.shard in snapshot.reclaimable:
        return False
    if _is_idle(snapshot, move):
        return True
    source, target = (
        snapshot.utilizations[move.source],
        snapshot.utilizations[move.target],
    )
    after = target + snapshot.utilization(move.shard, move.target)
    return target + _IDLE < source and after <= source


def _is_urgent(snapshot: PlacementSnapshot, move: Move) -> bool:
    total = sum(len(shards) for shards in snapshot.shards_by_node.values())
    fair = total / len(snapshot.shards_by_node)
    owned = len(snapshot.shards_by_node[move.target])
    return owned * 2 < fair or _is_idle(snapshot, move)


@policy('weighed')
def weighed(snapshot: PlacementSnapshot) -> tuple[Move, ...]:
    """Move shards to nodes that have few, and else only what is worth it.

    Numbers are evened only where the load allows it, so that a move for the
    load is not undone for the count.
    """
    for_count = tuple(
        replace(move, urgent=_is_urgent(snapshot, move))
        for move in even_count(snapshot)
        if move.source == snapshot.own and _is_harmless(snapshot, move)
    )
    target = _emptiest(snapshot)
    if for_count or target is None:
        return for_count
    moves = [
        Move(shard, snapshot.own, target)
        for shard in snapshot.shards_by_node.get(snapshot.own, ())
    ]
    worth = [move for move in moves if snapshot.is_worthwhile(move)]
    best = max(
        worth, key=lambda move: (snapshot.gain(move), -move.shard), default=None
    )
    return () if best is None else (best,)
