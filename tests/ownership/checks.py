"""Checks of what the nodes of a simulation may act for at one moment."""

from collections.abc import Iterable

from laburnumwood.records import KeyRange, NodeName, ShardName
from tests.fences import FenceHistory, Taking, TokenNotIncreasedError
from tests.ownership.keys import find_shared_keys
from tests.ownership.node import FakeNode

_MAX_CLOSED_MS = 2_000  # users allow two seconds


class TwoActingOwnersError(AssertionError):
    """More than one incarnation may act for a shard at the same time."""


class UnservedShardError(AssertionError):
    """A node that could serve a shard keeps it closed for too long."""


class ServiceChecks:
    """Checks that no node keeps a shard closed without any fault.

    The time counts from when the last fault ended.
    """

    def __init__(self, script: list[str]) -> None:
        self._script = script
        self._closed_since_ms: dict[tuple[NodeName, ShardName], int] = {}

    def check(
        self, nodes: Iterable[FakeNode], now_ms: int, *, is_faulty: bool
    ) -> None:
        """Check what all nodes hold now."""
        closed = {
            (node.name, shard)
            for node in nodes
            if node.lease.is_held() and not is_faulty
            for shard in node.held_shards.tokens()
            if node.held_shards.is_closed(shard)
        }
        self._closed_since_ms = {
            each: self._closed_since_ms.get(each, now_ms) for each in closed
        }
        late = [
            f'{shard} at {name}'
            for (name, shard), since_ms in self._closed_since_ms.items()
            if now_ms - since_ms > _MAX_CLOSED_MS
        ]
        if late:
            raise UnservedShardError(f'{late} {self._script}')


class KeyChecks:
    """Checks owners and their tokens by shards, and by keys.

    A key can change shards, and its shards can have different owners.
    """

    def __init__(self, script: list[str]) -> None:
        self._script = script
        self._tokens: dict[ShardName, tuple[int, NodeName]] = {}
        self._history = FenceHistory()

    def check_shard(
        self, shard: ShardName, owners: dict[NodeName, int]
    ) -> None:
        """Check the incarnations that may act for a shard now."""
        if len(owners) > 1:
            raise TwoActingOwnersError(f'{shard}: {owners} {self._script}')
        for name, token in owners.items():
            highest, holder = self._tokens.get(shard, (0, name))
            if token < highest or (token == highest and name != holder):
                raise TokenNotIncreasedError(
                    f'{shard}: {name} {token} {self._script}'
                )
            self._tokens[shard] = (token, name)

    def check_keys(self, nodes: Iterable[FakeNode]) -> None:
        """Check the keys that all nodes may act for now."""
        takings = [
            Taking(str(node.name), keys.first, keys.last, token)
            for node in nodes
            for keys, token in node.acting_rows()
        ]
        shared = find_shared_keys(
            (KeyRange(each.first, each.last), each.life) for each in takings
        )
        if shared:
            raise TwoActingOwnersError(f'{shared} {self._script}')
        for taking in takings:
            self._history.check(taking, self._script)
