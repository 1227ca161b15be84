"""Choice of a node for services that are not divided by key.

The power of two choices: M. Mitzenmacher, "The power of two choices in
randomized load balancing", 2001.
"""

from collections import deque
from collections.abc import Callable, Hashable, Mapping
from random import Random

from laburnumwood.balancing.answer_times import AnswerTimes
from laburnumwood.balancing.avoidance import ALL_RANKS, AvoidedNodes
from laburnumwood.balancing.tries import TriesInFlight, Try
from laburnumwood.clock import Clock
from laburnumwood.decay import DecayingMean
from laburnumwood.placement.load_reports import LoadReports
from laburnumwood.records import NodeName, NodeRecord

_MAX_RECENT_CHOICES = 16
_MAX_LOCAL_LOAD = 0.5  # load per slot; local nodes above it are not preferred
_TYPICAL_HALF_LIFE_MS = 3_000
_FRESH = 0.5  # weight from which on a report tells of the load now
_UNKNOWN_KIND = None
_PRESUMED_MS = 200  # the usual time of a kind before its first answer

Nodes = Mapping[NodeName, NodeRecord]


class RequestBalancer:
    """Distributes requests among nodes by the expected time to the answer.

    The work ahead at a node is the higher of this node's own requests in
    flight there and the load that the node reported, which decays with its
    age.  The time that work takes there is learned from this node's own tries.
    Nodes that failed or shed requests are avoided for some time.

    Nodes of the own failure domain are preferred, so that few bodies are sent
    between domains.  With `crossing_ms`, a request goes to another domain if
    it is expected to be served sooner there by more than that.  Without it,
    local nodes are preferred while they are not busy, and get no more than an
    even share: `local_ingress_share` returns the part of all ingress nodes
    that is in the own domain.
    """

    def __init__(
        self,
        loads: LoadReports,
        domain: str,
        random: Random,
        clock: Clock,
        local_ingress_share: Callable[[], float] = float,
        crossing_ms: int | None = None,
    ) -> None:
        self._loads = loads
        self.notices = loads.notices
        self._failure_domain = domain
        self._random = random
        self._clock = clock
        self._local_ingress_share = local_ingress_share
        self._crossing_ms = crossing_ms
        self._in_flight = TriesInFlight(clock)
        self._avoided = AvoidedNodes(clock)
        self._times = AnswerTimes(clock)
        self._typical_usage = DecayingMean(_TYPICAL_HALF_LIFE_MS, clock)
        self._recent_choices: deque[NodeName] = deque(
            maxlen=_MAX_RECENT_CHOICES
        )

    def recent_choices(self) -> tuple[NodeName, ...]:
        """Return the nodes that were chosen or weighed most recently."""
        return tuple(self._recent_choices)

    def choose(
        self,
        nodes: Nodes,
        rank: int = ALL_RANKS,
        kind: Hashable = _UNKNOWN_KIND,
    ) -> NodeName | None:
        """Return the node at which a request is answered soonest.

        Only two nodes that are drawn at random are compared, or two of the own
        domain and two of others: ingress nodes with the same load reports
        would otherwise all choose the same node.  Rank 0 is the most urgent;
        requests of a `kind` take about as long.  Returns None if there are no
        nodes.
        """
        usable = self._avoided.usable(nodes, rank)
        if not usable:
            return None
        if self._crossing_ms is None:
            chosen = self._draw(self._preferred(nodes, usable), nodes)
        else:
            chosen = self._nearest(usable, kind)
        self._recent_choices.append(chosen)
        return chosen

    def begin(
        self,
        target: NodeName,
        slots: int,
        rank: int = ALL_RANKS,
        kind: Hashable = _UNKNOWN_KIND,
    ) -> Try:
        """Return a try of a request that counts as in flight until it ends.

        `slots` is the number of slots of the target.
        """
        queueing = max(1, self._usage(target, slots))
        return self._in_flight.begin(target, rank, kind, queueing)

    def end(self, ended: Try) -> None:
        """Stop counting a try."""
        self._in_flight.end(ended)

    def record_answer(self, answered: Try) -> None:
        """Learn from a try whose answer begins now."""
        work_ms = self._work_ms(answered)
        self._times.add(answered.kind, answered.target, work_ms)

    def record_unanswered(self, unanswered: Try) -> None:
        """Learn from a try that ends without an answer."""
        work_ms = self._work_ms(unanswered)
        self._times.add_unanswered(unanswered.kind, unanswered.target, work_ms)

    def avoid(
        self, target: NodeName, duration_ms: int, rank: int = ALL_RANKS
    ) -> None:
        """Prefer other nodes for `duration_ms`, if there are any.

        Requests that are more urgent than `rank` are not affected.
        """
        self._avoided.avoid(target, duration_ms, rank)

    def _work_ms(self, tried: Try) -> float:
        """Return the time of a try less what pace and work ahead explain."""
        passed_ms = self._clock.now_ms() - tried.started_ms
        return passed_ms / (self.notices.pace(tried.target) * tried.queueing)

    def _draw(self, candidates: list[NodeName], nodes: Nodes) -> NodeName:
        """Return the better one of two nodes drawn at random."""
        sampled = self._random.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=lambda name: self._cost(name, nodes[name]))

    def _preferred(self, nodes: Nodes, usable: Nodes) -> list[NodeName]:
        """Return local nodes that are not busy, or what is to be used else."""
        local_count = len(self._in_own_domain(nodes))
        even_share = local_count / len(nodes)
        if self._random.random() * self._local_ingress_share() > even_share:
            chosen = self._in_other_domains(usable)
        else:
            chosen = [
                name
                for name in self._in_own_domain(usable)
                if self._load(name, nodes[name]) < _MAX_LOCAL_LOAD
            ]
        return chosen or list(usable)

    def _nearest(self, usable: Nodes, kind: Hashable) -> NodeName:
        """Return a local node unless others answer sooner by enough."""
        local = self._in_own_domain(usable)
        if not local or len(local) == len(usable):
            return self._draw(list(usable), usable)
        others = self._in_other_domains(usable)
        here, there = self._draw(local, usable), self._draw(others, usable)
        usual_ms = self._times.usual_ms(kind) or _PRESUMED_MS
        here_ms = usual_ms * self._delay(here, usable[here])
        there_ms = usual_ms * self._delay(there, usable[there])
        if here_ms - there_ms > (self._crossing_ms or 0):
            return there
        self._recent_choices.append(there)  # its load is asked for, too
        return here

    def _in_own_domain(self, nodes: Nodes) -> list[NodeName]:
        own = self._failure_domain
        return [
            name for name, node in nodes.items() if node.failure_domain == own
        ]

    def _in_other_domains(self, nodes: Nodes) -> list[NodeName]:
        own = self._failure_domain
        return [
            name for name, node in nodes.items() if node.failure_domain != own
        ]

    def _load(self, name: NodeName, record: NodeRecord) -> float:
        """Return the known work at a node for each slot that it can use."""
        slots = self.notices.usable_slots(name, record.slots)
        return self._ahead(name) / slots

    def _ahead(self, name: NodeName) -> float:
        return max(self._in_flight.count(name), self._loads.running(name))

    def _cost(self, name: NodeName, record: NodeRecord) -> float:
        """Return the time of one more request at a node, to compare nodes."""
        slots = self.notices.usable_slots(name, record.slots)
        return (self._ahead(name) + 1) / slots * self._times.slowness(name)

    def _delay(self, name: NodeName, record: NodeRecord) -> float:
        """Return the expected time at a node as a multiple of the usual."""
        usage = self._usage(name, record.slots)
        pace = self.notices.pace(name)
        return max(1, usage) * pace * self._times.slowness(name)

    def _usage(self, name: NodeName, slots: int) -> float:
        """Return how much of its slots a node needs with one request more.

        A node that has not reported lately is taken to be as busy as others.
        """
        weight = self._loads.weight(name)
        running = self._loads.running(name)
        if weight >= _FRESH:
            self._typical_usage.add(running / weight / slots)
        presumed = running + (1 - weight) * self._typical_usage.mean * slots
        ahead = max(self._in_flight.count(name), presumed)
        usable = self.notices.usable_slots(name, slots)
        return (ahead + 1) / (usable * self.notices.pace(name))
