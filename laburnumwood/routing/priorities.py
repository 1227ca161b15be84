"""Classification of requests into declared traffic classes."""

from collections.abc import Mapping

from laburnumwood.admission.tickets import TrafficClass
from laburnumwood.config.declarations import Priority, Service
from laburnumwood.protocol.messages import Work

_DEFAULT_CLASS = TrafficClass()
_HIGHEST_RANK = 0
_CALL_CLASS = TrafficClass('call', 64)
_RANK_CLASSES = tuple(
    TrafficClass(f'rank-{rank}', weight)
    for rank, weight in enumerate((16, 4, 1))
)


def _matches(
    priority: Priority, work: Work, headers: Mapping[str, str]
) -> bool:
    if work.method in priority.methods:
        return True
    if priority.header is None:
        return False
    header_value = headers.get(priority.header.lower())
    return header_value is not None and priority.text in {None, header_value}


def classify(work: Work, service: Service | None) -> TrafficClass:
    """Return the traffic class of a request: the heaviest that matches."""
    if work.is_call:
        return _CALL_CLASS
    if work.priority >= 0:
        return _RANK_CLASSES[min(work.priority, len(_RANK_CLASSES) - 1)]
    if service is None or not service.priorities:
        return _DEFAULT_CLASS
    headers = {name.lower(): text for name, text in work.headers}
    classes = [
        TrafficClass(name, priority.weight)
        for name, priority in service.priorities.items()
        if _matches(priority, work, headers)
    ]
    return max(classes, key=lambda each: each.weight, default=_DEFAULT_CLASS)


def useful_until_ms(work: Work, now_ms: int, until_ms: int) -> int:
    """Return until when it is useful that a request waits for a slot.

    That is the deadline for requests of the highest rank: other requests
    depend on them, so that a late answer is better than none.
    """
    if not work.objective_ms or work.priority == _HIGHEST_RANK:
        return until_ms
    return min(until_ms, now_ms + work.objective_ms)
