"""When the owner of a shard splits hot keys off, and which."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil

from laburnumwood.clock import Clock
from laburnumwood.placement.move_policy import PlacementSnapshot
from laburnumwood.records import KeyRange, NodeName

_BUSY = 0.6  # of a node's slots; a node that is less busy splits nothing
_LEAST_GAP = 0.25  # between its usage and that of the least busy node
_HEAVY = 0.3  # of a node's slots; a shard that takes less is moved whole
_PIECE = 0.2  # of a node's slots; as much as a part should take
_MOST_PIECES = 6  # of a shard in one split, with the one that stays
_REST_MS = 800  # between two splits of a node
_LEAST_SPLIT_OFF = 96  # ranges that a service of any size may split off
_SPLIT_OFF_PER_NODE = 4  # ranges that a larger one may


@dataclass(frozen=True, slots=True)
class Part:
    """A range of keys that should become a shard of its own elsewhere."""

    keys: KeyRange
    target: NodeName


@dataclass(frozen=True, slots=True)
class Split:
    """The parts that should be split off a shard together."""

    shard: int
    parts: tuple[Part, ...]

    @property
    def ranges(self) -> tuple[KeyRange, ...]:
        """Return the keys of all parts."""
        return tuple(each.keys for each in self.parts)


def hot_parts(
    ranges: tuple[KeyRange, ...], counts: Mapping[int, float], pieces: int
) -> tuple[KeyRange, ...]:
    """Return the upper parts of the hottest range, with as many requests each.

    Of `pieces` pieces the lowest is left out.  None begins where the range
    does, so that no two shards that were split off begin with the same key.
    """
    weights = {keys: _count_in(keys, counts) for keys in ranges}
    hottest = max(weights, key=lambda keys: weights[keys], default=None)
    if hottest is None or not weights[hottest]:
        return ()
    hot = sorted(key for key in counts if hottest.first < key <= hottest.last)
    firsts: list[int] = []
    taken: float = 0
    for key in reversed(hot):
        taken += counts[key]
        if taken * pieces >= weights[hottest]:
            firsts.append(key)
            taken = 0
        if len(firsts) == pieces - 1:
            break
    return _up_to(firsts or hot[:1], hottest.last)


def _up_to(firsts: list[int], last: int) -> tuple[KeyRange, ...]:
    """Return the ranges that begin with some keys, the highest first."""
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
    """Decides for one node when to split, by how busy it is."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._split_ms: int | None = None

    def choose_shard(
        self, snapshot: PlacementSnapshot, split_off: int
    ) -> tuple[int, tuple[NodeName, ...]]:
        """Return the shard to split and who should get its parts.

        The shard is -1 if there is none; `split_off` counts the ranges that
        were split off before.
        """
        own = snapshot.own
        shards = snapshot.shards_by_node[own]
        heaviest = max(
            shards,
            key=lambda shard: snapshot.utilization(shard, own),
            default=-1,
        )
        most = max(
            _LEAST_SPLIT_OFF, _SPLIT_OFF_PER_NODE * len(snapshot.shards_by_node)
        )
        if split_off >= most or _is_calm(snapshot) or not self._is_rested():
            return -1, ()
        if heaviest < 0 or snapshot.utilization(heaviest, own) < _HEAVY:
            return -1, ()
        return heaviest, _targets(snapshot, heaviest)

    def record_split(self) -> None:
        """Take in that a split begins."""
        self._split_ms = self._clock.now_ms()

    def _is_rested(self) -> bool:
        if self._split_ms is None:
            return True
        return self._clock.now_ms() - self._split_ms >= _REST_MS


def _is_calm(snapshot: PlacementSnapshot) -> bool:
    """Tell whether a node can carry its work, or nobody could better."""
    utilizations = snapshot.utilizations
    own_usage = utilizations[snapshot.own]
    least = min(
        (utilizations[name] for name in snapshot.targets), default=own_usage
    )
    least_gap = max(_LEAST_GAP, snapshot.significant_difference)
    return own_usage < _BUSY or own_usage - least < least_gap


def _least_busy(utilizations: Mapping[NodeName, float]) -> NodeName:
    return min(utilizations, key=lambda name: (utilizations[name], name))


def _targets(snapshot: PlacementSnapshot, shard: int) -> tuple[NodeName, ...]:
    """Return a node for each piece but the one that stays.

    Each goes to the node that is the least busy with those before it.
    """
    chosen = (snapshot.own, *snapshot.targets)
    utilizations = {name: snapshot.utilizations[name] for name in chosen}
    own_usage = snapshot.utilization(shard, snapshot.own)
    pieces = max(
        2, min(ceil(own_usage / _PIECE), _MOST_PIECES, len(utilizations))
    )
    utilizations[snapshot.own] -= own_usage * (pieces - 1) / pieces
    targets: list[NodeName] = []
    for _ in range(pieces - 1):
        target = _least_busy(utilizations)
        utilizations[target] += snapshot.utilization(shard, target) / pieces
        targets.append(target)
    return tuple(name for name in targets if name != snapshot.own)
