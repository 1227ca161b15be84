"""When a node moves shards: settled targets, rest between moves, bounds."""

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
_SETTLED_MS = 1_000  # from the arrival of a node to its first shard
_FLAP_MEMORY_MS = 600_000
_MOST_FLAPS = 7
_MOST_RETURNS = 4  # of a node, after which it is given nothing back at once


class _Arrivals:
    """When nodes came, and how often the same ones came lately."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_ms: dict[NodeName, int] = {}

    def note(self, live: ShardsByNode) -> None:
        now_ms = self._clock.now_ms()
        kept = {
            known: seen_ms
            for known, seen_ms in self._seen_ms.items()
            if known in live or now_ms - seen_ms <= _FLAP_MEMORY_MS
        }
        self._seen_ms = dict.fromkeys(live, now_ms) | kept

    def settled(self, live: ShardsByNode) -> set[NodeName]:
        """Return the nodes that have been there long enough for shards.

        Each return of a node within the last minutes doubles the wait.
        """
        came = self.came()
        now_ms = self._clock.now_ms()
        return {
            name
            for name in live
            if now_ms - self._seen_ms[name]
            >= _SETTLED_MS * 2 ** min(came[name.node_id] - 1, _MOST_FLAPS)
        }

    def came(self) -> Counter[str]:
        """Return how often each node came within the last minutes."""
        return Counter(name.node_id for name in self._seen_ms)


class MovePlanner:
    """Decides about the moves of one node, by a policy and in time."""

    def __init__(
        self, policy: str, settings: PlacementSettings, clock: Clock
    ) -> None:
        self._settings = settings
        self._policy = POLICIES[policy]
        self._clock = clock
        self._nodes = _Arrivals(clock)
        self._shards_ms: dict[int, int] = {}
        self._made: deque[tuple[int, bool]] = deque()

    def plan(self, snapshot: PlacementSnapshot) -> tuple[Move, ...]:
        """Return the moves to make now, and count them as made."""
        self._nodes.note(snapshot.shards_by_node)
        self._note_shards(snapshot.shards_by_node.get(snapshot.own, ()))
        settled = self._nodes.settled(snapshot.shards_by_node) | {snapshot.own}
        known = replace(
            snapshot,
            shards_by_node={
                name: shards
                for name, shards in snapshot.shards_by_node.items()
                if name in settled or shards
            },
        )
        wanted = [
            move
            for move in self._policy(known)
            if move.source == snapshot.own
            and move.target in settled
            and self._is_rested(move, snapshot.cold_start_ms)
        ]
        return tuple(move for move in wanted if self._take(move))

    def is_stable(self, node_id: str) -> bool:
        """Tell whether a node did not come again and again lately."""
        return self._nodes.came()[node_id] <= _MOST_RETURNS

    def _note_shards(self, own: tuple[int, ...]) -> None:
        now_ms = self._clock.now_ms()
        self._shards_ms = {
            shard: self._shards_ms.get(shard, now_ms) for shard in own
        }

    def _is_rested(self, move: Move, cold_start_ms: int) -> bool:
        if move.urgent:
            return True
        rest_ms = self._settings.rest_ms + cold_start_ms * _REST_PER_COLD_START
        age_ms = self._clock.now_ms() - self._shards_ms[move.shard]
        return age_ms >= rest_ms

    def _take(self, move: Move) -> bool:
        now_ms = self._clock.now_ms()
        while self._made and now_ms - self._made[0][0] >= _MINUTE_MS:
            self._made.popleft()
        alike = sum(urgent == move.urgent for _, urgent in self._made)
        most = self._settings.moves_per_minute
        if move.urgent:
            most = _URGENT_PER_MINUTE
        if alike >= most:
            return False
        self._made.append((now_ms, move.urgent))
        return True
