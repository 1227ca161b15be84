"""The rows in which a reply names the keys that the worker may hold.

Each row takes space in a reply of limited size, so neighbouring ranges under
one token are joined.
"""

from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator, Sequence

from laburnumwood.records import KeyRange, ShardName
from laburnumwood.upstream.reports import GrantedRange

Ranges = tuple[KeyRange, ...]

_ROW_HEAD_BYTES = 1  # the head of an array of four items
# The least numbers that take more bytes in CBOR (RFC 8949, section 3), and the
# sizes of the numbers below, between and above them.
_LIMITS = (24, 256, 65_536, 4_294_967_296)
_SIZES = (1, 2, 3, 5, 9)  # bytes
# Part of a reply that new grants may not fill if they fit only because rows are
# joined: these come apart when tokens change.
_RESERVED_SHARE = 0.1


def _integer_size(number: int) -> int:
    return _SIZES[bisect_right(_LIMITS, number)]


def _row_size(row: GrantedRange) -> int:
    numbers = (row.keys.first, row.keys.last, row.token)
    length = len(row.handover.encode())
    text_size = _integer_size(length) + length
    return _ROW_HEAD_BYTES + sum(map(_integer_size, numbers)) + text_size


def encoded_size(rows: Iterable[GrantedRange]) -> int:
    """Return how many bytes rows take in CBOR."""
    return sum(map(_row_size, rows))


def _first_key(row: GrantedRange) -> int:
    return row.keys.first


def _may_join(row: GrantedRange, following: GrantedRange) -> bool:
    has_handover = bool(row.handover or following.handover)
    are_neighbours = row.keys.last + 1 == following.keys.first
    return are_neighbours and row.token == following.token and not has_handover


def join_rows(rows: Iterable[GrantedRange]) -> Iterator[GrantedRange]:
    """Yield rows in the order of their keys, neighbours joined.

    Rows are joined if they have the same token and no handovers.
    """
    current: GrantedRange | None = None
    for row in sorted(rows, key=_first_key):
        if current is None:
            current = row
        elif _may_join(current, row):
            keys = KeyRange(current.keys.first, row.keys.last)
            current = GrantedRange(keys, current.token)
        else:
            yield current
            current = row
    if current is not None:
        yield current


class RowSizes:
    """The sizes of the rows of shards, computed once as long as they last."""

    def __init__(self) -> None:
        self._known: dict[ShardName, tuple[Ranges, int, int]] = {}

    def size_of(self, shard: ShardName, ranges: Ranges, token: int) -> int:
        """Return how many bytes a shard's ranges take without handovers."""
        known = self._known.get(shard)
        if known is not None and known[0] is ranges and known[1] == token:
            return known[2]
        size = encoded_size(GrantedRange(keys, token) for keys in ranges)
        self._known[shard] = ranges, token, size
        return size


def size_of_new(rows: Iterable[GrantedRange]) -> int:
    """Return how many bytes rows take if they are not granted yet.

    That is with a reserve for joined rows that come apart, but no more than
    what they take then.
    """
    apart = tuple(rows)
    joined_size = encoded_size(join_rows(apart))
    with_reserve = round(joined_size / (1 - _RESERVED_SHARE))
    return min(encoded_size(apart), with_reserve)


def _size_of_new(rows: Iterable[GrantedRange]) -> int:
    """Return how many bytes rows take if they are not granted yet.

    That is with a reserve for joined rows that come apart, but no more than
    what they take then.
    """
    apart = tuple(rows)
    joined_size = encoded_size(join_rows(apart))
    with_reserve = round(joined_size / (1 - _RESERVED_SHARE))
    return min(encoded_size(apart), with_reserve)


def _largest(
    numbers: Sequence[int], room: int, size_of: Callable[[int], int]
) -> int:
    """Return the largest of some numbers whose size fits, else the least."""
    if size_of(numbers[-1]) <= room:
        return numbers[-1]
    index = bisect_right(numbers, room, key=size_of) - 1
    return numbers[max(0, index)]


def count_fitting(
    granted: int,
    total: int,
    room: int,
    rows_of: Callable[[int], Iterable[GrantedRange]],
) -> int:
    """Return how many shards fit into some bytes if their rows are joined.

    `rows_of` returns the rows of so many shards; the first of them are granted
    already and may fill all of the room.
    """
    number = _largest(
        range(granted + 1),
        room,
        lambda count: encoded_size(join_rows(rows_of(count))),
    )
    if number < granted:
        return number
    return _largest(
        range(granted, total + 1),
        room,
        lambda count: _size_of_new(rows_of(count)),
    )
