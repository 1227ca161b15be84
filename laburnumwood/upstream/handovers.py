"""Handovers that workers left for the next owners of released keys."""

from collections.abc import Iterable

from laburnumwood.records import KeyRange, ReleasedRange


def _find(handovers: dict[KeyRange, str], keys: KeyRange) -> str:
    exact = handovers.get(keys)
    if exact is not None:
        return exact
    enclosing = (
        handover
        for released, handover in handovers.items()
        if released.first <= keys.first and keys.last <= released.last
    )
    return next(enclosing, '')


class Handovers:
    """The handovers of the worker and those announced by other nodes.

    A handover is a text that a worker leaves for a range of keys when it
    releases them.
    """

    def __init__(self) -> None:
        self._local: dict[KeyRange, str] = {}
        self._remote: dict[KeyRange, str] = {}

    def add_local(self, released: Iterable[ReleasedRange]) -> None:
        """Add what the worker on this VM released."""
        for each in released:
            self._local[each.keys] = each.handover
            self._remote.pop(each.keys, None)

    def add_remote(self, released: Iterable[ReleasedRange]) -> None:
        """Add what the worker of another node released."""
        for each in released:
            self._remote[each.keys] = each.handover

    def all(self) -> tuple[ReleasedRange, ...]:
        """Return the ranges for which this VM's worker left a handover."""
        return tuple(
            ReleasedRange(keys, handover)
            for keys, handover in self._local.items()
            if handover
        )

    def clear(self) -> None:
        """Drop the worker's handovers, which its new process does not know."""
        self._local.clear()

    def for_range(self, keys: KeyRange) -> str:
        """Return the handover for a range of keys, or an empty text."""
        return _find(self._remote, keys) or _find(self._local, keys)

    def for_ranges(self, ranges: tuple[KeyRange, ...]) -> tuple[str, ...]:
        """Return the handover for each range, or () if there is none at all."""
        found = tuple(self.for_range(keys) for keys in ranges)
        return found if any(found) else ()
