"""The interface to the grants of a worker."""

from typing import Protocol

from laburnumwood.notifier import Notifier
from laburnumwood.records import KeyRange, ShardName


class Grants(Protocol):
    """The shards that the worker is allowed to hold.

    A grant consists of a shard, a fencing token and the time at which it
    expires.  It is either sent to the worker or fetched with its reports.
    When a shard moves, the worker may leave a handover: a text that is passed
    to the worker of the next owner.
    """

    def covers(self, shard: ShardName, token: int | None) -> bool:
        """Return whether the worker has a grant of a shard under a token."""

    def next_grants_in_ms(self) -> int:
        """Return the time until the worker is expected to get new grants."""

    @property
    def changes(self) -> Notifier:
        """Return the notifier that wakes tasks when the grants change."""

    def withdraw(self, shard: ShardName) -> None:
        """Stop granting a shard that is to move to another owner."""

    def restore(self, shard: ShardName) -> None:
        """Grant a withdrawn shard again, because its move was abandoned."""

    def is_released(self, shard: ShardName) -> bool:
        """Return whether the worker no longer holds a withdrawn shard."""

    def handover_for(self, keys: KeyRange) -> str:
        """Return the worker's handover for a range of keys, or ''."""

    def handovers(self, shard: ShardName) -> tuple[str, ...]:
        """Return the worker's handover for each range of a shard.

        The result is empty if the worker left no handover for the shard.
        """

    def held_for_ms(self) -> int:
        """Return for how long the worker may still hold any of its grants."""
