"""What the product needs to know of the worker's grants."""

from typing import Protocol

from laburnumwood.notifier import Notifier
from laburnumwood.records import KeyRange, ShardName


class Grants(Protocol):
    """The grants of the worker, however it gets them."""

    def covers(self, shard: ShardName, token: int | None) -> bool:
        """Tell whether the worker has a grant for a shard and a token."""

    def next_grants_in_ms(self) -> int:
        """Return in what time the worker will get its next grants."""

    @property
    def changes(self) -> Notifier:
        """Return what tells of changes of the grants."""

    def withdraw(self, shard: ShardName) -> None:
        """Let a shard go that is to get another owner."""

    def restore(self, shard: ShardName) -> None:
        """Keep a shard after all that was to get another owner."""

    def is_released(self, shard: ShardName) -> bool:
        """Tell whether the worker no longer holds a withdrawn shard."""

    def handover_for(self, keys: KeyRange) -> str:
        """Return what the worker left for the next owner of some keys."""

    def handovers(self, shard: ShardName) -> tuple[str, ...]:
        """Return what the worker left for the next owner of a shard."""

    def held_for_ms(self) -> int:
        """Return for how long the worker may still hold what it was given."""
