"""The rows in which a reply names the keys that the worker may hold.

Each row takes space in a reply of limited size, so neighbouring ranges under
one token are joined.
"""

from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator, Sequence

from laburnumwood.records import KeyRange
from laburnumwood.upstream.reports import GrantedRange

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


def size_of_new(rows: Iterable[GrantedRange]) -> int:
    """Return how many bytes rows take if they are not granted yet.

    That is with a reserve for joined rows that come apart, but no more than
    what they take then.
    """
    apart = tuple(rows)
    joined_size = encoded_size(join_rows(apart))
    with_reserve = round(joined_size / (1 - _RESERVED_SHARE))
    return min(encoded_size(apart), with_reserve)


def count_fitting(
    numbers: Sequence[int], room: int, size_of: Callable[[int], int]
) -> int:
    """Return the largest number of shards that fits into some bytes.

    `size_of` returns how many bytes so many shards take.
    """
    if size_of(numbers[-1]) <= room:
        return numbers[-1]
    index = bisect_right(numbers, room, key=size_of) - 1
    return numbers[max(0, index)]
