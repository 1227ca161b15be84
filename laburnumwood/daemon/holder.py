"""What an incarnation lets a worker hold that reports to its node."""

from laburnumwood.config.declarations import Service
from laburnumwood.leases.lease import Lease
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.holdings import HeldShards
from laburnumwood.placement.layout import key_ranges
from laburnumwood.records import KeyRange, ShardName


class ShardHolder:
    """The shards of one incarnation, with their keys."""

    def __init__(
        self,
        service: str,
        lease: Lease,
        held_shards: HeldShards,
        view: FleetView,
    ) -> None:
        self._service = service
        self._lease = lease
        self._held_shards = held_shards
        self._view = view

    def tokens(self) -> dict[ShardName, int]:
        """Return the shards that the node holds, with their tokens."""
        return self._held_shards.tokens()

    def until_ms(self) -> int:
        """Return until when the node may act."""
        return self._lease.expires_at_ms()

    def close(self, shard: ShardName) -> None:
        """Let no more requests in to a shard."""
        self._held_shards.close(shard)

    def spend(self, shard: ShardName) -> None:
        """Ask for a higher token: the worker's next life needs one."""
        self._held_shards.invalidate_token(shard)

    def stripes(self, shard: ShardName) -> tuple[KeyRange, ...]:
        """Return the keys of a shard, none if its service is not known."""
        declared = self._declared()
        entry = self._view.directory.shard(shard)
        if declared is None:
            return ()
        record = entry.record if entry else None
        return key_ranges(shard.number, record, declared)

    def handovers(self, shard: ShardName) -> tuple[str, ...]:
        """Return what the shard's last owner left for this one."""
        entry = self._view.directory.shard(shard)
        return entry.record.handovers if entry else ()

    def _declared(self) -> Service | None:
        services = self._view.directory.declarations.services
        return services.get(self._service)
