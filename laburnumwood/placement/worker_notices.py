"""What the workers of other nodes say about themselves."""

from dataclasses import dataclass, replace

from laburnumwood.clock import Clock
from laburnumwood.decay import weight_of_age
from laburnumwood.records import NodeName, WorkerNotice

_MAX_AGE_MS = 600_000  # a worker that said that it leaves has ended by then
# A limit of which nothing was heard for so long may have ended.
_MAX_LIMIT_AGE_MS = 10_000
_PACE_HALF_LIFE_MS = 5_000
# Even a worker that accepts next to nothing is given some requests: only
# their answers tell when it accepts more.
_MIN_SLOTS = 0.1


@dataclass(frozen=True, slots=True)
class _ReceivedNotice:
    notice: WorkerNotice
    received_ms: int

    def present(self, now_ms: int) -> WorkerNotice:
        """Return the notice with the times that it names as of now."""
        age_ms = now_ms - self.received_ms
        leaving_for_ms = self.notice.leaving_for_ms
        warming_ms = self.notice.warming_ms
        if leaving_for_ms is None and warming_ms is None:
            return self.notice
        if leaving_for_ms is not None:
            leaving_for_ms += age_ms
        if warming_ms is not None:
            warming_ms = max(0, warming_ms - age_ms)
        return replace(
            self.notice, leaving_for_ms=leaving_for_ms, warming_ms=warming_ms
        )

    def usable_slots(self, now_ms: int) -> float | None:
        """Return how many slots can be kept busy, None if all of them."""
        notice = self.present(now_ms)
        if notice.limit_per_second is None and not notice.warming_ms:
            return None
        return notice.usable_slots


def _is_ordinary(notice: WorkerNotice) -> bool:
    takes_all = notice.limit_per_second is None and not notice.warming_ms
    return takes_all and notice.pace is None and not notice.is_leaving


class WorkerNotices:
    """The last notice about the worker of each node, by the id of the node.

    The worker outlives the incarnations and the process of its node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received: dict[str, _ReceivedNotice] = {}

    def record(self, node: NodeName, notice: WorkerNotice | None) -> None:
        """Record the notice of a node; None: nothing special is known."""
        if notice is None or _is_ordinary(notice):
            self._received.pop(node.node_id, None)
            return
        now_ms = self._clock.now_ms()
        self._received[node.node_id] = _ReceivedNotice(notice, now_ms)

    def latest(self, node: NodeName) -> WorkerNotice | None:
        """Return the last notice about the worker of a node, if any."""
        received = self._latest_within(node, _MAX_AGE_MS)
        return received.present(self._clock.now_ms()) if received else None

    def usable_slots(self, node: NodeName, slots: int) -> float:
        """Return how many slots of a node can be kept busy.

        A slot in which work takes twice as long as usual counts half.
        """
        received = self._latest_within(node, _MAX_LIMIT_AGE_MS)
        if received is None:
            return slots
        usable = received.usable_slots(self._clock.now_ms())
        limited = slots if usable is None else min(slots, usable)
        return max(limited / self.pace(node), _MIN_SLOTS)

    def pace(self, node: NodeName) -> float:
        """Return how long work takes on the VM of a node, 1 if as usual.

        The older a notice is, the nearer to the usual is what it tells.
        """
        received = self._latest_within(node, _MAX_LIMIT_AGE_MS)
        if received is None or received.notice.pace is None:
            return 1
        age_ms = self._clock.now_ms() - received.received_ms
        weight = weight_of_age(age_ms, _PACE_HALF_LIFE_MS)
        return max(1, 1 + (received.notice.pace - 1) * weight)

    def _latest_within(
        self, node: NodeName, max_age_ms: int
    ) -> _ReceivedNotice | None:
        received = self._received.get(node.node_id)
        if received is None:
            return None
        age_ms = self._clock.now_ms() - received.received_ms
        if age_ms >= _MAX_AGE_MS:
            self._received.pop(node.node_id)
        return received if age_ms < max_age_ms else None
