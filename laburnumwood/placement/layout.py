"""The keys of each shard, after ranges of hot keys were split off.

A service whose keys are numbers begins with shards that are made of stripes.
The owner of a shard may split a range of its keys off: it writes the shard's
record without the range, and then creates a record for the new shard of that
range.  Until that second record exists the range has no owner, and any node
may create it, as for a shard that never had an owner.
"""

from collections.abc import Iterator, Mapping

from laburnumwood.config.declarations import Service
from laburnumwood.placement.sharding import stripes_of
from laburnumwood.records import KeyRange, ShardRecord

RecordsByNumber = Mapping[int, ShardRecord]

_SPLIT_BASE = 1_000_000  # the number of a split-off shard adds its first key


def split_shard_number(keys: KeyRange) -> int:
    """Return the number of the shard for a range that was split off."""
    return _SPLIT_BASE + keys.first


def _split_off(records: RecordsByNumber, number: int) -> tuple[KeyRange, ...]:
    record = records.get(number)
    return record.split_off if record else ()


def locate(key: int, number: int, records: RecordsByNumber) -> int:
    """Return the shard that has a key now, following splits.

    `number` is the initial shard of the key; `records` are those of its
    service, by shard number.
    """
    for keys in _split_off(records, number):
        if keys.first <= key <= keys.last:
            return locate(key, split_shard_number(keys), records)
    return number


def locate_text_key(key: str, number: int, records: RecordsByNumber) -> int:
    """Return the shard of a key in text form, as requests carry it.

    Like `locate`, but keys that are not numbers and negative shard numbers,
    which stand for no shard, are allowed where nothing was split off.
    """
    if number < 0 or not _split_off(records, number):
        return number
    return locate(int(key), number, records)


def _subtract(keys: KeyRange, removed: KeyRange) -> Iterator[KeyRange]:
    if removed.last < keys.first or removed.first > keys.last:
        yield keys
        return
    if keys.first < removed.first:
        yield KeyRange(keys.first, removed.first - 1)
    if removed.last < keys.last:
        yield KeyRange(removed.last + 1, keys.last)


def key_ranges(
    number: int, record: ShardRecord | None, service: Service
) -> tuple[KeyRange, ...]:
    """Return the key ranges of a shard; empty if keys are not numbers."""
    if service.stripe_width is None:
        return ()
    if record is not None and record.keys is not None:
        found: tuple[KeyRange, ...] = (record.keys,)
    else:
        recorded_shards = record.shards if record else 0
        shards = recorded_shards or service.shards
        recorded_width = record.stripe_width if record else 0
        found = stripes_of(
            number, recorded_width or service.stripe_width, shards
        )
    for removed in record.split_off if record else ():
        found = tuple(
            part for keys in found for part in _subtract(keys, removed)
        )
    return found


def split_ranges(
    records: RecordsByNumber,
) -> Iterator[tuple[KeyRange, ShardRecord]]:
    """Yield each range that was split off, with its parent's record."""
    for record in records.values():
        for keys in record.split_off:
            yield keys, record
