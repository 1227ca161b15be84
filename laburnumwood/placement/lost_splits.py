"""Splits that the records of the shards no longer tell of.

A store that comes back from an older copy may have the record of a shard as
it was before a range was split off, beside the record of the new shard, which
another node wrote back, or whose creation arrived late.  The record of the new
shard counts: who holds it goes on serving the range.  Nobody else begins to,
until the owner of the other shard has listed the split in its record.

A record that lists a split and that the store has forgotten doesn't count for
this: others may know, and act on, the older one that the store has.
"""

from collections.abc import Iterator, Mapping

from laburnumwood.config.declarations import Service
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.layout import (
    locate,
    split_ranges,
    split_shard_number,
)
from laburnumwood.placement.sharding import initial_shard
from laburnumwood.records import KeyRange, ShardName, ShardRecord
from laburnumwood.store.objects import shard_object_name

_Ranges = tuple[KeyRange, ...]
_FIRST_ERA = 1


def _narrowness(part: tuple[int, KeyRange]) -> int:
    return part[1].first - part[1].last


def find_lost_splits(
    records: Mapping[int, ShardRecord], service: Service
) -> dict[int, _Ranges]:
    """Return the ranges that were split off and are not listed so.

    They are returned by the shard that lacks them, the widest ones first.
    """
    lost: dict[int, _Ranges] = {}
    ranges = {
        number: record.keys for number, record in records.items() if record.keys
    }
    for number, keys in sorted(ranges.items(), key=_narrowness):
        initial = initial_shard(str(keys.first), service)
        # The first key of a shard is never split off from it.
        parent = locate(keys.first, initial, records)
        if parent != number:
            lost[parent] = (*lost.get(parent, ()), keys)
    return lost


class LostSplits:
    """Finds the lost splits of a service among the known records."""

    def __init__(self, service: str, view: FleetView) -> None:
        self._service = service
        self._view = view
        self._seen_changes = -1
        self._lost: dict[int, _Ranges] = {}
        self._unlisted: frozenset[int] = frozenset()
        self._parents: dict[int, ShardName] = {}

    def is_unlisted(self, shard: ShardName) -> bool:
        """Return whether a shard was split off from one that doesn't say so.

        The store's record of that other shard counts.
        """
        self._update()
        return shard.number in self._unlisted or self._is_listing_lost(shard)

    def least_epoch(self, shard: ShardName) -> int:
        """Return the least epoch in which a shard may be owned anew.

        The tokens of its keys were lower while they belonged to the shard
        that it was split off from, again or for the first time.
        """
        parent = self._parent(shard)
        return parent.epoch if parent else 0

    def is_overtaken(self, shard: ShardName) -> bool:
        """Return whether a shard was split off again since it got its epoch.

        Its keys may have had higher tokens in between.
        """
        directory = self._view.directory
        entry, parent = directory.shard(shard), self._parent(shard)
        if entry is None or parent is None:
            return False
        return entry.record.epoch_era < parent.epoch_era

    def of_shard(self, shard: ShardName) -> _Ranges:
        """Return the ranges that the record of a shard should list."""
        self._update()
        return self._lost.get(shard.number, ())

    def _parent(self, shard: ShardName) -> ShardRecord | None:
        """Return the record that lists a shard as split off, if any."""
        directory = self._view.directory
        if directory.era <= _FIRST_ERA:
            return None
        records = directory.shard_records(self._service)
        parents = (
            parent
            for keys, parent in split_ranges(records)
            if split_shard_number(keys) == shard.number
        )
        return next(parents, None)

    def _is_listing_lost(self, shard: ShardName) -> bool:
        parent = self._parents.get(shard.number)
        if parent is None:
            return False
        return shard_object_name(parent) in self._view.directory.forgotten

    def _update(self) -> None:
        directory = self._view.directory
        if directory.era <= _FIRST_ERA:
            return
        if directory.change_count != self._seen_changes:
            self._seen_changes = directory.change_count
            self._lost = self._find()
            self._unlisted = frozenset(
                split_shard_number(keys)
                for ranges in self._lost.values()
                for keys in ranges
            )
            self._parents = dict(self._find_parents())

    def _find_parents(self) -> Iterator[tuple[int, ShardName]]:
        """Yield the shards that were split off, and which lists each."""
        records = self._view.directory.shard_records(self._service)
        for number, record in records.items():
            for keys in record.split_off:
                parent = ShardName(self._service, number)
                yield split_shard_number(keys), parent

    def _find(self) -> dict[int, _Ranges]:
        directory = self._view.directory
        declared = directory.declarations.services.get(self._service)
        if declared is None or declared.stripe_width is None:
            return {}
        return find_lost_splits(
            directory.shard_records(self._service), declared
        )
