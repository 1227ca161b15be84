"""Splits that the records of the shards no longer tell of.

A store that comes back from an older copy may have the record of a shard as
it was before a range was split off, beside the record of the new shard, which
another node wrote back.  The record of the new shard counts: its owner goes on
serving the range.
"""

from collections.abc import Mapping

from laburnumwood.config.declarations import Service
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.layout import locate
from laburnumwood.placement.sharding import initial_shard
from laburnumwood.records import KeyRange, ShardName, ShardRecord

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

    def of_shard(self, shard: ShardName) -> _Ranges:
        """Return the ranges that the record of a shard should list."""
        directory = self._view.directory
        if directory.era <= _FIRST_ERA:
            return ()
        if directory.change_count != self._seen_changes:
            self._seen_changes = directory.change_count
            self._lost = self._find()
        return self._lost.get(shard.number, ())

    def _find(self) -> dict[int, _Ranges]:
        directory = self._view.directory
        declared = directory.declarations.services.get(self._service)
        if declared is None or declared.stripe_width is None:
            return {}
        return find_lost_splits(
            directory.shard_records(self._service), declared
        )
