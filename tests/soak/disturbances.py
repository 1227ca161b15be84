"""What harmed the processes of a soak, and when."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from tests.soak.callers import Call
from tests.soak.fleet import NodeIncarnation

CONTACT_MS = 3_000  # for which a node must have run undisturbed
_STORE = 'the store'
_WORKER = 'a worker'
_MANIFEST = 'manifest'


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault that was injected; times in ms of CLOCK_BOOTTIME.

    `names` are the nodes whose processes, workers or links it harmed.
    """

    fault: str
    names: frozenset[str]
    since_ms: float
    until_ms: float

    @property
    def is_planned(self) -> bool:
        """Return whether it is only a change of the manifest."""
        return _MANIFEST in self.fault

    def harms(self, node: str) -> bool:
        """Return whether it harms a node, its links or its way to the store."""
        if self.fault.startswith(_STORE):
            return True
        return node in self.names and not self.fault.startswith(_WORKER)

    def overlaps(self, since_ms: float, until_ms: float) -> bool:
        """Return whether it lasted in a period."""
        return self.since_ms <= until_ms and self.until_ms >= since_ms


def was_signalled(
    call: Call,
    until_ms: float,
    incarnations: Iterable[NodeIncarnation],
) -> bool:
    """Return whether a node started, was paused or was ended about a call.

    That is, from `CONTACT_MS` before the call to `until_ms`.
    """
    return any(
        started_ms <= until_ms and ended_ms >= call.sent_ms - CONTACT_MS
        for incarnation in incarnations
        if incarnation.node == call.request.node
        for started_ms, ended_ms in incarnation.disturbances
    )


def _faults_about(
    call: Call, disturbances: Iterable[Disturbance]
) -> Iterator[Disturbance]:
    """Yield the faults that were in force about a call."""
    for each in disturbances:
        is_about = each.overlaps(call.sent_ms - CONTACT_MS, call.done_ms)
        if is_about and not each.is_planned:
            yield each


def is_in_touch(
    call: Call,
    incarnations: Iterable[NodeIncarnation],
    disturbances: Iterable[Disturbance],
) -> bool:
    """Return whether nothing harmed a node, its links or the store."""
    is_harmed = any(
        fault.harms(call.request.node)
        for fault in _faults_about(call, disturbances)
    )
    return not is_harmed and not was_signalled(call, call.done_ms, incarnations)


def is_steady(call: Call, disturbances: Iterable[Disturbance]) -> bool:
    """Return whether no fault at all was in force about a call."""
    return not any(_faults_about(call, disturbances))
