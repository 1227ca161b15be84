"""Limits on the moves of a node: stable targets, rest times and rates."""

from collections import Counter, deque
from dataclasses import replace

from laburnumwood.clock import Clock
from laburnumwood.placement.move_policy import (
    POLICIES,
    Move,
    PlacementSnapshot,
    ShardsByNode,
)
from laburnumwood.records import NodeName
from laburnumwood.settings import PlacementSettings

_MINUTE_MS = 60_000
_URGENT_PER_MINUTE = 60
_REST_PER_COLD_START = 10
_SETTLING_MS = 1_000  # wait from the arrival of a node to its first shard
_ARRIVAL_MEMORY_MS = 600_000
_MAX_SETTLING_DOUBLINGS = 7
# A node that has arrived more often lately gets no shards back at once.
_MAX_STABLE_ARRIVALS = 4


class _Arrivals:
    """When the live nodes arrived, and how often each did so lately."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._arrived_ms: dict[NodeName, int] = {}

    def update(self, live: ShardsByNode) -> None:
        now_ms = self._clock.now_ms()
        kept = {
            known: arrived_ms
            for known, arrived_ms in self._arrived_ms.items()
            if known in live or now_ms - arrived_ms <= _ARRIVAL_MEMORY_MS
        }
        self._arrived_ms = dict.fromkeys(live, now_ms) | kept

    def settled(self, live: ShardsByNode) -> set[NodeName]:
        """Return the nodes that have been live long enough to get shards.

        Each return of a node within the last minutes doubles the wait.
        """
        counts = self.counts()
        now_ms = self._clock.now_ms()
        return {
            name
            for name in live
            if now_ms - self._arrived_ms[name]
            >= _SETTLING_MS
            * 2 ** min(counts[name.node_id] - 1, _MAX_SETTLING_DOUBLINGS)
        }

    def counts(self) -> Counter[str]:
        """Return how often each node arrived within the last minutes."""
        return Counter(name.node_id for name in self._arrived_ms)


class MovePlanner:
    """Decides when a node makes the moves that its policy proposes."""

    def __init__(
        self, policy: str, settings: PlacementSettings, clock: Clock
    ) -> None:
        self._settings = settings
        self._policy = POLICIES[policy]
        self._clock = clock
        self._arrivals = _Arrivals(clock)
        self._owned_since_ms: dict[int, int] = {}
        self._recent_moves: deque[tuple[int, bool]] = deque()

    def plan(self, snapshot: PlacementSnapshot) -> tuple[Move, ...]:
        """Return the moves to make now, and count them against the limits."""
        self._arrivals.update(snapshot.shards_by_node)
        self._update_owned(snapshot.shards_by_node.get(snapshot.own, ()))
        settled = self._arrivals.settled(snapshot.shards_by_node) | {
            snapshot.own
        }
        considered = replace(
            snapshot,
            shards_by_node={
                name: shards
                for name, shards in snapshot.shards_by_node.items()
                if name in settled or shards
            },
        )
        wanted = [
            move
            for move in self._policy(considered)
            if move.source == snapshot.own
            and move.target in settled
            and self._is_rested(move, snapshot.cold_start_ms)
        ]
        return tuple(move for move in wanted if self._try_count(move))

    def is_stable(self, node_id: str) -> bool:
        """Return whether a node has not arrived too often lately."""
        return self._arrivals.counts()[node_id] <= _MAX_STABLE_ARRIVALS

    def _update_owned(self, own: tuple[int, ...]) -> None:
        now_ms = self._clock.now_ms()
        self._owned_since_ms = {
            shard: self._owned_since_ms.get(shard, now_ms) for shard in own
        }

    def _is_rested(self, move: Move, cold_start_ms: int) -> bool:
        if move.urgent:
            return True
        rest_ms = self._settings.rest_ms + cold_start_ms * _REST_PER_COLD_START
        age_ms = self._clock.now_ms() - self._owned_since_ms[move.shard]
        return age_ms >= rest_ms

    def _try_count(self, move: Move) -> bool:
        """Count a move unless it would exceed the limit of its kind."""
        now_ms = self._clock.now_ms()
        while (
            self._recent_moves
            and now_ms - self._recent_moves[0][0] >= _MINUTE_MS
        ):
            self._recent_moves.popleft()
        same_kind = sum(
            urgent == move.urgent for _, urgent in self._recent_moves
        )
        limit = self._settings.moves_per_minute
        if move.urgent:
            limit = _URGENT_PER_MINUTE
        if same_kind >= limit:
            return False
        self._recent_moves.append((now_ms, move.urgent))
        return True
