"""How long answers take, by kind of request and by node."""

from collections.abc import Hashable
from dataclasses import dataclass

from laburnumwood.clock import Clock
from laburnumwood.decay import DecayingMean, weight_of_age
from laburnumwood.records import NodeName

_KIND_HALF_LIFE_MS = 10_000
# Long enough that a slow spell of a fraction of a second is one sample among
# several, short enough to notice within seconds that a node has become slow.
_NODE_HALF_LIFE_MS = 5_000
_PRIOR_SAMPLES = 2  # for which a node counts as usual before it is known
_FORGOTTEN_MS = 60_000  # after which a node is taken to be as usual
_MAX_SAMPLE = 10  # times the usual time; longer tells no more
_MAX_KINDS = 256


@dataclass(slots=True)
class _Slowness:
    """The decaying sum of a node's times relative to the usual ones."""

    total: float = 0
    weight: float = 0
    updated_ms: int = 0

    def decay(self, now_ms: int) -> None:
        kept = weight_of_age(now_ms - self.updated_ms, _NODE_HALF_LIFE_MS)
        self.total *= kept
        self.weight *= kept
        self.updated_ms = now_ms

    @property
    def mean(self) -> float:
        return (self.total + _PRIOR_SAMPLES) / (self.weight + _PRIOR_SAMPLES)


class AnswerTimes:
    """Decaying mean times of a node's own tries.

    A kind of request has a usual time, and a node a slowness: its times as a
    multiple of the usual ones, whatever the kinds.  So the few tries that one
    node sends another are enough to know it, and a node that got the requests
    that take long does not count as slow.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._usual: dict[Hashable, DecayingMean] = {}
        self._nodes: dict[NodeName, _Slowness] = {}

    def usual_ms(self, kind: Hashable) -> float:
        """Return the usual time of a kind; 0 before the first sample."""
        usual = self._usual.get(kind)
        return usual.mean if usual else 0

    def slowness(self, node: NodeName) -> float:
        """Return how long work takes on a node, where 1 is as usual."""
        slowness = self._nodes.get(node)
        if slowness is None:
            return 1
        slowness.decay(self._clock.now_ms())
        return slowness.mean

    def add(self, kind: Hashable, node: NodeName, time_ms: float) -> None:
        """Add the time of an answer."""
        usual = self._usual.get(kind)
        if usual is None:
            if len(self._usual) >= _MAX_KINDS:
                return
            usual = DecayingMean(_KIND_HALF_LIFE_MS, self._clock)
            self._usual[kind] = usual
        usual.add(time_ms)
        self._add_to_node(node, min(time_ms / max(usual.mean, 1), _MAX_SAMPLE))

    def add_unanswered(
        self, kind: Hashable, node: NodeName, passed_ms: float
    ) -> None:
        """Add the time after which an answer had still not come.

        It tells something only if the answer was overdue, and nothing of the
        usual time.
        """
        usual_ms = self.usual_ms(kind)
        if usual_ms and passed_ms > usual_ms * self.slowness(node):
            self._add_to_node(node, min(passed_ms / usual_ms, _MAX_SAMPLE))

    def _add_to_node(self, node: NodeName, ratio: float) -> None:
        now_ms = self._clock.now_ms()
        slowness = self._nodes.get(node)
        if slowness is None:
            self._forget_others(now_ms)
            slowness = _Slowness(updated_ms=now_ms)
            self._nodes[node] = slowness
        slowness.decay(now_ms)
        slowness.total += ratio
        slowness.weight += 1

    def _forget_others(self, now_ms: int) -> None:
        self._nodes = {
            name: each
            for name, each in self._nodes.items()
            if now_ms - each.updated_ms < _FORGOTTEN_MS
        }
