"""The shards that this node may serve now."""

from dataclasses import dataclass

from laburnumwood.events import SHARD_DROPPED
from laburnumwood.records import ShardName


@dataclass(slots=True)
class _HeldShard:
    token: int
    running: int = 0
    is_closed: bool = False
    least_token: int = 0  # a lower one can't be used
    wait: str = ''  # what its write waits for

    @property
    def needs_new_token(self) -> bool:
        """Return whether the shard can't be served under its token."""
        return self.token < self.least_token


class ShardUse:
    """The use of a held shard by one running request.

    It keeps the shard from counting as idle until it is released.
    """

    def __init__(self, held: _HeldShard) -> None:
        self._held = held
        self._is_released = False
        self.token = held.token
        held.running += 1

    def release(self) -> None:
        """End the use; further calls have no effect."""
        if not self._is_released:
            self._is_released = True
            self._held.running -= 1


class HeldShards:
    """Counts the requests that run in each held shard.

    A shard that is to move to another owner is closed first: it admits no
    more requests, while those that run continue.
    """

    def __init__(self) -> None:
        self._held: dict[ShardName, _HeldShard] = {}

    def tokens(self) -> dict[ShardName, int]:
        """Return the fencing tokens of the held shards."""
        return {shard: held.token for shard, held in self._held.items()}

    def hold(self, shard: ShardName, token: int) -> bool:
        """Hold a shard under a fencing token.

        Return whether it was not held before.  The token of a held shard
        never decreases.
        """
        held = self._held.get(shard)
        if held is not None:
            held.token = max(token, held.token)
            return False
        self._held[shard] = _HeldShard(token)
        return True

    def require_token(self, shard: ShardName, least: int) -> None:
        """Note that a held shard can't be served under a lower token."""
        held = self._held.get(shard)
        if held is not None:
            held.least_token = max(least, held.least_token)

    def least_token(self, shard: ShardName) -> int:
        """Return the least token that a held shard needs, 0 for any."""
        held = self._held.get(shard)
        return 0 if held is None else held.least_token

    @property
    def any_needs_new_token(self) -> bool:
        """Return whether some shard needs a higher token to be served."""
        return any(held.needs_new_token for held in self._held.values())

    def needs_new_token(self, shard: ShardName) -> bool:
        """Return whether a shard needs a higher token to be served."""
        held = self._held.get(shard)
        return held is not None and held.needs_new_token

    def drop(self, shard: ShardName) -> None:
        """Stop holding a shard."""
        self._held.pop(shard, None)

    def drop_lost(self, shard: ShardName, why: str) -> None:
        """Stop holding a shard that was not moved away, and report why."""
        if shard in self._held:
            self.drop(shard)
            SHARD_DROPPED.report(shard=shard, why=why)

    def drop_all(self) -> None:
        """Stop holding all shards."""
        self._held.clear()

    def acquire(self, shard: ShardName) -> ShardUse | None:
        """Admit a request to a shard; return None if it may not run here."""
        held = self._held.get(shard)
        if held is None or held.is_closed:
            return None
        return ShardUse(held)

    def close(self, shard: ShardName) -> None:
        """Admit no more requests to a shard; those that run continue."""
        held = self._held.get(shard)
        if held is not None:
            held.is_closed = True

    def note_wait(self, shard: ShardName, wait: str) -> None:
        """Note what the write of a held shard's record waits for."""
        held = self._held.get(shard)
        if held is not None:
            held.wait = wait

    def wait_of(self, shard: ShardName) -> str:
        """Return what the write of a shard's record waits for, '' if none."""
        held = self._held.get(shard)
        return '' if held is None else held.wait

    def all_idle(self) -> bool:
        """Return whether no request runs in any shard."""
        return not any(held.running for held in self._held.values())

    def is_held(self, shard: ShardName) -> bool:
        """Return whether a shard is held, open or closed."""
        return shard in self._held

    def is_idle(self, shard: ShardName) -> bool:
        """Return whether no request runs in a shard."""
        held = self._held.get(shard)
        return held is None or not held.running

    def reopen(self, shard: ShardName) -> None:
        """Admit requests again, after a move that was not carried out."""
        held = self._held.get(shard)
        if held is not None:
            held.is_closed = False
            held.wait = ''

    def is_open(self, shard: ShardName) -> bool:
        """Return whether a shard is held and admits requests."""
        held = self._held.get(shard)
        return held is not None and not held.is_closed

    def is_closed(self, shard: ShardName) -> bool:
        """Return whether a shard is held and closed."""
        held = self._held.get(shard)
        return held is not None and held.is_closed
