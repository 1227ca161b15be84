"""Finds the calls that were held past the timeout of their route."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from tests.soak.callers import Call, CallEnd
from tests.soak.disturbances import was_signalled
from tests.soak.fleet import NodeIncarnation
from tests.soak.manifests import ManifestChange, longest_timeout_ms

_HELD_MS = 500  # after the timeout
_MIN_HELD_COUNT = 8
_MAX_HELD_SHARE = 0.25  # of the calls that outlast the timeout
_LONG_HELD_MS = 2_000  # after the timeout; not allowed for a single call


@dataclass(frozen=True, slots=True)
class OverdueCall:
    """A call that outlasted the timeout of its route."""

    call: Call
    timeout_ms: int
    late_ms: float  # its end after the timeout

    @property
    def is_held(self) -> bool:
        """Return whether it was held past the timeout."""
        return self.late_ms > _HELD_MS

    @property
    def is_long_held(self) -> bool:
        """Return whether it was held longer than any single call may be."""
        return self.late_ms > _LONG_HELD_MS


def find_overdue(
    calls: Iterable[Call],
    changes: Sequence[ManifestChange],
    incarnations: Sequence[NodeIncarnation],
) -> list[OverdueCall]:
    """Return the calls that outlasted the timeout at nodes in touch.

    Calls through a relay and calls whose callers left early do not count.
    """
    return [
        overdue
        for overdue in _find_late(calls, changes)
        if not was_signalled(
            overdue.call,
            overdue.call.sent_ms + overdue.timeout_ms + _LONG_HELD_MS,
            incarnations,
        )
    ]


def _find_late(
    calls: Iterable[Call], changes: Sequence[ManifestChange]
) -> Iterator[OverdueCall]:
    for call in calls:
        if call.request.is_relayed or call.end is CallEnd.abandoned:
            continue
        timeout_ms = longest_timeout_ms(changes, call.sent_ms, call.done_ms)
        late_ms = call.done_ms - call.sent_ms - timeout_ms
        if late_ms > 0:
            yield OverdueCall(call, timeout_ms, late_ms)


def find_held(
    overdue: Iterable[OverdueCall],
) -> Iterator[tuple[list[OverdueCall], int]]:
    """Yield the held calls of each group with too many, and its size.

    The groups are all requests, those that are sent slowly, and the others:
    what is wrong with one kind is not hidden by the other.
    """
    groups: dict[str, list[OverdueCall]] = defaultdict(list)
    for late in overdue:
        groups['all'].append(late)
        groups['slow' if late.call.request.part_ms else 'whole'].append(late)
    for group in groups.values():
        held = [each for each in group if each.is_held]
        allowed_count = len(group) * _MAX_HELD_SHARE
        if len(held) >= _MIN_HELD_COUNT and len(held) > allowed_count:
            yield held, len(group)
