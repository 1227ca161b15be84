"""Which declared class of traffic a request belongs to."""

from collections.abc import Mapping

from laburnumwood.admission.tickets import TrafficClass
from laburnumwood.config.declarations import Priority, Service
from laburnumwood.protocol.messages import Work

_ORDINARY = TrafficClass()
_FIRST_RANK = 0
_RANKS = tuple(
    TrafficClass(f'rank-{rank}', weight)
    for rank, weight in enumerate((16, 4, 1))
)


def _belongs(
    priority: Priority, work: Work, headers: Mapping[str, str]
) -> bool:
    if work.method in priority.methods:
        return True
    if priority.header is None:
        return False
    found = headers.get(priority.header.lower())
    return found is not None and priority.text in {None, found}


def line_of(work: Work, service: Service | None) -> TrafficClass:
    """Return the class of a request, the heaviest that it belongs to."""
    if work.priority >= 0:
        return _RANKS[min(work.priority, len(_RANKS) - 1)]
    if service is None or not service.priorities:
        return _ORDINARY
    headers = {name.lower(): text for name, text in work.headers}
    lines = [
        TrafficClass(name, priority.weight)
        for name, priority in service.priorities.items()
        if _belongs(priority, work, headers)
    ]
    return max(lines, key=lambda line: line.weight, default=_ORDINARY)


def useful_until_ms(work: Work, now_ms: int, until_ms: int) -> int:
    """Return until when a request is worth waiting for a slot.

    Other work waits for what is of the first rank: late is better than never.
    """
    if not work.objective_ms or work.priority == _FIRST_RANK:
        return until_ms
    return min(until_ms, now_ms + work.objective_ms)
