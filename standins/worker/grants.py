"""Grants with fencing tokens that let a worker serve shards."""

from dataclasses import dataclass, field

from pydantic import BaseModel, ConfigDict, Field, model_validator

from standins.clock import boottime_ms

ShardId = tuple[str, int]


class GrantedShard(BaseModel):
    """One shard of a grant set, with its fencing token."""

    model_config = ConfigDict(extra='forbid')

    service: str
    shard: int = Field(ge=0)
    token: int = Field(ge=0)

    @property
    def shard_id(self) -> ShardId:
        """Return the service and the number of the shard."""
        return self.service, self.shard


class GrantSet(BaseModel):
    """All grants of a worker, with their common expiry time.

    They expire at `until_ms` of CLOCK_BOOTTIME or `ttl_ms` after receipt.
    """

    model_config = ConfigDict(extra='forbid')

    ttl_ms: int | None = Field(default=None, ge=0)
    until_ms: int | None = Field(default=None, ge=0)
    shards: list[GrantedShard]

    @model_validator(mode='after')
    def check_expiry(self) -> 'GrantSet':
        """Raise ValueError unless exactly one expiry time is set."""
        if (self.ttl_ms is None) == (self.until_ms is None):
            raise ValueError('either ttl_ms or until_ms is expected')
        return self

    @property
    def expires_ms(self) -> float:
        """Return the expiry time in milliseconds of CLOCK_BOOTTIME."""
        if self.until_ms is not None:
            return self.until_ms
        return boottime_ms() + (self.ttl_ms or 0)


@dataclass(slots=True)
class _Grant:
    token: int
    warm_keys: set[str] = field(default_factory=set)


class GrantTable:
    """The grants of a worker, which expire by CLOCK_BOOTTIME of the VM."""

    def __init__(self, *, check_tokens: bool) -> None:
        self._check_tokens = check_tokens
        self._grants: dict[ShardId, _Grant] = {}
        self._expires_ms = boottime_ms()
        self._highest_tokens: dict[ShardId, int] = {}

    def replace(self, grant_set: GrantSet) -> list[GrantedShard]:
        """Replace all grants; return those refused for a stale token."""
        refused = []
        granted: dict[ShardId, _Grant] = {}
        for shard in grant_set.shards:
            if self._is_stale(shard):
                refused.append(shard)
            else:
                granted[shard.shard_id] = self._renewed_grant(shard)
        self._grants = granted
        self._expires_ms = grant_set.expires_ms
        return refused

    def admits(self, shard_id: ShardId, token: int | None) -> bool:
        """Return whether work for a shard may run under this token."""
        if not self._check_tokens:
            return True
        grant = self._unexpired_grant(shard_id)
        return not (grant is None or token is None or token < grant.token)

    def mark_warm(self, shard_id: ShardId, key: str) -> bool:
        """Mark a key as warm; return whether it was cold under its grant."""
        grant = self._unexpired_grant(shard_id)
        if grant is None or key in grant.warm_keys:
            return False
        grant.warm_keys.add(key)
        return True

    def _is_stale(self, shard: GrantedShard) -> bool:
        highest = self._highest_tokens.get(shard.shard_id, 0)
        self._highest_tokens[shard.shard_id] = max(highest, shard.token)
        return self._check_tokens and shard.token < highest

    def _renewed_grant(self, shard: GrantedShard) -> _Grant:
        previous = self._unexpired_grant(shard.shard_id)
        if previous is None:
            return _Grant(shard.token)
        return _Grant(shard.token, previous.warm_keys)

    def _unexpired_grant(self, shard_id: ShardId) -> _Grant | None:
        if boottime_ms() >= self._expires_ms:
            return None
        return self._grants.get(shard_id)
