"""The shards that this node may serve now."""

from dataclasses import dataclass

from laburnumwood.events import SHARD_DROPPED
from laburnumwood.records import ShardName


@dataclass(slots=True)
class _Holding:
    token: int
    running: int = 0
    closed: bool = False
    spent: bool = False


class ShardUse:
    """One request's stay in a shard, counted out once."""

    def __init__(self, holding: _Holding) -> None:
        self._holding = holding
        self._over = False
        self.token = holding.token
        holding.running += 1

    def release(self) -> None:
        """Count the request out; more calls change nothing."""
        if not self._over:
            self._over = True
            self._holding.running -= 1


class HeldShards:
    """Counts what runs in each shard, and closes shards that move away."""

    def __init__(self) -> None:
        self._held: dict[ShardName, _Holding] = {}

    def tokens(self) -> dict[ShardName, int]:
        """Return the fencing tokens of the shards held."""
        return {shard: held.token for shard, held in self._held.items()}

    def hold(self, shard: ShardName, token: int) -> bool:
        """Hold a shard under a token; tell whether it was not held before."""
        held = self._held.get(shard)
        if held is not None:
            held.spent = held.spent and token <= held.token
            held.token = max(token, held.token)
            return False
        self._held[shard] = _Holding(token)
        return True

    def invalidate_token(self, shard: ShardName) -> None:
        """Note that the token of a shard must not be given again."""
        held = self._held.get(shard)
        if held is not None:
            held.spent = True

    @property
    def has_spent(self) -> bool:
        """Tell whether some shard needs a higher token to be served."""
        return any(held.spent for held in self._held.values())

    def is_spent(self, shard: ShardName) -> bool:
        """Tell whether a shard needs a higher token to be served."""
        held = self._held.get(shard)
        return held is not None and held.spent

    def drop(self, shard: ShardName) -> None:
        """Hold a shard no longer."""
        self._held.pop(shard, None)

    def drop_lost(self, shard: ShardName, why: str) -> None:
        """Hold a shard no longer that was not moved, and tell why."""
        if shard in self._held:
            self.drop(shard)
            SHARD_DROPPED.report(shard=shard, why=why)

    def drop_all(self) -> None:
        """Hold nothing any more."""
        self._held.clear()

    def acquire(self, shard: ShardName) -> ShardUse | None:
        """Count a request in; return its stay, None if it may not run."""
        held = self._held.get(shard)
        if held is None or held.closed:
            return None
        return ShardUse(held)

    def close(self, shard: ShardName) -> None:
        """Let no more requests in; those that run go on."""
        held = self._held.get(shard)
        if held is not None:
            held.closed = True

    def all_idle(self) -> bool:
        """Tell whether nothing runs in any shard."""
        return not any(held.running for held in self._held.values())

    def is_held(self, shard: ShardName) -> bool:
        """Tell whether a shard is held, closed or not."""
        return shard in self._held

    def is_idle(self, shard: ShardName) -> bool:
        """Tell whether nothing runs in a shard."""
        held = self._held.get(shard)
        return held is None or not held.running

    def reopen(self, shard: ShardName) -> None:
        """Let requests in again after a move that did not happen."""
        held = self._held.get(shard)
        if held is not None:
            held.closed = False

    def is_open(self, shard: ShardName) -> bool:
        """Tell whether a shard is held and lets requests in."""
        held = self._held.get(shard)
        return held is not None and not held.closed

    def is_closed(self, shard: ShardName) -> bool:
        """Tell whether a shard is on its way to another owner."""
        held = self._held.get(shard)
        return held is not None and held.closed
