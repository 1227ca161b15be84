"""The shards that an incarnation grants to a worker that sends reports."""

from laburnumwood.config.declarations import Service
from laburnumwood.leases.lease import Lease
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.layout import key_ranges
from laburnumwood.records import KeyRange, ShardName
from laburnumwood.upstream.attached_grants import AttachedGrants
from laburnumwood.upstream.reporting_worker import ReportingWorker


class ShardGrantSource:
    """The shards that one incarnation holds, for the grants to its worker."""

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

    def attach(self, reporting: ReportingWorker) -> AttachedGrants:
        """Attach this source to a worker and return the worker's grants."""
        return AttachedGrants(reporting, self)

    def tokens(self) -> dict[ShardName, int]:
        """Return the shards that the incarnation holds, with their tokens."""
        return self._held_shards.tokens()

    def until_ms(self) -> int:
        """Return the time in ms until which the lease is held."""
        return self._lease.expires_at_ms()

    def close(self, shard: ShardName) -> None:
        """Stop admitting requests to a shard."""
        self._held_shards.close(shard)

    def require_token(self, shard: ShardName, least: int) -> None:
        """Request a token that is at least as high as a given one."""
        self._held_shards.require_token(shard, least)

    def stripes(self, shard: ShardName) -> tuple[KeyRange, ...]:
        """Return the key ranges of a shard.

        Returns none if the service of this node is not declared.
        """
        declaration = self._declaration()
        entry = self._view.directory.shard(shard)
        if declaration is None:
            return ()
        record = entry.record if entry else None
        return key_ranges(shard.number, record, declaration)

    def handovers(self, shard: ShardName) -> tuple[str, ...]:
        """Return what the last owner's worker left for the next, by stripe."""
        entry = self._view.directory.shard(shard)
        return entry.record.handovers if entry else ()

    def _declaration(self) -> Service | None:
        services = self._view.directory.declarations.services
        return services.get(self._service)
