"""What workers left for the next owners of the keys that they released."""

from collections.abc import Iterable

from laburnumwood.records import KeyRange, ReleasedRange


def _of_range(left: dict[KeyRange, str], keys: KeyRange) -> str:
    exact = left.get(keys)
    if exact is not None:
        return exact
    around = (
        handover
        for released, handover in left.items()
        if released.first <= keys.first and keys.last <= released.last
    )
    return next(around, '')


class Handovers:
    """What one life of the worker left, and what others told of theirs."""

    def __init__(self) -> None:
        self._left: dict[KeyRange, str] = {}
        self._told: dict[KeyRange, str] = {}

    def add_local(self, released: Iterable[ReleasedRange]) -> None:
        """Take in what the worker released."""
        for each in released:
            self._left[each.keys] = each.handover
            self._told.pop(each.keys, None)

    def add_remote(self, released: Iterable[ReleasedRange]) -> None:
        """Take in what the worker of another node released."""
        for each in released:
            self._told[each.keys] = each.handover

    def all(self) -> tuple[ReleasedRange, ...]:
        """Return what the worker released and left something for."""
        return tuple(
            ReleasedRange(keys, handover)
            for keys, handover in self._left.items()
            if handover
        )

    def clear(self) -> None:
        """Forget the worker's: another life of it knows nothing of them."""
        self._left.clear()

    def for_range(self, keys: KeyRange) -> str:
        """Return what was left for some keys, or an empty text."""
        return _of_range(self._told, keys) or _of_range(self._left, keys)

    def for_ranges(self, ranges: tuple[KeyRange, ...]) -> tuple[str, ...]:
        """Return what was left for each range, empty if it is nothing."""
        found = tuple(self.for_range(keys) for keys in ranges)
        return found if any(found) else ()
