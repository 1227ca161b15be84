"""Which keys a shard has, once ranges of hot keys were split off.

A service whose keys are numbers begins with shards that are made of stripes.
The owner of a shard may split a range of its keys off: it writes the shard's
record without the range, and then the record of a shard of its own for it.
Until that second record exists the range belongs to nobody, and any node may
create it, as for a shard that never had an owner.
"""

from collections.abc import Iterator, Mapping

from laburnumwood.config.declarations import Service
from laburnumwood.placement.sharding import stripes_of
from laburnumwood.records import KeyRange, ShardRecord

RecordsByNumber = Mapping[int, ShardRecord]

_SPLIT_BASE = 1_000_000  # numbers of shards that were split off begin here


def split_shard_number(keys: KeyRange) -> int:
    """Return the number of the shard that a range became when split off."""
    return _SPLIT_BASE + keys.first


def _split_off(records: RecordsByNumber, number: int) -> tuple[KeyRange, ...]:
    record = records.get(number)
    return record.split_off if record else ()


def locate(key: int, number: int, records: RecordsByNumber) -> int:
    """Return the shard of a key that belongs to a shard at first.

    `records` are those of its service, by number.
    """
    for keys in _split_off(records, number):
        if keys.first <= key <= keys.last:
            return locate(key, split_shard_number(keys), records)
    return number


def locate_text_key(key: str, number: int, records: RecordsByNumber) -> int:
    """Return the shard of a key as requests carry it; see `place`."""
    if number < 0 or not _split_off(records, number):
        return number
    return locate(int(key), number, records)


def _without(keys: KeyRange, gone: KeyRange) -> Iterator[KeyRange]:
    if gone.last < keys.first or gone.first > keys.last:
        yield keys
        return
    if keys.first < gone.first:
        yield KeyRange(keys.first, gone.first - 1)
    if gone.last < keys.last:
        yield KeyRange(gone.last + 1, keys.last)


def key_ranges(
    number: int, record: ShardRecord | None, service: Service
) -> tuple[KeyRange, ...]:
    """Return the keys of a shard."""
    if service.stripe_width is None:
        return ()
    if record is not None and record.keys is not None:
        found: tuple[KeyRange, ...] = (record.keys,)
    else:
        planned = record.shards if record else 0
        shards = planned or service.shards
        width = record.stripe_width if record else 0
        found = stripes_of(number, width or service.stripe_width, shards)
    for gone in record.split_off if record else ():
        found = tuple(part for keys in found for part in _without(keys, gone))
    return found


def split_ranges(
    records: RecordsByNumber,
) -> Iterator[tuple[KeyRange, ShardRecord]]:
    """Yield each range that was split off with the record that says so."""
    for record in records.values():
        for keys in record.split_off:
            yield keys, record
