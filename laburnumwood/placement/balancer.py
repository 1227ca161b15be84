"""A node's part in balancing load among the nodes of its service."""

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
from laburnumwood.placement.relocation import relocate
from laburnumwood.placement.splitting import Part, Split, Splitter, hot_parts
from laburnumwood.records import KeyRange, NodeName, NodeRecord
from laburnumwood.settings import PlacementSettings

DEFAULT_POLICY = 'weighed'

Owners = Mapping[int, NodeName]  # by shard number


@dataclass(frozen=True, slots=True)
class _Estimate:
    load: float
    weight: float = 1

    def blended_with(self, mean: float) -> float:
        return mean + (self.load - mean) * self.weight


def _estimate_of(
    name: NodeName,
    shard: int,
    reports: LoadReports,
    measured: Mapping[int, float],
) -> _Estimate | None:
    """Return what is known of the load of another node's shard.

    A shard that moved away lately counts with the load measured here until
    its new owner reports more.
    """
    reported = reports.shards(name).get(shard)
    measured_here = measured.get(shard)
    if reported is not None:
        reported /= reports.notices.pace(name)
    if reported is not None and (
        measured_here is None or measured_here <= reported
    ):
        return _Estimate(reported, reports.weight(name))
    return None if measured_here is None else _Estimate(measured_here)


def _estimates_of(
    name: NodeName,
    shards: tuple[int, ...],
    reports: LoadReports,
    measured: Mapping[int, float],
) -> Iterator[tuple[int, _Estimate]]:
    for shard in shards:
        estimate = _estimate_of(name, shard, reports, measured)
        if estimate is not None:
            yield shard, estimate


def _at_usual_pace(
    measured: Mapping[int, float], pace: float
) -> Mapping[int, float]:
    if pace == 1:
        return measured
    return {shard: load / pace for shard, load in measured.items()}


@dataclass(frozen=True, slots=True)
class LoadEstimates:
    """The loads of the shards of which something is known, and their mean.

    A load is the number of slots that a shard keeps busy at the usual pace.
    """

    known: Mapping[int, float]
    mean: float


def estimated_loads(
    shards_by_node: ShardsByNode,
    own: NodeName,
    measured: Mapping[int, float],
    reports: LoadReports,
) -> LoadEstimates:
    """Return the loads of shards by what is measured and reported.

    As a report ages, its loads approach the mean of the known shards.  Work on
    a slow node keeps slots busy for longer than it would elsewhere: it counts
    with what it would take at the usual pace.
    """
    measured = _at_usual_pace(measured, reports.notices.pace(own))
    known = {
        shard: _Estimate(measured.get(shard, 0))
        for shard in shards_by_node[own]
    }
    for name, shards in shards_by_node.items():
        is_known = reports.is_known(name) or not measured.keys().isdisjoint(
            shards
        )
        if name != own and is_known:
            known.update(_estimates_of(name, shards, reports, measured))
    mean = fmean(each.load for each in known.values()) if known else 0
    return LoadEstimates(
        {number: each.blended_with(mean) for number, each in known.items()},
        mean,
    )


class Balancer:
    """Decides which shards this node should move or split, and to whom.

    It only decides: the shard manager carries out moves and splits.
    """

    def __init__(
        self,
        service: str,
        own: NodeName,
        view: FleetView,
        meter: LoadMeter,
        reports: LoadReports,
        settings: PlacementSettings,
        clock: Clock,
    ) -> None:
        self._service = service
        self._own = own
        self._view = view
        self._meter = meter
        self._reports = reports
        self._settings = settings
        self._splitter = Splitter(clock)
        self._planner = MovePlanner(DEFAULT_POLICY, settings, clock)
        self._cached_shards: ShardsByNode = {}
        self._cached_version: object = None

    def plan_moves(self, pending_owners: Owners) -> tuple[Move, ...]:
        """Return the moves that this node should begin now.

        Shards of which a write is pending count for their `pending_owners`.
        Nothing moves while the owners of some shards are unknown, since the
        numbers of shards of the nodes can't be compared then.
        """
        live = self._view.serving_nodes(self._service)
        if self._own not in live or not self._knows_all_shards():
            return ()
        return self._planner.plan(self._snapshot(live, pending_owners))

    def plan_relocation(self, pending_owners: Owners) -> tuple[Move, ...]:
        """Return a move for each shard of this node if its domain is evacuated.

        Without other nodes of the service there are none.
        """
        record = self._view.directory.node(self._own)
        if record is None or not self._view.is_evacuated(record.failure_domain):
            return ()
        live = self._view.serving_nodes(self._service) | {self._own: record}
        records = self._view.directory.shard_records(self._service)
        return relocate(
            self._snapshot(live, pending_owners),
            {number: each.succession for number, each in records.items()},
        )

    def is_stable(self, node_id: str) -> bool:
        """Return whether a node has not arrived too often lately."""
        return self._planner.is_stable(node_id)

    def plan_split(self, pending_owners: Owners) -> Split | None:
        """Return the hot keys that this node should split off now, if any."""
        live = self._view.serving_nodes(self._service)
        declared = self._view.directory.declarations.services
        service = declared.get(self._service)
        if self._own not in live or len(live) < 2:
            return None
        if service is None or service.stripe_width is None:
            return None
        records = self._view.directory.shard_records(self._service)
        shard, targets = self._splitter.choose_shard(
            self._snapshot(live, pending_owners),
            sum(1 for _ in split_ranges(records)),
        )
        if not targets:
            return None
        ranges = key_ranges(shard, records.get(shard), service)
        return self._split_into(shard, ranges, targets)

    def _knows_all_shards(self) -> bool:
        """Return whether the records of all declared shards are known."""
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
        self, live: Mapping[NodeName, NodeRecord], pending_owners: Owners
    ) -> PlacementSnapshot:
        declared = self._view.directory.declarations
        service = declared.services.get(self._service, Service())
        shards_by_node = self._shards_by_node(live, pending_owners)
        loads = estimated_loads(
            shards_by_node, self._own, self._meter.shards(), self._reports
        )
        slots = {
            name: self._reports.notices.usable_slots(name, record.slots)
            for name, record in live.items()
        }
        return PlacementSnapshot(
            own=self._own,
            shards_by_node=shards_by_node,
            reporting_peers={
                name for name in shards_by_node if self._reports.is_known(name)
            },
            slots=slots,
            loads=loads.known,
            default_load=loads.mean,
            weights=declared.weights or Weights(),
            cold_start_ms=service.cold_start_ms,
            settings=self._settings,
            relative_error=self._meter.relative_error(),
            reclaimable=self._reclaimable(shards_by_node),
            limited_nodes={
                name
                for name, record in live.items()
                if slots[name] < record.slots
            },
        )

    def _reclaimable(self, shards_by_node: ShardsByNode) -> set[int]:
        """Return the own shards whose record names a lost owner first."""
        entries = self._view.directory.shards(self._service)
        own = (
            number
            for number in shards_by_node.get(self._own, ())
            if number in entries
        )
        return {
            number
            for number in own
            if entries[number].record.succession[0] != self._own
        }

    def _shards_by_node(
        self, live: Mapping[NodeName, NodeRecord], pending_owners: Owners
    ) -> ShardsByNode:
        """Return the shards of each live node, cached until a change."""
        version = (*self._view.version, frozenset(pending_owners.items()))
        if version != self._cached_version:
            self._cached_shards = self._find_shards_by_node(
                live, pending_owners
            )
            self._cached_version = version
        return self._cached_shards

    def _find_shards_by_node(
        self, live: Mapping[NodeName, NodeRecord], pending_owners: Owners
    ) -> ShardsByNode:
        found: dict[NodeName, list[int]] = {name: [] for name in live}
        shards = self._view.directory.shards(self._service)
        for number, entry in sorted(shards.items()):
            owner = pending_owners.get(number) or acting_owner(
                entry.record, self._view
            )
            if owner in found:
                found[owner].append(number)
        return {name: tuple(numbers) for name, numbers in found.items()}
