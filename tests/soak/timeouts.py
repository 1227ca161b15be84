"""The timeouts of the routes in a soak, which the operator changes."""

from collections.abc import Sequence
from dataclasses import dataclass

_IN_FORCE_MS = 2_000  # until a new configuration is in force everywhere


@dataclass(frozen=True, slots=True)
class TimeoutChange:
    """A timeout that the operator wrote; in ms of CLOCK_BOOTTIME.

    `settled_ms` is None if the store may not have it.
    """

    timeout_ms: int
    since_ms: float
    settled_ms: float | None


def longest_timeout_ms(
    changes: Sequence[TimeoutChange], since_ms: float, until_ms: float
) -> int:
    """Return the longest timeout that may have been in force in a period."""
    first = max(
        number
        for number, change in enumerate(changes)
        if number == 0 or _is_in_force(change, since_ms)
    )
    return max(
        change.timeout_ms
        for change in changes[first:]
        if change is changes[first] or change.since_ms <= until_ms
    )


def _is_in_force(change: TimeoutChange, at_ms: float) -> bool:
    settled_ms = change.settled_ms
    return settled_ms is not None and settled_ms + _IN_FORCE_MS <= at_ms
