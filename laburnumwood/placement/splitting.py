"""When the owner of a shard splits hot keys off it, and which ones."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil

from laburnumwood.clock import Clock
from laburnumwood.placement.move_policy import PlacementSnapshot
from laburnumwood.records import KeyRange, NodeName

# Fractions of a node's slots:
_MIN_NODE_UTILIZATION = 0.6  # a node that is less busy splits nothing
_MIN_DIFFERENCE = 0.25  # above the utilization of the least utilized node
_MIN_SHARD_UTILIZATION = 0.3  # a shard that takes less is moved as a whole
_PIECE_UTILIZATION = 0.2  # what each piece should take

_MAX_PIECES = 6  # of a shard in one split, including the one that stays
_MIN_INTERVAL_MS = 800  # between two splits of a node
_MIN_SPLIT_RANGES = 96  # ranges that a service of any size may split off
_SPLIT_RANGES_PER_NODE = 4  # ranges that a larger service may split off


@dataclass(frozen=True, slots=True)
class Part:
    """A range of keys that is to become a shard of its own on `target`."""

    keys: KeyRange
    target: NodeName


@dataclass(frozen=True, slots=True)
class Split:
    """The parts that are to be split off a shard together."""

    shard: int
    parts: tuple[Part, ...]

    @property
    def ranges(self) -> tuple[KeyRange, ...]:
        """Return the key ranges of all parts."""
        return tuple(each.keys for each in self.parts)


def hot_parts(
    ranges: tuple[KeyRange, ...], counts: Mapping[int, float], pieces: int
) -> tuple[KeyRange, ...]:
    """Divide the hottest range into pieces; return all but the lowest.

    `counts` are the request counts of keys.  Each of the `pieces` pieces gets
    about as many requests, and there may be fewer pieces.  No returned piece
    begins where the range does, so that no two shards that were split off
    begin with the same key.
    """
    weights = {keys: _count_in(keys, counts) for keys in ranges}
    hottest = max(weights, key=lambda keys: weights[keys], default=None)
    if hottest is None or not weights[hottest]:
        return ()
    hot = sorted(key for key in counts if hottest.first < key <= hottest.last)
    firsts: list[int] = []
    accumulated: float = 0
    for key in reversed(hot):
        accumulated += counts[key]
        if accumulated * pieces >= weights[hottest]:
            firsts.append(key)
            accumulated = 0
        if len(firsts) == pieces - 1:
            break
    return _ranges_from(firsts or hot[:1], hottest.last)


def _ranges_from(firsts: list[int], last: int) -> tuple[KeyRange, ...]:
    """Return adjacent ranges up to `last` by their first keys, descending."""
    found: list[KeyRange] = []
    for first in firsts:
        found.append(KeyRange(first, last))
        last = first - 1
    return tuple(found)


def _count_in(keys: KeyRange, counts: Mapping[int, float]) -> float:
    return sum(
        count for key, count in counts.items() if keys.first <= key <= keys.last
    )


class Splitter:
    """Decides for one node when to split, by its utilization."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_split_ms: int | None = None

    def choose_shard(
        self, snapshot: PlacementSnapshot, split_off: int
    ) -> tuple[int, tuple[NodeName, ...]]:
        """Return the shard to split and the nodes that get its parts.

        The shard is -1 if there is none to split; `split_off` is the number
        of ranges that the service has split off already.
        """
        own = snapshot.own
        shards = snapshot.shards_by_node[own]
        heaviest = max(
            shards,
            key=lambda shard: snapshot.utilization(shard, own),
            default=-1,
        )
        most = max(
            _MIN_SPLIT_RANGES,
            _SPLIT_RANGES_PER_NODE * len(snapshot.shards_by_node),
        )
        if (
            split_off >= most
            or _can_carry_load(snapshot)
            or not self._is_rested()
        ):
            return -1, ()
        if (
            heaviest < 0
            or _least_utilization(snapshot, heaviest) < _MIN_SHARD_UTILIZATION
        ):
            return -1, ()
        return heaviest, _targets(snapshot, heaviest)

    def record_split(self) -> None:
        """Record that a split begins now."""
        self._last_split_ms = self._clock.now_ms()

    def _is_rested(self) -> bool:
        if self._last_split_ms is None:
            return True
        return self._clock.now_ms() - self._last_split_ms >= _MIN_INTERVAL_MS


def _can_carry_load(snapshot: PlacementSnapshot) -> bool:
    """Return whether a node needs no split, or no other node could help."""
    utilizations = snapshot.utilizations
    own_utilization = utilizations[snapshot.own]
    least = min(
        (utilizations[name] for name in snapshot.targets),
        default=own_utilization,
    )
    least_difference = max(_MIN_DIFFERENCE, snapshot.significant_difference)
    return (
        own_utilization < _MIN_NODE_UTILIZATION
        or own_utilization - least < least_difference
    )


def _least_utilization(snapshot: PlacementSnapshot, shard: int) -> float:
    """Return the utilization by a shard of the node that takes it best.

    A shard that is heavy only for its owner is better moved as a whole.
    """
    nodes = (snapshot.own, *snapshot.targets)
    return min(snapshot.utilization(shard, name) for name in nodes)


def _least_utilized(utilizations: Mapping[NodeName, float]) -> NodeName:
    return min(utilizations, key=lambda name: (utilizations[name], name))


def _targets(snapshot: PlacementSnapshot, shard: int) -> tuple[NodeName, ...]:
    """Return a node for each piece of a shard but the one that stays.

    Each piece goes to the node that is the least utilized with the pieces
    assigned before.  Pieces that would go to the own node are left out.
    """
    candidates = (snapshot.own, *snapshot.targets)
    utilizations = {name: snapshot.utilizations[name] for name in candidates}
    own_utilization = snapshot.utilization(shard, snapshot.own)
    pieces = max(
        2,
        min(
            ceil(own_utilization / _PIECE_UTILIZATION),
            _MAX_PIECES,
            len(utilizations),
        ),
    )
    utilizations[snapshot.own] -= own_utilization * (pieces - 1) / pieces
    targets: list[NodeName] = []
    for _ in range(pieces - 1):
        target = _least_utilized(utilizations)
        utilizations[target] += snapshot.utilization(shard, target) / pieces
        targets.append(target)
    return tuple(name for name in targets if name != snapshot.own)
