"""The keys of the shards in a simulation."""

from collections.abc import Iterable
from itertools import accumulate

from laburnumwood.config.declarations import KeySource, Service
from laburnumwood.placement.layout import key_ranges
from laburnumwood.placement.sharding import KEY_SPACE
from laburnumwood.records import KeyRange, ShardName, ShardRecord

SERVICE = 's'
SHARDS = (ShardName(SERVICE, 0), ShardName(SERVICE, 1))
DECLARATION = Service(
    key=KeySource(source='header', name='Key'),
    shards=len(SHARDS),
    stripe_width=KEY_SPACE // len(SHARDS),
)


def shard_keys(
    shard: ShardName, record: ShardRecord | None
) -> tuple[KeyRange, ...]:
    """Return the keys of a shard by its record."""
    return key_ranges(shard.number, record, DECLARATION)


def upper_half(
    shard: ShardName, record: ShardRecord | None
) -> tuple[KeyRange, ...]:
    """Return the range of keys to split off a shard, or none if it is small."""
    return tuple(
        KeyRange((keys.first + keys.last + 1) // 2, keys.last)
        for keys in shard_keys(shard, record)[:1]
        if keys.first < keys.last
    )


Row = tuple[KeyRange, str]  # keys and who has them


def _wider(row: Row, other: Row) -> Row:
    return max(row, other, key=lambda each: each[0].last)


def find_shared_keys(rows: Iterable[Row]) -> tuple[Row, ...]:
    """Return two rows of different holders that overlap, or none."""
    ordered = sorted(rows)
    for widest, row in zip(
        accumulate(ordered, _wider), ordered[1:], strict=False
    ):
        if row[0].first <= widest[0].last and row[1] != widest[1]:
            return widest, row
    return ()
