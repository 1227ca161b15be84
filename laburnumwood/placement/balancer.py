"""The part of a node in keeping load even among the nodes of a service."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from statistics import fmean

from laburnumwood.clock import Clock
from laburnumwood.config.declarations import Service, Weights
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.layout import key_ranges, split_ranges
from laburnumwood.placement.load_reports import LoadReports
from laburnumwood.placement.meter import LoadMeter
from laburnumwood.placement.move_policy import (
    Move,
    PlacementSnapshot,
    ShardsByNode,
)
from laburnumwood.placement.ownership import acting_owner
from laburnumwood.placement.planner import MovePlanner
from laburnumwood.placement.splitting import Part, Split, Splitter, hot_parts
from laburnumwood.records import KeyRange, NodeName, NodeRecord
from laburnumwood.settings import PlacementSettings

DEFAULT_POLICY = 'weighed'

Owners = Mapping[int, NodeName]  # of shards, by their numbers


@dataclass(frozen=True, slots=True)
class _Estimate:
    load: float
    trust: float = 1

    def towards(self, mean: float) -> float:
        return mean + (self.load - mean) * self.trust


def _reported(
    name: NodeName, shard: int, book: LoadReports, measured: Mapping[int, float]
) -> _Estimate | None:
    """Return what is known of the load of another node's shard.

    A shard that moved away lately counts with what was measured here, until
    its new owner has measured more.
    """
    reported = book.shards(name).get(shard)
    here = measured.get(shard)
    if reported is not None and (here is None or here <= reported):
        return _Estimate(reported, book.weight(name))
    return None if here is None else _Estimate(here)


def _reported_all(
    name: NodeName,
    shards: tuple[int, ...],
    book: LoadReports,
    measured: Mapping[int, float],
) -> Iterator[tuple[int, _Estimate]]:
    for shard in shards:
        found = _reported(name, shard, book, measured)
        if found is not None:
            yield shard, found


@dataclass(frozen=True, slots=True)
class LoadEstimates:
    """The work of the shards that something is known of, and their mean."""

    known: Mapping[int, float]
    mean: float


def estimated_loads(
    shares: ShardsByNode,
    own: NodeName,
    measured: Mapping[int, float],
    book: LoadReports,
) -> LoadEstimates:
    """Return the loads of shards by what is measured and reported.

    A report counts less as it ages: towards the mean of the known shards.
    """
    known = {shard: _Estimate(measured.get(shard, 0)) for shard in shares[own]}
    for name, shards in shares.items():
        is_known = book.is_known(name) or not measured.keys().isdisjoint(shards)
        if name != own and is_known:
            known.update(_reported_all(name, shards, book, measured))
    mean = fmean(each.load for each in known.values()) if known else 0
    return LoadEstimates(
        {number: each.towards(mean) for number, each in known.items()}, mean
    )


class Balancer:
    """Decides which shards this node should hand to which others.

    It only decides: the keeper of the shards carries the moves out.
    """

    def __init__(
        self,
        service: str,
        own: NodeName,
        view: FleetView,
        meter: LoadMeter,
        book: LoadReports,
        settings: PlacementSettings,
        clock: Clock,
    ) -> None:
        self._service = service
        self._own = own
        self._view = view
        self._meter = meter
        self._book = book
        self._settings = settings
        self._splitter = Splitter(clock)
        self._planner = MovePlanner(DEFAULT_POLICY, settings, clock)
        self._known_shares: ShardsByNode = {}
        self._shares_version: object = None

    def plan_moves(self, begun: Owners) -> tuple[Move, ...]:
        """Return the moves that this node should make now.

        Shards whose moves have `begun` count for their next owners.  While
        the owners of some are not known, nobody can tell who has few.
        """
        live = self._view.live_in(self._service)
        if self._own not in live or not self._knows_all():
            return ()
        return self._planner.plan(self._snapshot(live, begun))

    def is_stable(self, node_id: str) -> bool:
        """Tell whether a node did not come again and again lately."""
        return self._planner.is_stable(node_id)

    def plan_split(self, begun: Owners) -> Split | None:
        """Return the hot keys that this node should split off now, if any."""
        live = self._view.live_in(self._service)
        declared = self._view.directory.declarations.services
        service = declared.get(self._service)
        if self._own not in live or len(live) < 2:
            return None
        if service is None or service.stripe_width is None:
            return None
        records = self._view.directory.shard_records(self._service)
        shard, targets = self._splitter.choose_shard(
            self._snapshot(live, begun), sum(1 for _ in split_ranges(records))
        )
        if not targets:
            return None
        ranges = key_ranges(shard, records.get(shard), service)
        return self._split_into(shard, ranges, targets)

    def _knows_all(self) -> bool:
        """Tell whether the records of all shards of the service are known."""
        declared = self._view.directory.declarations.services
        service = declared.get(self._service, Service())
        known = self._view.directory.shards(self._service)
        return known.keys() >= set(range(service.shards))

    def _split_into(
        self,
        shard: int,
        ranges: tuple[KeyRange, ...],
        targets: tuple[NodeName, ...],
    ) -> Split | None:
        counts = self._meter.key_counts()
        parts = hot_parts(ranges, counts, len(targets) + 1)
        if not parts:
            return None
        self._splitter.record_split()
        pairs = zip(parts, targets, strict=False)
        return Split(shard, tuple(Part(*pair) for pair in pairs))

    def _snapshot(
        self, live: Mapping[NodeName, NodeRecord], begun: Owners
    ) -> PlacementSnapshot:
        declared = self._view.directory.declarations
        service = declared.services.get(self._service, Service())
        shares = self._shares(live, begun)
        loads = estimated_loads(
            shares, self._own, self._meter.shards(), self._book
        )
        return PlacementSnapshot(
            own=self._own,
            shards_by_node=shares,
            reporting_peers={
                name for name in shares if self._book.is_known(name)
            },
            slots={name: record.slots for name, record in live.items()},
            loads=loads.known,
            default_load=loads.mean,
            weights=declared.weights or Weights(),
            cold_start_ms=service.cold_start_ms,
            settings=self._settings,
            relative_error=self._meter.error(),
            reclaimable=self._lent(shares),
        )

    def _lent(self, shares: ShardsByNode) -> set[int]:
        """Return which own shards have a lost owner first in their record."""
        entries = self._view.directory.shards(self._service)
        own = (
            number for number in shares.get(self._own, ()) if number in entries
        )
        return {
            number
            for number in own
            if entries[number].record.succession[0] != self._own
        }

    def _shares(
        self, live: Mapping[NodeName, NodeRecord], begun: Owners
    ) -> ShardsByNode:
        """Return the shards of each live node, found anew only on news."""
        version = (*self._view.version, frozenset(begun.items()))
        if version != self._shares_version:
            self._known_shares = self._find_shares(live, begun)
            self._shares_version = version
        return self._known_shares

    def _find_shares(
        self, live: Mapping[NodeName, NodeRecord], begun: Owners
    ) -> ShardsByNode:
        shares: dict[NodeName, list[int]] = {name: [] for name in live}
        shards = self._view.directory.shards(self._service)
        for number, entry in sorted(shards.items()):
            owner = begun.get(number) or acting_owner(entry.record, self._view)
            if owner in shares:
                shares[owner].append(number)
        return {name: tuple(numbers) for name, numbers in shares.items()}
