"""Checks of what the nodes of a simulation may act for at one moment."""

from collections.abc import Iterable

from laburnumwood.records import KeyRange, NodeName, ShardName
from tests.fences import FenceHistory, Taking, TokenNotIncreasedError
from tests.ownership.keys import find_shared_keys
from tests.ownership.node import FakeNode


class TwoActingOwnersError(AssertionError):
    """More than one incarnation may act for a shard at the same time."""


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
